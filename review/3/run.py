"""One entry of another writer ends all nodes, again and again.

With TROUBLE, another writer leaves an entry of kind `servers` whose address
can't be read. A node that has ended is started again, as the platform does.
"""

import asyncio

from standin.bench import Bench
from standin.case import has_trouble, run_case
from standin.client import Client

RESTART_DELAY_S = 0.5
PLAYED_S = 20.0
PAUSE_S = 0.2
# The rule counts machines on which processes end this often by themselves.
ENDS = 3
MACHINES = 2


async def play(bench: Bench) -> list[str]:
    """Play the case; return how the rule was broken.

    Args:
        bench: the processes and their stand-ins.

    """
    await bench.start(nodes=3)
    before = await _ask_all(bench)
    if has_trouble():
        spec = dict(bench.store.kinds['servers']['i-2']['spec'])
        spec['address'] = '127.0.0.1:8\u00b240'
        bench.store.put('servers', 'another-writer', spec)
        bench.record('another writer leaves an entry that cannot be read')
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + PLAYED_S
    ends = dict.fromkeys(bench.nodes, 0)
    asked = served = 0
    while loop.time() < ends_at:
        await asyncio.sleep(PAUSE_S)
        for name, process in list(bench.nodes.items()):
            if process.returncode is None:
                continue
            ends[name] += 1
            bench.record(f'{name} has ended by itself: {process.returncode}')
            await asyncio.sleep(RESTART_DELAY_S)
            await bench.start_node(name)
        asked += len(bench.nodes)
        served += await _ask_all(bench)
    bench.record(f'ends {ends}, served {before} before, {served} of {asked}')
    often = [name for name, count in ends.items() if count >= ENDS]
    if len(often) >= MACHINES:
        return [
            f'Fault: processes ended by themselves without an impairment: '
            f'{ends}; {served} of {asked} requests were served'
        ]
    return []


async def _ask_all(bench: Bench) -> int:
    """Ask all nodes once; return how many served the request."""
    served = 0
    for name in bench.nodes:
        client = Client(f'client of {name}', bench.record)
        try:
            started = await client.open(
                bench.front(name), 'orders', 'key-himal'
            )
            if started.startswith('READY'):
                served += (await client.query('READ strop')).is_success
            client.close()
        except OSError as exc:
            bench.record(f'client of {name}: {exc}')
    return served


if __name__ == '__main__':
    run_case(__file__, play)
