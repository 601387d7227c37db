"""Clients get acknowledgements that depend on an endpoint without an entry.

The primary is cut off from all nodes but one, through which a client writes
all the while. A replica joins that receives commits before its entry is in the
store, so that a failover fences all endpoints but this one.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from itertools import count

import pytest
from trio import Nursery, fail_after, open_nursery, sleep

from tests.acknowledged_writes import AcknowledgedWrites
from tests.group_changes import join
from tests.support import run_virtual
from tests.test_wire_failover import (
    GAP_BOUND_S,
    RECORDED_S,
    SERVICE,
    TARGET_GAP_S,
    lease_holder,
    primary_of,
)
from trefoilhitch.pooler.gateway_placement import rank_by_name
from trefoilhitch.pooler.peer_sync import MAX_CHECKERS
from trefoilhitch_lab.wire_stack import WireStack, running_wire_stack

JOINING = 'ledger-9'
POLL_S = 0.01
WRITE_INTERVAL_S = 0.05
# More nodes than are asked whether they reach a silent primary.
MANY_NODES = 12
SLOW_STORE_S = 0.3
# Seconds from the acquisition of the lease to the start of the endpoint, and
# from there to its entry. The fences are set 0.75 s after the acquisition, the
# promotion is commanded at 1.0 s and takes effect at 1.3 s.
JOINS = (
    (0, 2),
    (0.5, 1),
    (0.8, 0.1),
    (0.8, 2),
    (1.1, 0.1),
)


async def wait_for_lease(stack: WireStack) -> None:
    """Wait until a failover has acquired the lease of the service."""
    while not lease_holder(stack):
        await sleep(POLL_S)


def leave_one_node(stack: WireStack, reaching: str) -> None:
    """Cut the primary off from all nodes but one."""
    for name, running in stack.nodes.items():
        if name != reaching:
            running.cut_endpoints.add(primary_of(stack).endpoint)


def last_node(stack: WireStack) -> str:
    """Return the node that was started last."""
    return list(stack.nodes)[-1]


def unasked_node(stack: WireStack) -> str:
    """Return a node that no other one asks whether it reaches a primary.

    It is far from the primary, so that it sends its proofs only on request.
    """
    members = next(iter(stack.nodes.values())).node.members
    ranked = rank_by_name(f'check/{SERVICE}', members)
    near = primary_of(stack).data_centre
    return next(
        each.node
        for each in ranked[MAX_CHECKERS + 1 :]
        if each.data_centre != near
    )


async def cut_silently(stack: WireStack, reaching: str) -> None:
    """Cut the primary off; nobody asks the node that reaches it."""
    leave_one_node(stack, reaching)


async def cut_control(stack: WireStack, reaching: str) -> None:
    """Cut the primary off; it answers one node's statements, but no STATUS."""
    leave_one_node(stack, reaching)
    cuts = stack.nodes[reaching].cuts
    cuts.control.add(primary_of(stack).endpoint)


async def cut_nodes(stack: WireStack, reaching: str) -> None:
    """Cut the primary off, and the nodes from each other."""
    leave_one_node(stack, reaching)
    stack.peers_cut = True


async def cut_expired(stack: WireStack, reaching: str) -> None:
    """Let the primary's entry expire, then cut the primary off."""
    stack.store_state.remove('servers', primary_of(stack).endpoint)
    await wait_for_lease(stack)
    leave_one_node(stack, reaching)


async def cut_leaving(stack: WireStack, reaching: str) -> None:
    """Begin a planned replacement, then cut the primary off."""
    old = primary_of(stack).endpoint
    entry = stack.endpoint_entry(old, state='draining')
    stack.store_state.put('servers', old, entry)
    await wait_for_lease(stack)
    leave_one_node(stack, reaching)


async def cut_with_slow_store(stack: WireStack, reaching: str) -> None:
    """Cut the primary's control off while the store is slow for all nodes."""
    for running in stack.nodes.values():
        running.store.faults.delay_s = SLOW_STORE_S
    await cut_control(stack, reaching)


async def cut_without_store(stack: WireStack, reaching: str) -> None:
    """Cut the primary off; the node that reaches it is without the store."""
    store = stack.nodes[reaching].store
    store.faults.outage = True
    await cut_nodes(stack, reaching)


@dataclass(frozen=True, slots=True)
class Split:
    """Who still reaches the primary, and why it is replaced nevertheless.

    Args:
        begin: cuts the primary off from all nodes but the named one.
        choose: returns that node.
        nodes: number of nodes.

    """

    begin: Callable[[WireStack, str], Awaitable[None]]
    choose: Callable[[WireStack], str] = last_node
    nodes: int = 3


SPLITS = {
    'silent': Split(cut_silently, unasked_node, MANY_NODES),
    'without-control': Split(cut_control),
    'nodes-cut': Split(cut_nodes),
    'expired': Split(cut_expired),
    'leaving': Split(cut_leaving),
    'slow-store': Split(cut_with_slow_store),
    'without-store': Split(cut_without_store),
}


def end_split(stack: WireStack) -> None:
    """Let the nodes reach each other, the store and all endpoints again."""
    stack.peers_cut = False
    for running in stack.nodes.values():
        running.cuts.endpoints.clear()
        running.cuts.control.clear()
        running.store.faults.delay_s = 0
        running.store.faults.outage = False


async def begin_writes(
    stack: WireStack, writes: AcknowledgedWrites, node: str
) -> None:
    """Begin a write at short intervals, without waiting for the answers."""
    async with open_nursery() as nursery:
        for number in count():
            mark = f'always-{number}'
            nursery.start_soon(writes.write, stack, mark, node)
            await sleep(WRITE_INTERVAL_S)


async def write_through_all(
    stack: WireStack, writes: AcknowledgedWrites
) -> None:
    """Write through each node until each write is acknowledged."""
    async with open_nursery() as nursery:
        for node in stack.nodes:
            nursery.start_soon(write_until_done, stack, writes, node)


async def write_until_done(
    stack: WireStack, writes: AcknowledgedWrites, node: str
) -> None:
    """Write through a node until a write is acknowledged."""
    for number in count():
        if not await writes.write(stack, f'after-{node}-{number}', node):
            return
        await sleep(WRITE_INTERVAL_S)


async def join_after_lease(
    stack: WireStack, nursery: Nursery, delay_s: float, listed_after_s: float
) -> None:
    """Start an endpoint some time after a failover has acquired its lease."""
    await wait_for_lease(stack)
    await sleep(delay_s)
    await join(stack, nursery, JOINING, listed_after_s=listed_after_s)


async def play(split: Split, delay_s: float, listed_after_s: float) -> None:
    """Cut the primary off, and let an endpoint join meanwhile."""
    writes = AcknowledgedWrites()
    async with (
        running_wire_stack(nodes=split.nodes) as stack,
        open_nursery() as nursery,
    ):
        await sleep(RECORDED_S)
        assert await writes.write(stack, 'before', 'node-1') == ''
        reaching = split.choose(stack)
        nursery.start_soon(begin_writes, stack, writes, reaching)
        with fail_after(GAP_BOUND_S):
            await split.begin(stack, reaching)
            await join_after_lease(stack, nursery, delay_s, listed_after_s)
            while not stack.promotions.completed:
                await sleep(POLL_S)
        end_split(stack)
        with fail_after(TARGET_GAP_S):
            await write_through_all(stack, writes)
        await sleep(listed_after_s)
        assert writes.missing(stack.group) == []
        with fail_after(TARGET_GAP_S):
            await write_through_all(stack, writes)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(('delay_s', 'listed_after_s'), JOINS)
@pytest.mark.parametrize('split', SPLITS)
def test_no_acknowledged_write_is_lost_to_an_unlisted_endpoint(
    split: str, delay_s: float, listed_after_s: float
) -> None:
    """Guards against lost writes that only the primary and a newcomer hold."""
    run_virtual(partial(play, SPLITS[split], delay_s, listed_after_s))
