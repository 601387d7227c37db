"""Order, limit and refusal of statements, in simulated load patterns.

Each pattern is replayed on the product's decisions and on a simulated endpoint;
see `tests.scheduling_simulation`.
"""

from collections import Counter
from statistics import mean

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.scheduling_simulation import Load, Simulation
from trefoilhitch.fair_queue import FairQueue, QueuedRequest
from trefoilhitch.pooler.scheduling.concurrency_limit import (
    MAX_KINDS,
    ConcurrencyLimit,
    MeasuredResponse,
    SlotBounds,
)
from trefoilhitch.pooler.scheduling.endpoint_turns import (
    EndedTurn,
    EndpointTurns,
)
from trefoilhitch.pooler.scheduling.priority_queue import (
    MAX_PASSED_OVER_S,
    READY_TURNS_PER_OTHER_TURN,
    TURNS_PER_LOWER_TURN,
    PriorityQueue,
)

FOREVER = 1e9
SEEDS = (1, 2, 3)
SLOTS = 4
WORK_S = 0.014
URGENT = Load('urgent', 0, 47, 0.0045, 0.48, end_s=30)
MEDIUM = Load('medium', 1, 60, 0.022, 0.9, end_s=30)
LOW = Load('low', 2, 70, 0.014, 0.48, end_s=30)
# With the usual load this makes four times the rate of the least urgent kind.
FLOOD = Load('flood', 2, 210, 0.014, 0.48, begin_s=10, end_s=22)
# One node gets 85 % of what the endpoint can run.
LONE = Load('lone', 1, 0.85 * SLOTS / 0.022, 0.022, 0.9, node=0, end_s=20)
SLOWNESS = 6.75


def work_per_s(simulation: Simulation, begin_s: float, end_s: float) -> float:
    """Return the work of the statements that were served in a period."""
    work_s = sum(
        each.work_s
        for each in simulation.statements
        if each.outcome == 'served' and begin_s <= each.ended_at < end_s
    )
    return work_s / (end_s - begin_s)


@pytest.mark.parametrize('seed', SEEDS)
def test_flood_of_least_urgent_kind_costs_urgent_requests_little(
    seed: int,
) -> None:
    simulation = Simulation(seed=seed)
    simulation.run([URGENT, MEDIUM, LOW, FLOOD])
    assert simulation.served_fraction('urgent') >= 0.95
    assert simulation.served_fraction('medium') >= 0.95
    # The endpoint stays busy, and refusals hit the flood.
    assert work_per_s(simulation, 12, 22) >= 0.95 * SLOTS
    assert simulation.served_fraction('flood') <= 0.8


@pytest.mark.parametrize('seed', SEEDS)
def test_flood_is_refused_before_its_deadline(seed: int) -> None:
    """Guards against statements that are held although they come too late."""
    simulation = Simulation(seed=seed)
    simulation.run([URGENT, MEDIUM, LOW, FLOOD])
    outcomes = simulation.outcomes('flood')
    unserved = sum(outcomes.values()) - outcomes['served']
    assert outcomes['late'] + outcomes['expired'] <= 0.1 * unserved
    held_s = [
        each.ended_at - each.arrived_at
        for each in simulation.of('flood')
        if each.outcome in {'refused', 'displaced', 'expired'}
    ]
    assert mean(held_s) <= FLOOD.timeout_s / 2


@pytest.mark.parametrize('seed', SEEDS)
def test_large_organisations_do_not_starve_the_others(seed: int) -> None:
    names = tuple(f'org-{number}' for number in range(20))
    simulation = Simulation(seed=seed)
    simulation.run(
        [
            Load('others', 2, 200, 0.014, 0.48, organisations=names),
            Load('sixfold', 2, 60, 0.014, 0.48, organisations=('a',)),
            Load('eightfold', 2, 80, 0.014, 0.48, organisations=('b',)),
        ]
    )
    assert simulation.served_fraction('others') >= 0.9
    for name in ('sixfold', 'eightfold'):
        assert 0.5 <= simulation.served_fraction(name) <= 0.85


@pytest.mark.parametrize('seed', SEEDS)
def test_nothing_is_refused_while_the_endpoint_has_free_slots(
    seed: int,
) -> None:
    """One of three nodes carries all the load."""
    simulation, unlimited = (
        Simulation(seed=seed, is_scheduled=is_scheduled)
        for is_scheduled in (True, False)
    )
    latencies = []
    for each in (simulation, unlimited):
        each.run([LONE])
        assert each.outcomes('lone').keys() == {'served'}
        latencies.append(
            mean(one.ended_at - one.arrived_at for one in each.statements)
        )
    assert latencies[0] <= 1.1 * latencies[1]


@pytest.mark.parametrize('seed', SEEDS)
def test_limit_keeps_the_queue_on_the_node(seed: int) -> None:
    load = Load('lone', 1, 1.4 * SLOTS / 0.022, 0.022, 0.9, node=0)
    simulation = Simulation(seed=seed)
    simulation.run([load])
    assert simulation.max_queue <= 3 * SLOTS
    assert work_per_s(simulation, 2, 10) >= 0.9 * SLOTS


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('node', [None, 0])
def test_slow_endpoint_is_used_and_its_recovery_noticed(
    seed: int, node: int | None
) -> None:
    """The endpoint becomes slower than what arrives, and fast again."""
    simulation = Simulation(
        seed=seed, slowness=lambda now: SLOWNESS if 5 <= now < 15 else 1
    )
    rate = 0.8 * SLOTS / 0.022
    simulation.run([Load('all', 1, rate, 0.022, 0.9, node=node, end_s=25)])
    while_slow = work_per_s(simulation, 7, 15) * SLOWNESS
    assert while_slow >= 0.6 * SLOTS
    afterwards = [each for each in simulation.of('all') if each.arrived_at > 17]
    served = [each for each in afterwards if each.outcome == 'served']
    assert len(served) >= 0.99 * len(afterwards)


@pytest.mark.parametrize('seed', SEEDS)
def test_urgent_requests_are_served_while_the_endpoint_is_slow(
    seed: int,
) -> None:
    simulation = Simulation(
        seed=seed, slowness=lambda now: SLOWNESS if 5 <= now < 17 else 1
    )
    simulation.run([URGENT, MEDIUM, LOW])
    assert simulation.served_fraction('urgent') >= 0.9
    assert simulation.served_fraction('low') <= 0.9


def test_lower_priority_gets_one_turn_in_eight() -> None:
    queue = PriorityQueue(by_deadline=True)
    for _ in range(80):
        queue.push(QueuedRequest('a', FOREVER, 0), 0)
        queue.push(QueuedRequest('a', FOREVER, 2), 0)
    served: Counter[int] = Counter()
    for _ in range(80):
        queued = queue.pop(0)
        assert queued is not None
        served[queued.priority] += 1
    assert served[2] == 80 / TURNS_PER_LOWER_TURN


@pytest.mark.parametrize('seed', SEEDS)
def test_lower_priority_is_served_during_urgent_overload(seed: int) -> None:
    urgent = Load('urgent', 0, 1.5 * SLOTS / 0.014, 0.014, 0.8)
    low = Load('low', 2, 0.1 * SLOTS / 0.014, 0.014, 0.8)
    simulation = Simulation(seed=seed)
    simulation.run([urgent, low])
    assert simulation.served_fraction('low') >= 0.7


def test_earlier_deadline_of_an_organisation_goes_first() -> None:
    queue = PriorityQueue(by_deadline=True)
    requests = [QueuedRequest('a', deadline) for deadline in (5, 3, 4)]
    for request in requests:
        queue.push(request, 0)
    popped = [queue.pop(0) for _ in requests]
    assert [each.deadline for each in popped if each] == [3, 4, 5]


def test_organisations_with_idle_connections_go_first_for_a_while() -> None:
    """More organisations than connections: each change costs a handshake."""
    queue = PriorityQueue(by_deadline=True)
    for name in 'aa' + 10 * 'bc':
        queue.push(QueuedRequest(name, FOREVER), 0)

    def pop(now: float) -> str:
        queued = queue.pop(now, lambda name: name in 'bc')
        assert queued is not None
        return queued.organisation

    served = [pop(0) for _ in range(READY_TURNS_PER_OTHER_TURN)]
    assert served == ['b', 'c', 'b', 'c', 'b']
    late = [
        pop(MAX_PASSED_OVER_S) for _ in range(READY_TURNS_PER_OTHER_TURN + 2)
    ]
    assert late[0] == 'a'
    assert set(late[1:-1]) == {'b', 'c'}
    assert late[-1] == 'a'


def _take(
    queue: PriorityQueue, organisation: str, step: str
) -> QueuedRequest | None:
    if step == 'pop':
        return queue.pop(0)
    if step == 'pop_for':
        return queue.pop_for(organisation, 0)
    waiting = queue.waiting()
    for request in waiting[:1] * 2:
        queue.discard(request)
    return waiting[0] if waiting else None


@given(
    st.lists(
        st.tuples(
            st.sampled_from('abc'),
            st.integers(min_value=-1, max_value=3),
            st.sampled_from(['push', 'push', 'pop', 'pop_for', 'discard']),
        ),
        max_size=60,
    )
)
def test_every_request_is_served_or_discarded_once(
    steps: list[tuple[str, int, str]],
) -> None:
    queue = PriorityQueue(by_deadline=True)
    waiting: set[QueuedRequest | None] = set()
    for organisation, priority, step in steps:
        if step == 'push':
            request = QueuedRequest(organisation, FOREVER, priority)
            queue.push(request, 0)
            waiting.add(request)
        else:
            taken = _take(queue, organisation, step)
            # Only `pop_for` may return nothing while requests wait.
            assert taken in waiting or step == 'pop_for' or not waiting
            waiting -= {taken}
        assert set(queue.waiting()) == waiting
        assert len(queue) == len(waiting)


def test_urgent_arrival_displaces_the_least_urgent_that_is_now_late() -> None:
    turns, bounds = saturated_turns()
    low = [QueuedRequest('a', 0.45, 2) for _ in range(3)]
    medium = QueuedRequest('a', 0.45, 1)
    for request in (*low, medium):
        assert not turns.arrive(request, bounds, 0).displaced
    arrival = turns.arrive(QueuedRequest('a', 0.45, 0), bounds, 0)
    assert not arrival.refused
    assert arrival.displaced == (low[-1],)


def test_late_arrival_of_the_lowest_priority_is_refused() -> None:
    turns, bounds = saturated_turns()
    for _ in range(3):
        assert not turns.arrive(QueuedRequest('a', 0.35, 0), bounds, 0).refused
    late = QueuedRequest('a', 0.25, 2)
    assert turns.would_refuse(late, bounds, 0)
    assert turns.arrive(late, bounds, 0).refused
    assert not turns.arrive(QueuedRequest('a', 0.5, 2), bounds, 0).refused


def test_free_turn_is_given_whatever_the_deadline() -> None:
    turns, bounds = saturated_turns()
    turns.end(EndedTurn(is_limited=True, duration_s=0.1), bounds, 0)
    soon = QueuedRequest('a', 0.001, 2)
    assert turns.arrive(soon, bounds, 0).started == (soon,)


def test_failed_connections_do_not_make_waits_seem_long() -> None:
    """An endpoint that was out of reach returns; nothing may be refused."""
    turns, bounds = saturated_turns()
    for _ in range(50):
        turns.begin_in_transaction()
        turns.end(EndedTurn(is_limited=False, duration_s=9), bounds, 0)
        turns.end(EndedTurn(is_limited=True, duration_s=9), bounds, 0)
        turns.arrive(QueuedRequest('a', FOREVER, 2), bounds, 0)
    turns.arrive(QueuedRequest('a', FOREVER, 2), bounds, 0)
    assert not turns.would_refuse(QueuedRequest('a', 0.5, 2), bounds, 0)


def test_transactions_are_not_held_but_count() -> None:
    turns, bounds = EndpointTurns(), SlotBounds(2, 20)
    for _ in range(5):
        turns.begin_in_transaction()
    waiting = QueuedRequest('a', FOREVER)
    assert not turns.arrive(waiting, bounds, 0).started
    ended = [
        turns.end(EndedTurn(is_limited=False, duration_s=WORK_S), bounds, 0)
        for _ in range(4)
    ]
    assert ended == [[], [], [], [waiting]]


def test_rejections_lower_the_limit_to_the_share_of_the_slots() -> None:
    limit, bounds = ConcurrencyLimit(wanted=16), SlotBounds(2, 20)
    rejected = MeasuredResponse('read', 0.001, 16, failed=True)
    for _ in range(200):
        limit.record(rejected, bounds, reached=True)
    assert limit.current(bounds) == 2


@pytest.mark.parametrize(
    ('share', 'connections', 'expected'), [(2, 20, 2), (0, 0, 1), (4, 2, 2)]
)
def test_limit_is_at_least_one_and_at_most_the_connections(
    share: int, connections: int, expected: int
) -> None:
    bounds = SlotBounds(share, connections)
    limit = ConcurrencyLimit()
    assert limit.current(bounds) == expected
    for _ in range(500):
        limit.record(MeasuredResponse('read', 0.01, 1), bounds, reached=True)
    assert limit.current(bounds) == max(1, connections)


def test_limit_follows_the_share_of_the_slots() -> None:
    """A gateway was lost, or the node's connections were unknown at first."""
    limit = ConcurrencyLimit()
    response = MeasuredResponse('read', 0.01, 1)
    limit.record(response, SlotBounds(1, 1), reached=True)
    assert limit.current(SlotBounds(4, 31)) == 4
    limit.record(response, SlotBounds(4, 31), reached=True)
    assert limit.current(SlotBounds(2, 20)) == 4


def test_unused_limit_does_not_grow() -> None:
    limit, bounds = ConcurrencyLimit(), SlotBounds(2, 20)
    for _ in range(500):
        limit.record(MeasuredResponse('read', 0.01, 1), bounds, reached=False)
    assert limit.current(bounds) == 2


def test_kinds_of_other_nodes_use_little_memory() -> None:
    limit, bounds = ConcurrencyLimit(), SlotBounds(2, 20)
    for number in range(3 * MAX_KINDS):
        response = MeasuredResponse(f'kind-{number}', 0.01, 1)
        limit.record(response, bounds, reached=False)
    assert limit.expected_latency_s('kind-0') < 0.001
    assert limit.expected_latency_s(f'kind-{3 * MAX_KINDS - 1}') > 0


def test_fair_queue_keeps_the_order_of_arrival_by_default() -> None:
    queue = FairQueue(weights={})
    requests = [QueuedRequest('a', deadline) for deadline in (5, 3)]
    for request in requests:
        queue.push(request)
    assert queue.last() is requests[1]
    assert [queue.pop(0), queue.pop(0)] == requests


def saturated_turns() -> tuple[EndpointTurns, SlotBounds]:
    """Return turns with one in flight of one, each of which takes 0.1 s."""
    turns, bounds = EndpointTurns(), SlotBounds(1, 1)
    response = MeasuredResponse('read', 0.1, 1)
    for _ in range(2):
        turns.arrive(QueuedRequest('a', FOREVER, 2), bounds, 0)
        turns.end(EndedTurn(True, 0.1, response), bounds, 0)
    turns.arrive(QueuedRequest('a', FOREVER, 2), bounds, 0)
    return turns, bounds
