"""Orders of a failover that are carried out late, as clients see them."""

from functools import partial

import pytest
from trio import current_time, open_nursery, sleep

from tests.acknowledged_writes import AcknowledgedWrites
from tests.client_writers import start_writers, wait_until_served
from tests.support import run_virtual
from tests.test_restarted_nodes import register
from tests.test_wire_failover import (
    GAP_BOUND_S,
    RECORDED_S,
    lease_holder,
    primary_of,
)
from trefoilhitch_lab.wire_stack import WireStack, running_wire_stack

PRIMARY = 'ledger-0'
REPLICAS = ('ledger-1', 'ledger-2')
NODES = 4
WRITING_S = 1.0
POLL_S = 0.01
# How long endpoints are down; another node begins a failover in the longer
# ones, and gives it up.
SHORT_RESTART_S = 0.2
LONG_RESTARTS_S = (0.6, 1.0, 1.5, 2.5)
# Time by which a late command has promoted its endpoint.
PROMOTED_S = 1.0


async def kill_holders(stack: WireStack, count: int) -> None:
    """Kill each holder of the lease after its promotion command."""
    for number in range(count):
        while len(stack.promotions.received) <= number:
            await sleep(POLL_S)
        holder = stack.promotions.received[number].holder
        assert holder == lease_holder(stack)
        stack.kill_node(holder)


async def return_all_but_candidate(stack: WireStack, down_s: float) -> None:
    """Let the old primary and the other replica start again, with logs."""
    candidate = stack.promotions.received[0].endpoint
    other = next(name for name in REPLICAS if name != candidate)
    stack.group.endpoints[other].crash()
    await sleep(down_s)
    for name in (PRIMARY, other):
        stack.group.endpoints[name].restart(keeps_log=True)
        register(stack, name)


async def promote_late(
    holders: int, late_s: float, down_s: float = SHORT_RESTART_S
) -> None:
    """Carry out a command when its holder is gone and the primary is back."""
    writes = AcknowledgedWrites()
    async with (
        running_wire_stack(nodes=NODES) as stack,
        open_nursery() as nursery,
    ):
        await sleep(RECORDED_S)
        start_writers(stack, nursery, writes)
        await sleep(WRITING_S)
        stack.promotions.faults.late_commands = holders
        stack.promotions.faults.late_command_delay_s = late_s
        primary_of(stack).crash()
        await kill_holders(stack, holders)
        commanded_at = current_time()
        await return_all_but_candidate(stack, down_s)
        await wait_until_served(stack, writes, GAP_BOUND_S)
        await sleep(commanded_at + late_s + PROMOTED_S - current_time())
        await wait_until_served(stack, writes, GAP_BOUND_S)
        nursery.cancel_scope.cancel()
    assert writes.marks
    assert writes.missing(stack.group) == []


@pytest.mark.parametrize('late_s', [2, 3, 5, 8, 12])
@pytest.mark.parametrize('holders', [1, 2])
def test_late_command_drops_no_acknowledged_write(
    holders: int, late_s: float
) -> None:
    """Guards against lost orders: a command outlives its holder's fences."""
    run_virtual(partial(promote_late, holders, late_s))


@pytest.mark.parametrize('down_s', LONG_RESTARTS_S)
@pytest.mark.parametrize('late_s', [4, 8])
def test_late_command_drops_no_write_after_a_failover_was_given_up(
    late_s: float, down_s: float
) -> None:
    """Guards against lost orders: the next holder finds the primary back."""
    run_virtual(partial(promote_late, 1, late_s, down_s))
