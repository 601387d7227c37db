"""Endpoints that held acknowledged commits and are gone when it matters."""

from collections.abc import Awaitable, Callable
from functools import partial

import pytest
from trio import Nursery, open_nursery, sleep

from tests.acknowledged_writes import AcknowledgedWrites
from tests.client_writers import start_writers, wait_until_served
from tests.group_changes import join, leave
from tests.support import run_virtual
from tests.test_restarted_nodes import crash, register
from tests.test_unproved_fences import let_leave
from tests.test_wire_failover import GAP_BOUND_S, RECORDED_S
from trefoilhitch_lab.wire_endpoint import WireEndpoint
from trefoilhitch_lab.wire_stack import WireStack, running_wire_stack

PRIMARY = 'ledger-0'
HOLDER = 'ledger-1'
REPLICAS = ('ledger-1', 'ledger-2')
BEHIND = ('ledger-2', 'ledger-3')
NEW = ('ledger-3', 'ledger-4')
SUCCESSOR = 'ledger-9'
WRITING_S = 1.0
DRAIN_S = 3.0
# How long the endpoint that would end the doubt is away.
AWAY_S = 8.0
CAUGHT_UP_S = 2.0
RESTART_S = 0.2

_Departure = Callable[[WireStack], Awaitable[None]]


def cut_off(stack: WireStack, *names: str, cut: bool) -> None:
    """Stop endpoints from receiving commits, or let them catch up."""
    for name in names:
        each = stack.group.endpoints[name]
        each.faults.cut_from_group = cut
        stack.group.catch_up(each)


def return_primary(stack: WireStack) -> None:
    """Start the primary again with its log, and its role if nobody has it."""
    old = stack.group.endpoints[PRIMARY]
    old.is_primary = stack.group.primary is None
    old.restart(keeps_log=True)
    register(stack, PRIMARY)


def transfer_log(stack: WireStack, gone: WireEndpoint) -> None:
    """Start a new endpoint with a departed one's log, at its address."""
    gone.endpoint = SUCCESSOR
    stack.group.endpoints[SUCCESSOR] = gone
    gone.restart(keeps_log=True)
    register(stack, SUCCESSOR)


async def drain(drained_s: float, stack: WireStack) -> None:
    """Let the holder announce its shutdown, and leave."""
    let_leave(stack, HOLDER)
    await sleep(drained_s)
    leave(stack, HOLDER)


async def leave_unannounced(stack: WireStack) -> None:
    """Let the holder disappear with its entry and its log."""
    leave(stack, HOLDER)


async def restart_empty(listed: bool, stack: WireStack) -> None:
    """Start the holder again under its id with an empty log."""
    holder = stack.group.endpoints[HOLDER]
    holder.crash()
    await sleep(RESTART_S)
    holder.faults.cut_from_group = True
    holder.restart(keeps_log=False)
    if listed:
        register(stack, HOLDER)


async def depart(departure: _Departure, crash_after_s: float) -> None:
    """Crash the primary after the only replica that held all has gone."""
    writes = AcknowledgedWrites()
    async with running_wire_stack() as stack, open_nursery() as nursery:
        await join(stack, nursery, 'ledger-3')
        await sleep(RECORDED_S)
        start_writers(stack, nursery, writes)
        await sleep(WRITING_S)
        cut_off(stack, *BEHIND, cut=True)
        await sleep(WRITING_S)
        await departure(stack)
        await sleep(crash_after_s)
        crash(stack, PRIMARY)
        await sleep(AWAY_S)
        return_primary(stack)
        present = [name for name in stack.group.endpoints if name != PRIMARY]
        cut_off(stack, *present, cut=False)
        await wait_until_served(stack, writes, GAP_BOUND_S)
        nursery.cancel_scope.cancel()
    assert writes.missing(stack.group) == []


@pytest.mark.parametrize('crash_after_s', [0, 0.5, 2, 4])
@pytest.mark.parametrize('drained_s', [0.3, DRAIN_S])
def test_drained_endpoint_takes_no_acknowledged_write_along(
    drained_s: float, crash_after_s: float
) -> None:
    """Guards against lost orders: those left do not hold what it held."""
    run_virtual(partial(depart, partial(drain, drained_s), crash_after_s))


@pytest.mark.parametrize('crash_after_s', [0, 0.5, 4])
def test_lost_endpoint_takes_no_acknowledged_write_along(
    crash_after_s: float,
) -> None:
    """Guards against lost orders: an endpoint is gone without a notice."""
    run_virtual(partial(depart, leave_unannounced, crash_after_s))


@pytest.mark.parametrize('crash_after_s', [0, 0.5, 2])
@pytest.mark.parametrize('listed', [True, False], ids=['listed', 'unlisted'])
def test_empty_log_under_a_known_id_drops_no_acknowledged_write(
    listed: bool, crash_after_s: float
) -> None:
    """Guards against lost orders: an id stands for a log that is gone."""
    run_virtual(partial(depart, partial(restart_empty, listed), crash_after_s))


async def join_without_log(stack: WireStack, nursery: Nursery) -> None:
    """Start endpoints that nobody sends the log to."""
    for name in NEW:
        joining = await join(stack, nursery, name)
        cut_off(stack, name, cut=True)
        joining.log.clear()
        joining.applied_count = 0


async def replace_all(
    return_log: Callable[[WireStack, WireEndpoint], None], away_s: float
) -> None:
    """Let all that held the log leave, and one of the logs come back."""
    writes = AcknowledgedWrites()
    async with running_wire_stack() as stack, open_nursery() as nursery:
        await sleep(RECORDED_S)
        start_writers(stack, nursery, writes)
        await sleep(WRITING_S)
        holder = stack.group.endpoints[HOLDER]
        for name in REPLICAS:
            let_leave(stack, name)
        await join_without_log(stack, nursery)
        await sleep(DRAIN_S)
        crash(stack, PRIMARY)
        for name in REPLICAS:
            leave(stack, name)
        await sleep(away_s)
        assert stack.promotions.completed == []
        return_log(stack, holder)
        cut_off(stack, *NEW, cut=False)
        await wait_until_served(stack, writes, GAP_BOUND_S)
        nursery.cancel_scope.cancel()
    assert writes.missing(stack.group) == []


def return_primary_log(stack: WireStack, _: WireEndpoint) -> None:
    """Let the primary come back."""
    return_primary(stack)


@pytest.mark.parametrize('away_s', [1, AWAY_S])
@pytest.mark.parametrize(
    'return_log',
    [return_primary_log, transfer_log],
    ids=['primary', 'successor'],
)
def test_empty_log_is_not_promoted_after_all_others_left(
    return_log: Callable[[WireStack, WireEndpoint], None], away_s: float
) -> None:
    """Guards against the loss of all orders, and of the service after it."""
    run_virtual(partial(replace_all, return_log, away_s))
