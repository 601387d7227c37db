"""Reads avoid replicas that are not expected to have their position.

The model (`lag_model`) runs without a network, on seeded random choices.
"""

from collections import Counter
from functools import cache
from statistics import mean

import pytest
from msgspec.json import encode

from tests.balancing_model import SERVICE, ModelEndpoint
from tests.lag_model import (
    LAG_BEGINS_AT,
    LAG_ENDS_AT,
    ROUTE,
    LaggingModel,
)
from tests.support import run_virtual
from tests.test_read_balancing import REGIONS, WORK_S, imbalance
from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.peer import EndpointLoad
from trefoilhitch.decision_log import NullLog
from trefoilhitch.pooler.balancing.load_observer import LoadObserver
from trefoilhitch.pooler.balancing.log_lag import (
    Sighting,
    is_expected_at,
    observed_lag_s,
)
from trefoilhitch.pooler.balancing.trial_turn import (
    TRIAL_INTERVAL_S,
    TrialTurn,
)
from trefoilhitch.pooler.cluster_state import (
    AVOID_LAGGING_S,
    ClusterState,
    record_lagging,
)
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.endpoint_selection import (
    EndpointSelector,
    ReadRequirements,
    Target,
)
from trefoilhitch.pooler.observations import PrimaryObservation
from trefoilhitch.pooler.peer_messages import apply_load_reports, load_reports
from trefoilhitch.pooler.primary_tracker import Primary
from trefoilhitch.pooler.response import Refusal, Response

SEEDS = (1, 2, 3, 4, 5, 6)
NODES = 82
SLOTS = 6
# The scored days run for 30 s; recipes sends 235 statements a second to each
# of its services, of which some are writes.
RUN_S = 30
READS_PER_S = 200
LAGGING = ('b', 'bc')
# Begins of the half seconds after replicas have caught up.
HALF_SECONDS = tuple(LAG_ENDS_AT + number / 2 for number in range(6))


def make_record(name: str) -> EndpointRecord:
    """Return the entry of an endpoint that bears its data centre's name."""
    return EndpointRecord(
        name, SERVICE, '127.0.0.1:1', name, 1, False, 'replica', SLOTS
    )


@cache
def played(
    seed: int,
    lagging: str,
    *,
    by_position: bool = True,
    reports_received: bool = False,
) -> LaggingModel:
    """Return a model after replicas lagged by 3 s for 6 s."""
    names = list(REGIONS)
    model = LaggingModel(
        seed=seed,
        regions=REGIONS,
        endpoints=[ModelEndpoint(make_record(each), WORK_S) for each in 'abc'],
        nodes=[names[number % len(names)] for number in range(NODES)],
        lagging=lagging,
        by_position=by_position,
        reports_received=reports_received,
    )
    model.prove_primary(until=RUN_S)
    model.exchange_loads(until=RUN_S)
    model.send_reads(READS_PER_S, until=RUN_S, since=1)
    model.run()
    return model


def models(lagging: str, *, by_position: bool = True) -> list[LaggingModel]:
    """Return the models of all seeds."""
    return [played(seed, lagging, by_position=by_position) for seed in SEEDS]


def refused_parts(lagging: str, *, by_position: bool) -> list[float]:
    """Return which part of the reads was answered with LAGGING, by seed."""
    return [
        model.refused_part(0, RUN_S)
        for model in models(lagging, by_position=by_position)
    ]


@pytest.mark.parametrize(('lagging', 'least'), [('b', 0.028), ('bc', 0.1)])
def test_former_rule_sent_many_reads_to_lagging_replicas(
    lagging: str, least: float
) -> None:
    """Each node finds out by itself, and again after 0.4 s."""
    assert min(refused_parts(lagging, by_position=False)) >= least


@pytest.mark.parametrize('lagging', LAGGING)
def test_few_reads_are_answered_with_lagging(lagging: str) -> None:
    assert max(refused_parts(lagging, by_position=True)) <= 0.02


@pytest.mark.parametrize('lagging', LAGGING)
def test_positions_of_received_entries_cost_each_node_one_refusal(
    lagging: str,
) -> None:
    """Replicas report the end of a log of which they lack the last 3 s."""
    played_models = [
        played(seed, lagging, reports_received=True) for seed in SEEDS
    ]
    assert max(model.refused_part(0, RUN_S) for model in played_models) <= 0.02


def test_replicas_are_read_again_soon_after_they_caught_up() -> None:
    """Without turns, no node may try the replica for a second."""
    returns = [
        model.read_again_s(endpoint)
        for lagging, endpoint in (('b', 'b'), ('bc', 'b'), ('bc', 'c'))
        for model in models(lagging)
    ]
    assert mean(returns) <= 0.25
    assert max(returns) <= 0.5


@pytest.mark.parametrize('lagging', LAGGING)
def test_nodes_return_one_after_the_other(lagging: str) -> None:
    """A replica that caught up is not overrun by nodes that all return."""
    for model in models(lagging):
        for endpoint in lagging:
            counts = [
                model.arrivals(since, since + 0.5)[endpoint]
                for since in HALF_SECONDS
            ]
            usual = model.arrivals(16, RUN_S)[endpoint] / (2 * (RUN_S - 16))
            assert max(counts) <= 1.6 * usual
            assert counts[0] < usual
            assert counts[-1] >= 0.6 * usual


def test_reads_are_divided_among_the_endpoints_that_can_serve() -> None:
    """All reads of the replica's region would go to one endpoint else."""
    for model in models('b'):
        arrivals = model.arrivals(LAG_BEGINS_AT + 2, LAG_ENDS_AT)
        serving = [arrivals['a'], arrivals['c']]
        assert max(serving) <= 1.25 * mean(serving)
        assert imbalance(model, 16, RUN_S) <= 1.1


@pytest.mark.parametrize('lagging', LAGGING)
def test_a_data_centre_tries_a_replica_once_in_the_trial_interval(
    lagging: str,
) -> None:
    """On average; the nodes agree on no time."""
    since = LAG_BEGINS_AT + 2
    counts = Counter(
        (node.data_centre, endpoint)
        for model in models(lagging)
        for moment, node, endpoint in model.counts.lagging
        if since <= moment < LAG_ENDS_AT
    )
    intervals = len(SEEDS) * (LAG_ENDS_AT - since) / TRIAL_INTERVAL_S
    assert max(counts.values()) <= 1.2 * intervals


@pytest.mark.parametrize('rank', range(4))
def test_nodes_take_turns(rank: int) -> None:
    """All learn at once that the replica lacks an entry since 10.0."""
    turn = TrialTurn(rank, 4)
    first_at = turn.first_at(10, 10.5, TRIAL_INTERVAL_S)
    place = (first_at - 10) / TRIAL_INTERVAL_S - 1
    assert place % 4 == pytest.approx(rank)
    assert 10.5 + TRIAL_INTERVAL_S <= first_at <= 10.5 + 5 * TRIAL_INTERVAL_S
    # It had a read to send only later, and keeps its place.
    next_at = turn.next_at(first_at, first_at + 0.7, TRIAL_INTERVAL_S)
    assert next_at == pytest.approx(first_at + 4 * TRIAL_INTERVAL_S)
    assert turn.next_at(0, 20, TRIAL_INTERVAL_S) == 20 + TRIAL_INTERVAL_S


# The lag of one replica


def proof(position: int, sent_at: float, term: int = 1) -> PrimaryObservation:
    """Return an observation of the primary."""
    return PrimaryObservation(
        SERVICE,
        'a',
        term,
        LogPosition(term=term, position=position),
        sent_at,
    )


def seen(position: int, at: float, term: int = 1) -> Sighting:
    """Return a sighting of a replica."""
    return Sighting(LogPosition(term=term, position=position), at)


# Ten entries a second.
HISTORY = [proof(position, position / 10) for position in range(100, 131, 5)]


@pytest.mark.parametrize(
    ('sighting', 'lag_s'),
    [
        (seen(130, 13.5), 0),
        (seen(140, 13.5), 0),
        (seen(129, 13), 0),
        (seen(114, 13), 1.5),
        (seen(112, 13), 1.7),
        # It reached the position before the history begins.
        (seen(90, 13), None),
        # A position of a later term is later, whatever its number.
        (seen(1, 13, term=2), 0),
    ],
)
def test_lag_is_the_time_since_the_primary_had_the_next_entry(
    sighting: Sighting, lag_s: float | None
) -> None:
    lag = observed_lag_s(sighting, HISTORY)
    assert lag == pytest.approx(lag_s)


def test_pause_between_writes_is_no_lag() -> None:
    """The primary was at 100 for nine seconds, and has just written one."""
    history = [proof(100, 1), proof(101, 10)]
    assert observed_lag_s(seen(100, 10.02), history) == pytest.approx(0.02)


def test_gap_of_a_failover_is_no_lag() -> None:
    """No primary was observed for three seconds."""
    history = [proof(100, 1), proof(101, 4, term=2)]
    assert observed_lag_s(seen(100, 4.05), history) == pytest.approx(0.05)


def needs(number: int, term: int = 1) -> LogPosition:
    """Return the position that a read needs."""
    return LogPosition(term=term, position=number)


@pytest.mark.parametrize(
    ('needed', 'sighting', 'reference', 'now', 'expected'),
    [
        # It has the position, however long ago it was seen.
        (needs(110), seen(110, 11.5), None, 13, True),
        # A constant lag of 1 s: it has what the primary had 1 s ago.
        (needs(119), seen(118, 12.9), seen(113, 12.4), 13, True),
        (needs(125), seen(118, 12.9), seen(113, 12.4), 13, False),
        # A growing lag: nothing was applied since.
        (needs(119), seen(114, 12.9), seen(114, 12.4), 13.2, False),
        # A short lag allows everything.
        (needs(130), seen(128, 13), seen(123, 12.5), 13, True),
        # The lag is older than the history.
        (needs(130), seen(90, 13), None, 13, True),
        # The term counts first.
        (needs(1, term=2), seen(114, 12.9), None, 13, False),
    ],
)
def test_replica_is_expected_to_have_what_its_lag_allows(
    needed: LogPosition,
    sighting: Sighting,
    reference: Sighting | None,
    now: float,
    expected: bool,
) -> None:
    assert is_expected_at(needed, sighting, reference, HISTORY, now) == expected


# What a node chooses


class Clock:
    """A clock that tests set."""

    now: float = 0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


class Node:
    """A node next to replica 'b', whose primary is 'a'.

    Args:
        by_position: whether it takes account of positions.

    """

    def __init__(self, *, by_position: bool = True) -> None:
        """Learn of the primary's log for 10 s."""
        self.clock = Clock()
        self.cluster = ClusterState(
            selector=EndpointSelector(data_centre='b', regions=REGIONS),
            log=NullLog(),
            clock=self.clock,
            draw=lambda: 0.5,
            turn=(lambda: TrialTurn(0, 1)) if by_position else None,
        )
        self.cluster.endpoints.replace_all(
            {each: make_record(each) for each in 'abc'}, 0
        )
        for number in range(1, 101):
            self.clock.now = number / 10
            self.cluster.record_proof(
                Primary(SERVICE, 'a', 1), needs(number), self.clock.now, ''
            )

    def choose(self, *tried: str) -> Target:
        """Return the target of a bounded read."""
        target = self.cluster.choose_read_target(
            ReadRequirements(ROUTE, self.clock.now, None),
            self.clock.now,
            tried,
        )
        assert target is not None
        return target

    def respond(self, number: int, applied: int | None = None) -> None:
        """Have 'b' respond to a read, with a refusal if it lags."""
        needed = self.choose('a', 'c').minimum_position
        assert needed is not None
        has_position = (applied or number) >= needed.position
        refusal = None if has_position else Refusal.TOO_OLD
        response = Response(refusal=refusal, position=needs(number))
        self.cluster.positions.record('b', response, needed)
        if refusal:
            record_lagging(self.cluster, 'b', self.clock.now)


def test_replica_that_lags_ranks_behind_the_others() -> None:
    node = Node()
    assert node.choose().endpoint == 'b'
    node.respond(70)
    target = node.choose()
    assert target.endpoint != 'b'
    assert target.lag_handling == 'avoided'
    # It is not excluded.
    assert node.choose('a', 'c').endpoint == 'b'


def test_one_read_tries_a_replica_that_lags() -> None:
    """Reads that follow at once would all be refused as well."""
    node = Node()
    node.respond(70)
    node.clock.now += 2 * TRIAL_INTERVAL_S
    assert node.choose().lag_handling == 'tried'
    assert node.choose('c').lag_handling == 'avoided'
    node.cluster.positions.record_trial('b')
    assert node.choose().lag_handling == 'avoided'


def test_replica_that_caught_up_is_chosen_at_once() -> None:
    node = Node()
    node.respond(70)
    node.respond(100)
    target = node.choose()
    assert target.endpoint == 'b'
    assert not target.lag_handling


def test_refusal_counts_more_than_the_reported_position() -> None:
    """An endpoint may report what it has received and not applied."""
    node = Node()
    node.respond(100, applied=70)
    assert node.choose().endpoint != 'b'
    # A statement that requires no position shows nothing.
    response = Response(position=needs(100))
    node.cluster.positions.record('b', response)
    assert node.choose().endpoint != 'b'
    node.respond(100)
    assert node.choose().endpoint == 'b'


def test_refusal_of_a_recent_commit_has_effect_for_a_moment_only() -> None:
    """A session reads its own commit before the replica has applied it."""
    node = Node()
    response = Response(refusal=Refusal.TOO_OLD, position=needs(99))
    node.cluster.positions.record('b', response, needs(100))
    record_lagging(node.cluster, 'b', node.clock.now)
    assert node.choose().endpoint != 'b'
    node.clock.now += AVOID_LAGGING_S
    node.cluster.record_proof(
        Primary(SERVICE, 'a', 1), needs(104), node.clock.now, ''
    )
    assert node.choose().endpoint == 'b'
    assert not node.cluster.positions.reports()


def test_lag_is_forgotten_through_a_trial() -> None:
    node = Node()
    node.respond(70)
    node.clock.now += 30
    node.cluster.record_proof(
        Primary(SERVICE, 'a', 1), needs(400), node.clock.now, ''
    )
    assert node.choose().endpoint == 'b'


def test_fixed_pause_stays_if_the_lag_is_unknown() -> None:
    """The endpoint reported no position with its refusal."""
    node = Node()
    record_lagging(node.cluster, 'b', node.clock.now)
    assert node.choose().endpoint != 'b'
    node.clock.now += AVOID_LAGGING_S
    assert node.choose().endpoint == 'b'


def test_choices_are_as_before_if_the_option_is_off() -> None:
    """For 0.4 s after a refusal the replica ranks behind, and not longer."""
    node = Node(by_position=False)
    node.respond(70)
    assert node.choose().endpoint != 'b'
    assert not node.choose().lag_handling
    node.clock.now += AVOID_LAGGING_S
    assert node.choose().endpoint == 'b'
    assert not node.cluster.positions.reports()


# Reports of other nodes


def report_of(
    number: int, age_ms: int = 0, *, refused: bool = False
) -> EndpointLoad:
    """Return a report that states only the position of 'b'."""
    return EndpointLoad(
        endpoint='b',
        age_ms=3000,
        position_term=1,
        position=number,
        position_age_ms=age_ms,
        refused=refused,
    )


@pytest.mark.parametrize('number', [1, 70, 95, 10**15])
def test_report_never_changes_the_position_that_a_read_needs(
    number: int,
) -> None:
    """A wrong report costs an attempt; the endpoint still refuses the read."""
    node = Node()
    needed = node.choose().minimum_position
    node.cluster.positions.apply_peer_report(report_of(number), node.clock.now)
    assert node.choose().minimum_position == needed


def test_node_avoids_a_replica_that_another_node_saw_lag() -> None:
    node = Node()
    apply_load_reports(
        node.cluster, [report_of(70, age_ms=100)], 5, node.clock.now
    )
    assert node.choose().endpoint != 'b'
    # The report states no load.
    assert not node.cluster.loads.reports(5)


def test_outdated_and_empty_reports_are_ignored() -> None:
    node = Node()
    for report in (report_of(70, age_ms=3000), report_of(0)):
        node.cluster.positions.apply_peer_report(report, node.clock.now)
    assert node.choose().endpoint == 'b'


def test_older_report_does_not_replace_a_newer_position() -> None:
    node = Node()
    node.respond(100)
    node.cluster.positions.apply_peer_report(
        report_of(70, age_ms=500), node.clock.now
    )
    assert node.choose().endpoint == 'b'


def test_node_reports_only_what_it_observed_of_replicas_that_lag() -> None:
    """Hearsay that is sent on would never age out; other bytes are wasted."""
    node = Node()
    node.cluster.positions.record('c', Response(position=needs(100)))
    node.cluster.positions.apply_peer_report(report_of(70), node.clock.now)
    assert not load_reports(node.cluster, 5)
    node.respond(71)
    node.clock.now += 0.5
    assert load_reports(node.cluster, 5) == [
        report_of(71, age_ms=500, refused=True)
    ]
    node.clock.now += 2
    assert not load_reports(node.cluster, 5)


def test_load_and_position_share_one_report() -> None:
    node = Node()
    node.respond(70)
    for endpoint in ('b', 'c'):
        node.cluster.loads.observe(SERVICE, endpoint, 0, 0.02, 5)
    first, second = load_reports(node.cluster, 5)
    assert (first.endpoint, first.response_ms, first.position) == ('b', 20, 70)
    assert b'position' not in encode(second)


def test_news_of_a_replica_that_caught_up_is_reported() -> None:
    """Else the others would find out one by one."""
    node = Node()
    node.respond(70)
    node.respond(100)
    assert load_reports(node.cluster, 5) == [report_of(100)]


def test_gateway_repeats_no_position_that_its_reply_contains() -> None:
    """A statement that was not sent has no response with a position."""

    async def play() -> tuple[EndpointLoad | None, EndpointLoad | None]:
        node = Node()
        node.respond(70)
        observer = LoadObserver(
            node.cluster.loads,
            node.cluster.selector,
            node.cluster.find,
            node.cluster.positions,
        )
        return (
            observer.report('b', states_position=False),
            observer.report('b', states_position=True),
        )

    without, stated = run_virtual(play)
    assert without is None
    assert stated == report_of(70, refused=True)


def test_node_applies_the_position_that_its_gateway_reports() -> None:
    node = Node()
    node.cluster.positions.apply_gateway_report(report_of(70, refused=True))
    assert node.choose().endpoint != 'b'
    assert load_reports(node.cluster, 5) == [report_of(70, refused=True)]
