"""A node that is cut off acknowledges until its view of the leases expires."""

from functools import partial

import pytest
from trio import open_nursery, sleep

from tests.acknowledged_writes import AcknowledgedWrites
from tests.group_changes import join
from tests.support import run_virtual
from tests.test_unlisted_endpoint import (
    JOINING,
    POLL_S,
    begin_writes,
    cut_expired,
    last_node,
)
from tests.test_wire_failover import RECORDED_S, lease_holder
from trefoilhitch_lab.wire_stack import WireStack, running_wire_stack

# After the fences, which are set 0.75 s after the acquisition, and before the
# view expires 0.9 s after it.
JOINS_S = 0.76
# Age of the node's view when the lease is acquired, at most.
VIEW_AGE_S = 0.02
SETTLED_S = 1.0
# Time after which nodes that are cut off from each other count as failed.
FAILED_S = 8.0


async def keep_view_fresh(stack: WireStack, name: str) -> None:
    """Have a node read the leases often until a failover holds one."""
    parts = stack.nodes[name].node._parts  # noqa: SLF001
    while not lease_holder(stack):
        parts.leases.refresh(VIEW_AGE_S)
        await sleep(POLL_S)


async def play(listed_after_s: float, cut_s: float = 0) -> None:
    """Let only the primary and a newcomer hold what the node acknowledges."""
    writes = AcknowledgedWrites()
    async with running_wire_stack() as stack, open_nursery() as nursery:
        await sleep(RECORDED_S)
        assert await writes.write(stack, 'before', 'node-1') == ''
        stack.peers_cut = bool(cut_s)
        await sleep(cut_s)
        reaching = last_node(stack)
        nursery.start_soon(begin_writes, stack, writes, reaching)
        nursery.start_soon(keep_view_fresh, stack, reaching)
        await cut_expired(stack, reaching)
        stack.peers_cut = True
        node = stack.nodes[reaching]
        node.store.faults.outage = True
        await sleep(JOINS_S)
        await join(stack, nursery, JOINING, listed_after_s=listed_after_s)
        while not stack.promotions.completed:
            await sleep(POLL_S)
        await sleep(SETTLED_S)
        nursery.cancel_scope.cancel()
    assert not writes.missing(stack.group)


@pytest.mark.parametrize('listed_after_s', [0.1, 0.4, 0.7, 1, 2])
def test_late_listing_drops_no_acknowledged_write(
    listed_after_s: float,
) -> None:
    """Guards against lost writes that a newcomer received after the fences."""
    run_virtual(partial(play, listed_after_s))


@pytest.mark.parametrize('listed_after_s', [0.1, 0.4, 0.7])
def test_node_taken_for_failed_drops_no_acknowledged_write(
    listed_after_s: float,
) -> None:
    """Guards against lost writes of a node that only other nodes miss."""
    run_virtual(partial(play, listed_after_s, FAILED_S))
