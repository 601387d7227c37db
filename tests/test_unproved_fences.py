"""A promotion relies on a fence that an endpoint does not hold."""

from functools import partial

import pytest
from trio import Nursery, current_time, open_nursery, sleep

from tests import test_wire_failover as failover
from tests.support import run_virtual
from tests.test_wire_failover import RECORDED_S, TARGET_GAP_S, primary_of
from trefoilhitch.decision_log import NullLog
from trefoilhitch_lab.wire_endpoint import WireEndpoint
from trefoilhitch_lab.wire_stack import WireStack, running_wire_stack

REPLICAS = ('ledger-1', 'ledger-2')
# A late order is carried out this long after it was sent.
LATE_S = 5.0
# Time from the start of a planned replacement in which orders get no answer.
ORDERS_S = 3
POLL_S = 0.01
# How long an endpoint that restarts is down.
RESTART_S = 0.5
# Time of a decision whose endpoints answer.
DECISION_S = 0.1
# Time without an acknowledged write after a command got no answer.
SERVED_S = 4
WRITERS = 2
WRITE_PAUSE_S = 0.03


async def write_always(stack: WireStack, writer: int) -> None:
    """Write without end, as a client does that retries."""
    number = 0
    while True:
        number += 1
        await failover.write(stack, f'w{writer}-{number}')
        await sleep(WRITE_PAUSE_S)


def start_writers(stack: WireStack, nursery: Nursery) -> None:
    """Start clients that write without end."""
    for writer in range(WRITERS):
        nursery.start_soon(write_always, stack, writer)


def leave_unanswered(stack: WireStack, orders: dict[str, str]) -> None:
    """Leave one control verb unanswered at each of the named endpoints."""
    for endpoint, verb in orders.items():
        faults = stack.group.endpoints[endpoint].faults
        faults.late_orders = {verb: LATE_S}


def let_leave(stack: WireStack, endpoint: str) -> None:
    """Let an endpoint announce its planned shutdown."""
    entry = stack.endpoint_entry(endpoint, state='draining')
    stack.store_state.put('servers', endpoint, entry)


async def answer_later(stack: WireStack) -> None:
    """Let all orders be answered after a while."""
    await sleep(ORDERS_S)
    for each in stack.group.endpoints.values():
        each.faults.late_orders = {}


async def replace_leaving(orders: dict[str, str], within_s: float) -> None:
    """Replace a leaving primary while orders are left unanswered."""
    async with running_wire_stack() as stack, open_nursery() as nursery:
        await sleep(RECORDED_S)
        old = primary_of(stack)
        start_writers(stack, nursery)
        await sleep(1)
        leave_unanswered(stack, orders)
        nursery.start_soon(answer_later, stack)
        let_leave(stack, old.endpoint)
        began_at = current_time()
        while stack.group.primary in {None, old}:
            await sleep(POLL_S)
            assert current_time() - began_at < within_s
        assert primary_of(stack) is not old
        assert await failover.write_until_done(stack, 'after') < 1
        await sleep(LATE_S)
        assert await failover.write_until_done(stack, 'later') < 1
        nursery.cancel_scope.cancel()
    assert stack.group.lost_entries == []


@pytest.mark.parametrize('unfenced', REPLICAS)
def test_primary_that_was_not_demoted_does_not_count_as_fenced(
    unfenced: str,
) -> None:
    """Guards against lost orders: a primary goes on under its own fence."""
    orders = {'ledger-0': 'STEPDOWN', unfenced: 'PAUSE'}
    run_virtual(partial(replace_leaving, orders, ORDERS_S + TARGET_GAP_S))


@pytest.mark.parametrize(
    ('endpoint', 'verb'),
    [
        ('ledger-0', 'STEPDOWN'),
        ('ledger-0', 'PAUSE'),
        *((replica, 'PAUSE') for replica in REPLICAS),
    ],
)
def test_one_unanswered_order_delays_no_replacement(
    endpoint: str, verb: str
) -> None:
    """Guards against a service that waits for an order left unanswered."""
    run_virtual(partial(replace_leaving, {endpoint: verb}, TARGET_GAP_S))


async def restart_soon(endpoint: WireEndpoint, *, keeps_log: bool) -> None:
    """Crash an endpoint and start it again."""
    endpoint.crash()
    await sleep(RESTART_S)
    endpoint.restart(keeps_log=keeps_log)


async def wait_for_command(stack: WireStack) -> None:
    """Wait until a promotion command has arrived."""
    while not stack.promotions.received:
        await sleep(POLL_S)


async def replace_crashed(
    restarting: str, *, keeps_log: bool, returns: bool
) -> None:
    """Leave a promotion command unanswered, and let endpoints return."""
    async with running_wire_stack() as stack, open_nursery() as nursery:
        await sleep(RECORDED_S)
        old = primary_of(stack)
        start_writers(stack, nursery)
        await sleep(1)
        stack.promotions.faults.late_commands = 1
        stack.promotions.faults.late_command_delay_s = LATE_S
        old.crash()
        await wait_for_command(stack)
        if returns:
            old.restart(keeps_log=True)
        replica = stack.group.endpoints[restarting]
        await restart_soon(replica, keeps_log=keeps_log)
        assert await failover.write_until_done(stack, 'after') < SERVED_S
        await sleep(LATE_S)
        assert await failover.write_until_done(stack, 'later') < 1
        nursery.cancel_scope.cancel()
    assert stack.group.lost_entries == []


@pytest.mark.parametrize('keeps_log', [True, False])
@pytest.mark.parametrize('restarting', REPLICAS)
def test_repeated_command_rests_on_fences_that_still_stand(
    restarting: str, keeps_log: bool
) -> None:
    """Guards against lost orders: those of a restarted replica."""
    play = partial(
        replace_crashed, restarting, keeps_log=keeps_log, returns=True
    )
    run_virtual(play)


@pytest.mark.parametrize('restarting', REPLICAS)
def test_service_is_served_after_an_unanswered_command(
    restarting: str,
) -> None:
    """Guards against a group without a primary once its replicas are back."""
    play = partial(replace_crashed, restarting, keeps_log=True, returns=False)
    run_virtual(play)


class CommandLog(NullLog):
    """Keeps when promotion commands ended, by event."""

    def __init__(self) -> None:
        """Start before the first command."""
        self.ended_at: dict[str, float] = {}

    def event(self, name: str, **fields: object) -> None:
        """Keep when an event was logged."""
        self.ended_at[name] = current_time()


async def lose_answer(log: CommandLog) -> None:
    """Lose the answer to a command that was carried out."""
    async with running_wire_stack(log=log) as stack:
        await sleep(RECORDED_S)
        stack.promotions.faults.drop_responses = 1
        primary_of(stack).crash()
        await failover.write_until_done(stack, 'after')


def test_lost_answer_to_a_command_delays_no_service() -> None:
    """Guards against a decision that overlooks its own promotion."""
    log = CommandLog()
    run_virtual(partial(lose_answer, log))
    unanswered_at = log.ended_at['promotion_unanswered']
    answered_at = log.ended_at['promotion_ordered']
    assert answered_at - unanswered_at < DECISION_S
    assert 'promotion_withheld' not in log.ended_at
