"""One entry of another writer keeps all nodes from reading the servers.

With TROUBLE, another writer leaves an entry of kind `servers` whose text
can't be read. Then all nodes are killed at once and start again.
"""

import asyncio

from standin.bench import HOST, Bench, CouldNotRunError
from standin.case import has_trouble, run_case
from standin.client import Client

DOWN_S = 0.9
RECOVERY_S = 12.0
JUDGED_S = 10.0
PAUSE_S = 0.2
# The rule asks for this share after the final fault.
LEAST_SHARE = 0.25
JSON_TEXT_THAT_CANT_BE_READ = '\ud800'


async def play(bench: Bench) -> list[str]:
    """Play the case; return how the rule was broken.

    Args:
        bench: the processes and their stand-ins.

    """
    await bench.start(nodes=3)
    before = await _served_share(bench, 2.0)
    if before < LEAST_SHARE:
        raise CouldNotRunError(f'served before: {before}')
    if has_trouble():
        bench.store.put(
            'servers',
            'another-writer',
            {
                'service': JSON_TEXT_THAT_CANT_BE_READ,
                'address': f'{HOST}:9',
                'state': 'ready',
            },
        )
        bench.record('another writer leaves an entry that cannot be read')
        await asyncio.sleep(2)
    for name in list(bench.nodes):
        await bench.kill_node(name)
    await asyncio.sleep(DOWN_S)
    for name in list(bench.nodes):
        await bench.start_node(name)
    await asyncio.sleep(RECOVERY_S)
    after = await _served_share(bench, JUDGED_S)
    for name in bench.nodes:
        for line in bench.node_log(name, 'store_lost', 'listing_read')[-3:]:
            bench.record(f'log of {name}: {line}')
    bench.record(f'served before {before:.2f}, after {after:.2f}')
    if after < LEAST_SHARE:
        return [
            f'RECOVER: {after:.2f} of the requests sent later than '
            f'{RECOVERY_S:.0f} s after the nodes were back are served, '
            f'{before:.2f} were before'
        ]
    return []


async def _served_share(bench: Bench, length_s: float) -> float:
    """Return which share of the requests on all nodes is served."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + length_s
    served = asked = 0
    while loop.time() < ends_at:
        for name in bench.nodes:
            asked += 1
            served += await _is_served(bench, name)
        await asyncio.sleep(PAUSE_S)
    return served / asked


async def _is_served(bench: Bench, node: str) -> bool:
    client = Client(f'client of {node}', bench.record)
    try:
        started = await client.open(bench.front(node), 'orders', 'key-himal')
        if not started.startswith('READY'):
            return False
        return (await client.query('READ strop')).is_success
    except OSError:
        return False
    finally:
        client.close()


if __name__ == '__main__':
    run_case(__file__, play)
