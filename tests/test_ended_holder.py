"""Leases whose holder's process has ended."""

from types import MappingProxyType

import pytest
from trio import current_time, sleep

from tests import test_wire_failover as failover
from tests.support import with_virtual_clock
from tests.test_wire_failover import (
    GAP_BOUND_S,
    RECORDED_S,
    SERVICE,
    TAKE_OVER_S,
    lease_holder,
    primary_of,
)
from trefoilhitch.platform.object_store import ENDPOINT_KIND, LEASE_KIND
from trefoilhitch.pooler.failover_decision import PREPARE_SILENCE_S
from trefoilhitch.pooler.lease import LEASE_DURATION_S
from trefoilhitch.pooler.monitor import CHECK_INTERVAL_S
from trefoilhitch_lab.wire_endpoint import WireEndpoint
from trefoilhitch_lab.wire_stack import WireStack, running_wire_stack

PAUSE_S = 0.02
# The one in the data centre of the first primary is none of the monitors of a
# service whose primary is unknown.
NODES = ('node-1', 'node-2', 'node-4', 'node-5', 'node-6')
# Longest time from the first node's start to the first acknowledged write.
RESTARTED_S = 2.5
# Longest time from a crash of the primary to the first acknowledged write if
# the lease counts as held. Its 4 s begin when a monitor suspects the primary.
HELD_S = PREPARE_SILENCE_S + CHECK_INTERVAL_S + LEASE_DURATION_S + TAKE_OVER_S
ODD_ADDRESSES = (
    'nonsense',
    'a\x00b:80',
    '127.0.0.1:0',
    '127.0.0.1:99999',
    '127.0.0.1:-1',
    '[::1]:80',
    ':',
)
ODD_LEASE = MappingProxyType(
    {'token': 3, 'holder': 'node-9', 'attempt': 'node-9/1', 'candidate': ''}
)


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


@pytest.mark.parametrize('address', ODD_ADDRESSES)
def test_odd_address_of_a_holder_keeps_a_lease_for_ever(address: str) -> None:
    """Guards against a failover that fails for what another writer left."""

    @with_virtual_clock
    async def play() -> None:
        async with running_wire_stack() as stack:
            await sleep(RECORDED_S)
            stack.store_state.put(
                LEASE_KIND, SERVICE, {**ODD_LEASE, 'address': address}
            )
            primary_of(stack).crash()
            primary_of(stack).is_primary = False
            took_s = await write_until_done(stack)
            for running in stack.nodes.values():
                assert running.metrics.total('task_failures') == 0
        assert stack.group.lost_entries == []
        assert LEASE_DURATION_S <= took_s <= HELD_S

    play()


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
