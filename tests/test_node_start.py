"""How soon a node serves after its start."""

import pytest
from trio import current_time, open_nursery, sleep

from tests.support import run_virtual
from trefoilhitch.platform.object_store import NODE_KIND
from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_stack import (
    DATABASES,
    WireStack,
    running_wire_stack,
)

NODES = 6
SETTLE_S = 3.0
# Delay of each response of the store: the listings, then the leases. The other
# steps do not wait.
STORE_DELAY_S = 0.04
STORE_RESPONSES = 2
RETRY_PAUSE_S = 0.01
SLOW_LISTING_S = 0.5


async def restart_all(
    stack: WireStack, delay_s: float = STORE_DELAY_S, delayed_kind: str = ''
) -> None:
    """Kill all nodes at once and start them."""
    names = list(stack.nodes)
    for name in names:
        stack.kill_node(name)
    for name in names:
        running = await stack.start_node(name)
        running.store.faults.delay_s = delay_s
        running.store.faults.delayed_kind = delayed_kind


async def read_once(stack: WireStack, name: str, database: str) -> None:
    """Repeat a read at a node until it succeeds."""
    async with wire_client(stack.nodes[name].address) as client:
        await client.start(database, 'key-himal')
        while (await client.query('READ x')).code:
            await sleep(RETRY_PAUSE_S)


@pytest.mark.parametrize('database', DATABASES)
def test_first_read_after_a_restart_of_all_waits_for_listings_only(
    database: str,
) -> None:
    # Guards against a first check of the primaries, whose proofs the reads with
    # a bound need, that comes a whole interval after the start.
    async def play() -> float:
        async with running_wire_stack(nodes=NODES) as stack:
            await sleep(SETTLE_S)
            started_at = current_time()
            await restart_all(stack)
            async with open_nursery() as nursery:
                for name in stack.nodes:
                    nursery.start_soon(read_once, stack, name, database)
            return current_time() - started_at

    assert run_virtual(play) < (STORE_RESPONSES + 1) * STORE_DELAY_S


def test_sessions_wait_for_the_list_of_nodes() -> None:
    # Guards against statements that are refused as beyond the rate, because no
    # tokens are spent before the number of nodes is known.
    async def play() -> str:
        async with running_wire_stack() as stack:
            await sleep(SETTLE_S)
            await restart_all(stack, SLOW_LISTING_S, NODE_KIND)
            async with wire_client(stack.nodes['node-0'].address) as client:
                await client.start('orders', 'key-himal')
                return (await client.query('READ x')).code

    assert run_virtual(play) == ''
