"""Orders of a failover that are carried out late, as clients see them."""

from functools import partial

import pytest
from trio import Nursery, current_time, open_nursery, sleep

from tests.acknowledged_writes import AcknowledgedWrites
from tests.client_writers import (
    start_writers,
    wait_until_served,
    watch_service,
)
from tests.support import run_virtual
from tests.test_restarted_nodes import register
from tests.test_unproved_fences import wait_for_command
from tests.test_wire_failover import (
    GAP_BOUND_S,
    RECORDED_S,
    lease_holder,
    primary_of,
)
from trefoilhitch_lab.wire_group import PROMOTION_DURATION_S
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
BURST_WRITES = 20
# Enough slots for new writes beside those that wait for a replica.
SLOTS = 60
# Delay of orders that no test waits for.
NEVER_S = 100.0
# Time in which the nodes retry a service that was not served.
SETTLED_S = 4.0


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


async def wait_for_order(stack: WireStack, endpoint: str, verb: str) -> None:
    """Wait until an endpoint has received a control statement."""
    received = stack.group.endpoints[endpoint].request_counts
    while not received[verb]:
        await sleep(POLL_S)


async def give_up_replacement(stack: WireStack) -> None:
    """Let a failover end without a command, and send RESUME.

    The leaving primary is not demoted, and one replica is not fenced.
    """
    endpoints = stack.group.endpoints
    endpoints[PRIMARY].faults.late_orders = {'STEPDOWN': NEVER_S}
    endpoints[REPLICAS[0]].faults.late_orders = {'PAUSE': NEVER_S}
    endpoints[REPLICAS[1]].faults.late_orders = {'RESUME': NEVER_S}
    entry = stack.endpoint_entry(PRIMARY, state='draining', capacity=SLOTS)
    stack.store_state.put('servers', PRIMARY, entry)
    await wait_for_order(stack, REPLICAS[1], 'RESUME')
    assert stack.promotions.received == []
    for name in REPLICAS:
        endpoints[name].faults.late_orders = {}


async def write_burst(
    stack: WireStack, nursery: Nursery, writes: AcknowledgedWrites
) -> None:
    """Write through each node at once, for the duration of a promotion."""
    for number in range(BURST_WRITES):
        for node in stack.nodes:
            mark = f'burst-{node}-{number}'
            nursery.start_soon(writes.write, stack, mark, node)
        await sleep(PROMOTION_DURATION_S / BURST_WRITES)


async def resume_late(offset_s: float) -> None:
    """Carry out a RESUME after the next failover's command."""
    writes = AcknowledgedWrites()
    async with running_wire_stack() as stack, open_nursery() as nursery:
        await sleep(RECORDED_S)
        start_writers(stack, nursery, writes)
        await sleep(WRITING_S)
        for each in stack.group.endpoints.values():
            each.faults.max_connections = 2 * SLOTS
        await give_up_replacement(stack)
        await wait_for_command(stack)
        candidate = stack.promotions.received[0].endpoint
        await sleep(offset_s)
        other = next(name for name in REPLICAS if name != candidate)
        resumed = stack.group.endpoints[other]
        resumed.terms.fenced = 0
        stack.group.catch_up(resumed)
        await write_burst(stack, nursery, writes)
        await wait_until_served(stack, writes, GAP_BOUND_S)
        await sleep(PROMOTED_S)
        await wait_until_served(stack, writes, GAP_BOUND_S)
        nursery.cancel_scope.cancel()
    assert primary_of(stack).endpoint != PRIMARY
    assert writes.missing(stack.group) == []


@pytest.mark.parametrize('offset_s', [0, 0.05, 0.1, 0.15, 0.2, 0.25])
def test_late_resume_drops_no_acknowledged_write(offset_s: float) -> None:
    """Guards against lost orders: a fence ends while a promotion runs."""
    run_virtual(partial(resume_late, offset_s))


async def fence_late(late: tuple[str, ...], late_s: float) -> None:
    """Carry out orders of a failover that was given up long before."""
    writes = AcknowledgedWrites()
    async with running_wire_stack() as stack, open_nursery() as nursery:
        await sleep(RECORDED_S)
        start_writers(stack, nursery, writes)
        await sleep(WRITING_S)
        endpoints = stack.group.endpoints
        for name, each in endpoints.items():
            delay_s = late_s if name in late else NEVER_S
            each.faults.late_orders = {'PAUSE': delay_s, 'STEPDOWN': delay_s}
        endpoints[PRIMARY].faults.cut_from_group = True
        await wait_for_order(stack, REPLICAS[0], 'RESUME')
        assert stack.promotions.received == []
        endpoints[PRIMARY].faults.cut_from_group = False
        for name, each in endpoints.items():
            each.faults.late_orders = {}
            stack.group.catch_up(each)
        await wait_until_served(stack, writes, GAP_BOUND_S)
        await watch_service(writes, late_s + SETTLED_S, GAP_BOUND_S)
        await wait_until_served(stack, writes, GAP_BOUND_S)
        nursery.cancel_scope.cancel()
    assert writes.missing(stack.group) == []


@pytest.mark.parametrize('late_s', [2, 5, 12])
@pytest.mark.parametrize(
    'late',
    [(PRIMARY,), REPLICAS[:1], REPLICAS, (PRIMARY, *REPLICAS)],
    ids=['demoted', 'one-fenced', 'both-fenced', 'all'],
)
def test_late_fence_stops_no_service_for_long(
    late: tuple[str, ...], late_s: float
) -> None:
    """Guards against a group that a fence keeps from serving for ever."""
    run_virtual(partial(fence_late, late, late_s))
