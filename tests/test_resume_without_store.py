"""A replica is unfenced for a moment, and a node hears nothing of the store."""

from functools import partial

import pytest
from trio import open_nursery, sleep

from tests.acknowledged_writes import AcknowledgedWrites
from tests.support import run_virtual
from tests.test_unlisted_endpoint import (
    POLL_S,
    begin_writes,
    cut_control,
    last_node,
    wait_for_lease,
)
from tests.test_unproved_fences import wait_for_command
from tests.test_wire_failover import RECORDED_S
from trefoilhitch_lab.wire_stack import running_wire_stack

REPLICAS = ('ledger-1', 'ledger-2')
# The node has a view that shows the held lease before the store is silent.
SEEN_S = 0.6
# Together with the promotion, less than the time in which it is answered.
LATE_S = 0.85
SETTLED_S = 1.0


async def play(resumed_after_s: float, *, isolated: bool) -> None:
    """Carry out a RESUME while a command takes effect."""
    writes = AcknowledgedWrites()
    async with running_wire_stack() as stack, open_nursery() as nursery:
        await sleep(RECORDED_S)
        assert await writes.write(stack, 'before', 'node-1') == ''
        reaching = last_node(stack)
        nursery.start_soon(begin_writes, stack, writes, reaching)
        stack.promotions.faults.late_commands = 1
        stack.promotions.faults.late_command_delay_s = LATE_S
        await cut_control(stack, reaching)
        stack.peers_cut = isolated
        await wait_for_lease(stack)
        await sleep(SEEN_S)
        node = stack.nodes[reaching]
        node.store.faults.outage = True
        await wait_for_command(stack)
        candidate = stack.promotions.received[0].endpoint
        other = next(name for name in REPLICAS if name != candidate)
        await sleep(resumed_after_s)
        resumed = stack.group.endpoints[other]
        resumed.terms.fenced = 0
        stack.group.catch_up(resumed)
        while not stack.promotions.completed:
            await sleep(POLL_S)
        await sleep(SETTLED_S)
        nursery.cancel_scope.cancel()
    assert not writes.missing(stack.group)


@pytest.mark.parametrize('isolated', [False, True])
@pytest.mark.parametrize('resumed_after_s', [0.55, 0.65, 0.75, 0.85])
def test_late_resume_drops_no_write_of_a_node_without_the_store(
    resumed_after_s: float, isolated: bool
) -> None:
    """Guards against lost orders: a known failover is not asked any more."""
    run_virtual(partial(play, resumed_after_s, isolated=isolated))
