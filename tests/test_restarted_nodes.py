"""Nodes that have restarted know few members of a group, and replace none."""

from collections.abc import Callable
from functools import partial

import pytest
from trio import Nursery, current_time, open_nursery, sleep

from tests import test_wire_failover as failover
from tests.support import run_virtual
from tests.test_unreadable_objects import restart_all
from tests.test_wire_failover import GAP_BOUND_S, RECORDED_S, primary_of
from trefoilhitch.platform.object_store import ENDPOINT_KIND
from trefoilhitch.pooler.endpoint_registry import (
    MISSING_GRACE_S,
)
from trefoilhitch.pooler.former_endpoints import LOST_RETENTION_S
from trefoilhitch_lab.wire_stack import (
    DATA_CENTRES,
    WireStack,
    running_wire_stack,
)

FIRST_BACK = 'ledger-1'
SECOND_REPLICA = 'ledger-2'
NODES = ('node-0', 'node-1', 'node-2')
# Entries lapse after three heartbeats without an answer of the store.
LAPSE_S = 3.6
# Time after the store's return by which all entries are written again.
RETURN_S = 1.9
SETTLE_S = 4.0
PAUSE_S = 0.02
# Bound of the gap if the members have to be known first.
RESTARTED_GAP_S = failover.TARGET_GAP_S + MISSING_GRACE_S


def set_outage(stack: WireStack, *, outage: bool) -> None:
    """Take the store away from all nodes, or give it back."""
    for running in stack.nodes.values():
        running.store.faults.outage = outage


def remove_entries(stack: WireStack, *names: str) -> None:
    """Let the entries of endpoints lapse."""
    for name in names or tuple(stack.group.endpoints):
        stack.store_state.remove(ENDPOINT_KIND, name)


def register(stack: WireStack, name: str) -> None:
    """Write the entry of one endpoint."""
    stack.store_state.put(ENDPOINT_KIND, name, stack.endpoint_entry(name))


def crash(stack: WireStack, name: str) -> None:
    """Crash an endpoint; its log stays."""
    endpoint = stack.group.endpoints[name]
    endpoint.crash()
    endpoint.is_primary = False


async def restart(stack: WireStack, *names: str) -> None:
    """Kill some nodes at once and start them while the store is away."""
    for name in names:
        stack.kill_node(name)
    for name in names:
        running = await stack.start_node(name)
        running.store.faults.outage = True


async def write_orders(stack: WireStack, name: str) -> None:
    """Write at one node without a pause."""
    number = 0
    while True:
        number += 1
        if name in stack.nodes:
            try:
                await failover.write(stack, f'{name}-{number}', name)
            except OSError:
                await sleep(PAUSE_S)
        await sleep(PAUSE_S)


def start_writers(stack: WireStack, nursery: Nursery) -> None:
    """Write at all nodes without a pause."""
    for name in NODES:
        nursery.start_soon(write_orders, stack, name)


def play(scenario: Callable[[WireStack], object]) -> None:
    """Run a scenario against a stack beside writers, on a virtual clock."""

    async def run_all() -> None:
        async with running_wire_stack() as stack:
            await sleep(RECORDED_S)
            async with open_nursery() as nursery:
                start_writers(stack, nursery)
                await scenario(stack)
                nursery.cancel_scope.cancel()
            assert stack.group.acknowledged_entries
            assert stack.group.lost_entries == []

    run_virtual(run_all)


async def return_one_by_one(killed: tuple[str, ...], stack: WireStack) -> None:
    """Restart nodes while the entries lapse; one replica's is back first."""
    old = primary_of(stack)
    await sleep(1)
    set_outage(stack, outage=True)
    await sleep(LAPSE_S)
    await restart(stack, *killed)
    remove_entries(stack)
    await sleep(PAUSE_S)
    set_outage(stack, outage=False)
    register(stack, FIRST_BACK)
    await sleep(RETURN_S)
    stack.register_endpoints()
    await sleep(SETTLE_S)
    assert primary_of(stack) is old
    for name in NODES:
        assert await failover.write(stack, f'after-{name}', name) == ''


@pytest.mark.parametrize('count', range(1, len(NODES) + 1))
@pytest.mark.parametrize('first', range(len(NODES)))
def test_restarted_nodes_promote_the_only_listed_replica(
    first: int, count: int
) -> None:
    """Guards against lost orders: a live primary replaced unheard."""
    killed = tuple(NODES[(first + each) % len(NODES)] for each in range(count))
    play(partial(return_one_by_one, killed))


async def crash_two_before_restart(stack: WireStack) -> None:
    """Leave a replica that lacks commits alone, then restart all nodes."""
    lagging = stack.group.endpoints[SECOND_REPLICA]
    lagging.faults.cut_from_group = True
    assert await failover.write(stack, 'only-in-two') == ''
    crashed = (primary_of(stack).endpoint, FIRST_BACK)
    for name in crashed:
        crash(stack, name)
    remove_entries(stack, *crashed)
    await restart_all(stack)
    await sleep(LOST_RETENTION_S / 2)
    assert stack.promotions.completed == []
    lagging.faults.cut_from_group = False
    returned = stack.group.endpoints[FIRST_BACK]
    returned.faults.down = False
    register(stack, FIRST_BACK)
    await failover.write_until_done(stack, 'after')


def test_restarted_nodes_promote_a_replica_that_lags_behind_lost_ones() -> None:
    """Guards against lost orders: those of endpoints that nobody lists."""
    play(crash_two_before_restart)


async def crash_after_restart(delay_s: float, stack: WireStack) -> None:
    """Restart all nodes, then crash the primary."""
    old = primary_of(stack)
    await restart_all(stack)
    await sleep(delay_s)
    crash(stack, old.endpoint)
    crashed_at = current_time()
    while await failover.write(stack, f'after-{current_time()}'):
        assert current_time() - crashed_at < GAP_BOUND_S
        await sleep(PAUSE_S)
    assert current_time() - crashed_at <= RESTARTED_GAP_S
    assert primary_of(stack) is not old


async def crash_after_first_start(delay_s: float) -> None:
    """Crash the primary before any record of the group can exist."""
    async with running_wire_stack() as stack:
        await failover.write(stack, 'before')
        await sleep(delay_s)
        crash(stack, primary_of(stack).endpoint)
        assert await failover.write_until_done(stack, 'after') <= (
            RESTARTED_GAP_S
        )
        assert stack.group.lost_entries == []


@pytest.mark.parametrize('delay_s', [0, 0.5, 2, 3])
def test_crash_after_the_first_start_is_replaced(delay_s: float) -> None:
    """Guards against a new group that nobody serves after a crash."""
    run_virtual(partial(crash_after_first_start, delay_s))


@pytest.mark.parametrize('delay_s', [0, 0.3, 1.5, 3])
def test_crash_after_a_restart_of_all_nodes_is_replaced(delay_s: float) -> None:
    """Guards against a safe service that is not served any more."""
    play(partial(crash_after_restart, delay_s))


async def lose_two_for_good(stack: WireStack) -> None:
    """Lose the primary and a replica for good, then restart all nodes."""
    lost = (primary_of(stack).endpoint, SECOND_REPLICA)
    for name in lost:
        crash(stack, name)
    remove_entries(stack, *lost)
    await restart_all(stack)
    await sleep(MISSING_GRACE_S + LOST_RETENTION_S + SETTLE_S)
    assert primary_of(stack).endpoint not in lost
    assert await failover.write(stack, 'after') == ''


def test_lost_endpoints_keep_a_group_unserved_for_a_bounded_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a group that waits for ever for endpoints that left."""
    places = (*DATA_CENTRES, 'dharan')
    monkeypatch.setattr('trefoilhitch_lab.wire_stack.DATA_CENTRES', places)
    play(lose_two_for_good)
