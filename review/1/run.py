"""Nodes that have restarted promote a replica without asking the others.

With TROUBLE, the store is down for some seconds, and the entries of the
servers lapse meanwhile. All nodes are killed in that time and start again.
When the store is back, the servers, which were alive all the while, write
their entries again, i-1 first, the others within two seconds.
"""

import asyncio

from standin.bench import Bench, CouldNotRunError
from standin.case import has_trouble, run_case
from standin.client import Client

# While the store is down: when the nodes are killed, when the entries lapse
# (three heartbeats), and how long it is down at most.
KILLED_AFTER_S = 3.2
LAPSED_AFTER_S = 3.6
DOWN_S = 5.6
# When the other servers have written their entries again.
OTHERS_BACK_S = 1.9
# Calls of a starting node to the store: servers, desired state, its own entry.
CALLS_OF_A_START = 3
WATCHED_S = 10.0
WRITE_PAUSE_S = 0.02


async def play(bench: Bench) -> list[str]:
    """Play the case; return how the rule was broken.

    Args:
        bench: the processes and their stand-ins.

    """
    await bench.start(nodes=3)
    writers = [
        asyncio.create_task(_write_orders(bench, node)) for node in bench.nodes
    ]
    await asyncio.sleep(2)
    if has_trouble():
        await _interrupt(bench)
    await asyncio.sleep(WATCHED_S)
    for writer in writers:
        writer.cancel()
    for name in bench.nodes:
        marks = ('fenced', 'promotion_ordered', 'succession_ended')
        for line in bench.node_log(name, *marks):
            bench.record(f'log of {name}: {line}')
    if not bench.group.acknowledged:
        raise CouldNotRunError('no order was acknowledged')
    return [
        f'LOST: {dict(entry.writes)} was acknowledged and is not in the log '
        'of the server that was promoted'
        for entry in bench.group.lost
    ]


async def _interrupt(bench: Bench) -> None:
    loop = asyncio.get_running_loop()
    servers = bench.group.servers.values()
    bench.store.go_down()
    down_at = loop.time()
    bench.record('the store is down')
    await asyncio.sleep(KILLED_AFTER_S)
    for name in list(bench.nodes):
        await bench.kill_node(name)
    resets = bench.store.resets + CALLS_OF_A_START * len(bench.nodes)
    for name in list(bench.nodes):
        await bench.start_node(name)
    await asyncio.sleep(down_at + LAPSED_AFTER_S - loop.time())
    for server in servers:
        bench.store.remove('servers', server.name)
    bench.record('the entries of the servers have lapsed')
    while bench.store.resets < resets:
        await asyncio.sleep(0.02)
    if loop.time() > down_at + DOWN_S:
        raise CouldNotRunError('the nodes took too long to start')
    bench.store.is_down = False
    bench.record(f'the store is back after {loop.time() - down_at:.1f} s')
    for server in servers:
        if server.name == 'i-1':
            bench.group.register(server)
            bench.record(f'{server.name} has written its entry')
    await asyncio.sleep(OTHERS_BACK_S)
    for server in servers:
        bench.group.register(server)
    bench.record('all servers have written their entries')


async def _write_orders(bench: Bench, node: str) -> None:
    number = 0
    while True:
        number += 1
        client = Client(f'client of {node}', bench.record)
        try:
            started = await client.open(
                bench.front(node), 'orders', 'key-himal'
            )
            if started.startswith('READY'):
                await client.query(f'WRITE order-{node}-{number} 1')
            client.close()
        except OSError:
            await asyncio.sleep(0.2)
        await asyncio.sleep(WRITE_PAUSE_S)


if __name__ == '__main__':
    run_case(__file__, play)
