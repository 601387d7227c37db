"""Endpoints that start again under their ids and have lost their logs."""

from collections.abc import Awaitable, Callable
from functools import partial

import pytest
from trio import current_time, open_nursery, sleep

from tests import test_wire_failover as failover
from tests.support import run_virtual
from tests.test_restarted_nodes import crash, register, restart
from tests.test_unproved_fences import start_writers
from tests.test_wire_failover import RECORDED_S, TARGET_GAP_S, primary_of
from trefoilhitch_lab.wire_stack import WireStack, running_wire_stack

PRIMARY = 'ledger-0'
REPLICAS = ('ledger-1', 'ledger-2')
BEHIND = 'ledger-1'
WRITING_S = 1.5
# How long replicas and primaries are down.
REPLICA_DOWN_S = 0.6
PRIMARY_DOWN_S = 4.0
# Time by which the service has to be served once the primary is back.
SERVED_S = 3.0
# Time in which a restarted replica is known to have caught up.
CAUGHT_UP_S = 2.0
PAUSE_S = 0.02

_Scenario = Callable[[WireStack], Awaitable[None]]


def start_again(stack: WireStack, name: str, *, keeps_log: bool) -> None:
    """Start a crashed endpoint under its id."""
    stack.group.endpoints[name].restart(keeps_log=keeps_log)
    register(stack, name)


async def wait_until_served(stack: WireStack, bound_s: float) -> None:
    """Write until it succeeds, within a bound."""
    started_at = current_time()
    number = 0
    while await failover.write(stack, f'after-{started_at}-{number}'):
        number += 1
        assert current_time() - started_at < bound_s
        await sleep(PAUSE_S)


def play(scenario: _Scenario) -> None:
    """Run a scenario beside writers, on a virtual clock."""

    async def run_all() -> None:
        async with running_wire_stack() as stack, open_nursery() as nursery:
            await sleep(RECORDED_S)
            start_writers(stack, nursery)
            await sleep(WRITING_S)
            await scenario(stack)
            nursery.cancel_scope.cancel()
        assert stack.group.acknowledged_entries
        assert stack.group.lost_entries == []

    run_virtual(run_all)


async def return_primary(stack: WireStack) -> None:
    """Let the primary come back, with its log and its role."""
    assert stack.promotions.completed == []
    stack.group.endpoints[PRIMARY].is_primary = True
    start_again(stack, PRIMARY, keeps_log=True)
    for name in REPLICAS:
        stack.group.catch_up(stack.group.endpoints[name])
    await wait_until_served(stack, SERVED_S)


async def end_all(restarted: tuple[str, ...], stack: WireStack) -> None:
    """End all endpoints; the replicas start again with nothing."""
    for name in (PRIMARY, *REPLICAS):
        crash(stack, name)
    await sleep(REPLICA_DOWN_S)
    for name in REPLICAS:
        start_again(stack, name, keeps_log=False)
    if restarted:
        await restart(stack, *restarted)
        for each in stack.nodes.values():
            each.store.faults.outage = False
    await sleep(PRIMARY_DOWN_S)
    await return_primary(stack)


@pytest.mark.parametrize('restarted', [(), ('node-0', 'node-1', 'node-2')])
def test_no_empty_log_is_promoted_before_the_primary_is_back(
    restarted: tuple[str, ...],
) -> None:
    """Guards against the loss of all orders after a power failure."""
    play(partial(end_all, restarted))


async def lose_newest_replica(stack: WireStack) -> None:
    """Let a replica fall behind; the other one starts with nothing."""
    behind = stack.group.endpoints[BEHIND]
    behind.faults.cut_from_group = True
    await sleep(WRITING_S)
    for name in (PRIMARY, REPLICAS[1]):
        crash(stack, name)
    await sleep(REPLICA_DOWN_S)
    start_again(stack, REPLICAS[1], keeps_log=False)
    await sleep(PRIMARY_DOWN_S)
    behind.faults.cut_from_group = False
    await return_primary(stack)


def test_replica_that_is_behind_is_not_promoted_beside_an_empty_log() -> None:
    """Guards against lost orders: those that only the lost log held."""
    play(lose_newest_replica)


async def replace_after_restart(
    names: tuple[str, ...], keeps_log: bool, stack: WireStack
) -> None:
    """Crash the primary after replicas started again beside it."""
    for name in names:
        crash(stack, name)
    await sleep(REPLICA_DOWN_S)
    for name in names:
        start_again(stack, name, keeps_log=keeps_log)
    await sleep(CAUGHT_UP_S)
    old = primary_of(stack)
    crash(stack, old.endpoint)
    await wait_until_served(stack, TARGET_GAP_S)
    assert primary_of(stack) is not old


@pytest.mark.parametrize('keeps_log', [True, False])
@pytest.mark.parametrize('names', [REPLICAS[:1], REPLICAS])
def test_replicas_that_caught_up_count_again(
    names: tuple[str, ...], keeps_log: bool
) -> None:
    """Guards against a safe service that is not served any more."""
    play(partial(replace_after_restart, names, keeps_log))


async def keep_all_logs(stack: WireStack) -> None:
    """End all endpoints; the replicas are back with their logs."""
    for name in (PRIMARY, *REPLICAS):
        crash(stack, name)
    await sleep(REPLICA_DOWN_S)
    for name in REPLICAS:
        start_again(stack, name, keeps_log=True)
    await wait_until_served(stack, TARGET_GAP_S)


def test_replicas_that_are_back_with_their_logs_serve() -> None:
    """Guards against a wait for a primary whose commits are all held."""
    play(keep_all_logs)


async def restart_new_group() -> None:
    """Crash the primary of a group without commits, after a restart."""
    async with running_wire_stack() as stack:
        await sleep(RECORDED_S)
        crash(stack, BEHIND)
        await sleep(REPLICA_DOWN_S)
        start_again(stack, BEHIND, keeps_log=False)
        await sleep(CAUGHT_UP_S)
        crash(stack, PRIMARY)
        await wait_until_served(stack, TARGET_GAP_S)


def test_new_group_without_commits_is_served() -> None:
    """Guards against a new group whose empty logs count as lost."""
    run_virtual(restart_new_group)
