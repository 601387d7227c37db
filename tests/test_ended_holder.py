"""Leases whose holder's process has ended."""

from trio import current_time, sleep

from tests import test_wire_failover as failover
from tests.support import with_virtual_clock
from tests.test_wire_failover import (
    GAP_BOUND_S,
    RECORDED_S,
    lease_holder,
    primary_of,
)
from trefoilhitch.platform.object_store import ENDPOINT_KIND
from trefoilhitch_lab.wire_endpoint import WireEndpoint
from trefoilhitch_lab.wire_stack import WireStack, running_wire_stack

PAUSE_S = 0.02
# The one in the data centre of the first primary is none of the monitors of a
# service whose primary is unknown.
NODES = ('node-1', 'node-2', 'node-4', 'node-5', 'node-6')
# Longest time from the first node's start to the first acknowledged write.
RESTARTED_S = 2.5


async def demote_primary(stack: WireStack) -> None:
    """Let the primary leave, and wait until a failover has demoted it."""
    old = primary_of(stack)
    register_leaving(stack, old)
    while old.is_primary:
        await sleep(PAUSE_S / 10)
    register_leaving(stack, old)


def register_leaving(stack: WireStack, endpoint: WireEndpoint) -> None:
    """Write the entry of an endpoint that leaves, with its present role."""
    entry = stack.endpoint_entry(endpoint.endpoint, state='draining')
    stack.store_state.put(ENDPOINT_KIND, endpoint.endpoint, entry)


async def restart_all(stack: WireStack) -> None:
    """Kill all nodes at once and start them without waiting for them."""
    names = list(stack.nodes)
    for name in names:
        # A cancelled task could still release the lease, a killed one cannot.
        running = stack.nodes[name]
        running.store.faults.outage = True
        stack.kill_node(name)
    for name in names:
        await stack.start_node(name)


async def write_until_done(stack: WireStack) -> float:
    """Write at any node until it is acknowledged; return the seconds taken."""
    started_at = current_time()
    number = 0
    while await failover.write(stack, f'after-{number}'):
        number += 1
        assert current_time() - started_at < GAP_BOUND_S
        await sleep(PAUSE_S)
    return current_time() - started_at


@with_virtual_clock
async def test_holder_that_restarted_does_not_keep_its_lease() -> None:
    """Guards against a service without a primary while no failover runs."""
    async with running_wire_stack(nodes=0) as stack:
        for name in NODES:
            await stack.start_node(name)
        await sleep(RECORDED_S)
        assert await failover.write(stack, 'before') == ''
        await demote_primary(stack)
        assert lease_holder(stack)
        assert stack.promotions.received == []
        await restart_all(stack)
        took_s = await write_until_done(stack)
    assert stack.group.lost_entries == []
    assert took_s <= RESTARTED_S
