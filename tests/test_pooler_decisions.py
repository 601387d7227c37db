"""Tests of the pooler's decisions, without clock and connections."""

import pytest

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.pooler.catalogue import Catalogue, Freshness, Route
from trefoilhitch.pooler.commit_tracker import CommitTracker
from trefoilhitch.pooler.current_declaration import (
    CurrentDeclaration,
    Declaration,
)
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.endpoint_registry import (
    MISSING_GRACE_S,
    EndpointRegistry,
)
from trefoilhitch.pooler.endpoint_selection import (
    EndpointSelector,
    ReadRequirements,
    choose_read_target,
)
from trefoilhitch.pooler.failover_decision import (
    COMMIT_STALL_TIMEOUT_S,
    SILENCE_TIMEOUT_S,
    FailoverReason,
    FencedEndpoint,
    PrimaryEvidence,
    choose_candidate,
    choose_replica_candidate,
    failover_reason,
    holds_every_commit,
    next_term,
)
from trefoilhitch.pooler.former_endpoints import LOST_RETENTION_S
from trefoilhitch.pooler.lease import (
    LEASE_DURATION_S,
    LeaseRecord,
    ObservedLease,
    may_acquire,
)
from trefoilhitch.pooler.lifecycle import DrainPlan, Readiness
from trefoilhitch.pooler.observations import (
    AGE_MARGIN_S,
    ObservationHistory,
    PrimaryObservation,
    later_position,
)
from trefoilhitch.pooler.outcome import (
    FailedAttempt,
    ResponseLoss,
    lost_statement_response,
    lost_transaction_response,
)
from trefoilhitch.pooler.primary_tracker import Primary, PrimaryTracker
from trefoilhitch.pooler.response import Refusal, SessionState
from trefoilhitch.pooler.session import variable_change
from trefoilhitch.pooler.statement import Verb

MEMBERS = ('a', 'b', 'c')
NOW = 10.0
SILENT_SINCE = NOW - SILENCE_TIMEOUT_S - 0.01
STALLED_SINCE = NOW - COMMIT_STALL_TIMEOUT_S - 0.01


def at(term: int, number: int) -> LogPosition:
    """Return a log position."""
    return LogPosition(term=term, position=number)


def record(endpoint: str, **changes: object) -> EndpointRecord:
    """Return the entry of an endpoint."""
    fields: dict[str, object] = {
        'endpoint': endpoint,
        'service': 'ledger',
        'address': f'10.0.0.{ord(endpoint[0])}:1',
        'data_centre': endpoint,
        'started_at_ms': 1,
        'leaving': False,
        'role': 'replica',
        'slots': 3,
    }
    return EndpointRecord(**{**fields, **changes})  # type: ignore[arg-type]


def fenced(endpoint: str, term: int, number: int) -> FencedEndpoint:
    """Return a replica that was fenced."""
    return FencedEndpoint(endpoint, term, at(term, number))


# Freshness


def observation(sent_at: float, number: int) -> PrimaryObservation:
    """Return a proof that endpoint `a` was the primary."""
    return PrimaryObservation('ledger', 'a', 1, at(1, number), sent_at)


def route(freshness: Freshness, max_age_s: float) -> Route:
    """Return a route."""
    return Route('stock', 'ledger', freshness, max_age_s, 1, 1)


def test_oldest_recent_observation_is_used() -> None:
    observations = ObservationHistory()
    for moment in range(5):
        observations.add(observation(moment, moment * 10))
    oldest = observations.oldest_since('ledger', 2)
    assert oldest is not None
    assert oldest.position == at(1, 20)
    assert observations.oldest_since('ledger', 4.1) is None


@pytest.mark.parametrize(
    ('freshness', 'age_s', 'proves'),
    [
        (Freshness.LATEST, 0, True),
        (Freshness.BOUNDED_STALENESS, 0.5, False),
        (Freshness.BOUNDED_STALENESS, 1.5 - AGE_MARGIN_S + 0.01, True),
        (Freshness.READ_YOUR_WRITES, 0.5, False),
    ],
)
def test_read_without_recent_proof_goes_to_primary(
    freshness: Freshness, age_s: float, proves: bool
) -> None:
    observations = ObservationHistory()
    observations.add(observation(10 - age_s, 7))
    max_age_s = 0 if freshness == Freshness.LATEST else 1.5
    requirements = ReadRequirements(route(freshness, max_age_s), 10, at(1, 9))
    records = [record(each) for each in MEMBERS]
    target = choose_read_target(requirements, records[1:], 'a', observations)
    assert target is not None
    assert target.requires_primary_proof is proves
    assert (target.endpoint == 'a') is proves
    assert target.minimum_position == at(1, 9)


def test_read_goes_to_primary_after_other_endpoints() -> None:
    observations = ObservationHistory()
    observations.add(observation(10, 7))
    requirements = ReadRequirements(
        route(Freshness.BOUNDED_STALENESS, 1.5), 10, None
    )
    records = [record('b'), record('c')]
    target = choose_read_target(
        requirements, records, 'a', observations, {'b', 'c'}
    )
    assert target is not None
    assert (target.endpoint, target.requires_primary_proof) == ('a', True)


def test_near_endpoints_without_failures_rank_first() -> None:
    choice = EndpointSelector(
        data_centre='a', regions={'a': 'r', 'b': 'r', 'c': 's'}
    )
    records = [record(each) for each in ('c', 'b', 'a')]
    assert [each.endpoint for each in choice.rank(records, 0)] == list(MEMBERS)
    choice.avoid('a', 5)
    choice.mark_lagging('b', 5)
    ranked = [each.endpoint for each in choice.rank(records, 0)]
    assert ranked == ['c', 'b', 'a']
    assert [each.endpoint for each in choice.rank(records, 6)] == list(MEMBERS)


def test_later_position_compares_terms_first() -> None:
    assert later_position(at(2, 1), at(1, 9)) == at(2, 1)
    assert later_position(None, at(1, 9)) == at(1, 9)
    assert later_position(None, None) is None


# Primaries


def test_latest_term_wins_over_directory() -> None:
    tracker = PrimaryTracker()
    members = [record('a', role='primary'), record('b')]
    assert tracker.current('ledger', members) == 'a'
    assert tracker.record_proof(Primary('ledger', 'b', 2))
    assert not tracker.record_proof(Primary('ledger', 'a', 1))
    assert tracker.current('ledger', members) == 'b'
    assert tracker.record_not_primary('ledger', 'b')
    assert not tracker.record_proof(Primary('ledger', 'b', 2))
    assert tracker.current('ledger', members) == 'a'


def test_directory_is_ignored_for_refusing_endpoint() -> None:
    tracker = PrimaryTracker()
    members = [record('a', role='primary'), record('b')]
    assert tracker.record_not_primary('ledger', 'a')
    assert tracker.current('ledger', members) is None
    assert tracker.record_proof(Primary('ledger', 'a', 1))


def test_two_listed_primaries_give_none() -> None:
    members = [record('a', role='primary'), record('b', role='primary')]
    assert PrimaryTracker().current('ledger', members) is None


@pytest.mark.parametrize(
    ('evidence', 'changes', 'lost', 'reason'),
    [
        (PrimaryEvidence(), {}, False, None),
        (PrimaryEvidence(unanswered_since=SILENT_SINCE), {}, False, 'silent'),
        (PrimaryEvidence(unanswered_since=9.9), {}, False, None),
        (
            PrimaryEvidence(unacknowledged_since=STALLED_SINCE),
            {},
            False,
            'stalled',
        ),
        (PrimaryEvidence(), {'leaving': True}, False, 'leaving'),
        (PrimaryEvidence(), {}, True, 'gone'),
    ],
)
def test_failover_reasons(
    evidence: PrimaryEvidence,
    changes: dict[str, object],
    lost: bool,
    reason: str | None,
) -> None:
    primary = record('a', role='primary', **changes)
    returned = failover_reason(evidence, primary, lost=lost, now=10)
    assert (returned and returned.value) == reason


def test_missing_primary_is_a_reason_after_timeout() -> None:
    since = PrimaryEvidence(unanswered_since=SILENT_SINCE)
    returned = failover_reason(PrimaryEvidence(), None, lost=False, now=NOW)
    assert returned is None
    returned = failover_reason(since, None, lost=False, now=NOW)
    assert returned == FailoverReason.NO_PRIMARY


# Candidates for promotion


@pytest.mark.parametrize(
    ('reached', 'primary', 'sync_replicas', 'enough'),
    [
        ('bc', 'a', 1, True),
        ('ab', 'a', 1, True),
        ('b', 'a', 1, False),
        ('a', 'a', 1, False),
        ('bc', None, 1, True),
        ('c', None, 1, False),
        ('bc', None, 0, False),
        ('abc', None, 1, True),
        ('b', 'a', 2, False),
        ('bc', 'a', 2, True),
        ('bc', 'a', 0, True),
    ],
)
def test_fenced_endpoints_must_hold_every_commit(
    reached: str, primary: str | None, sync_replicas: int, enough: bool
) -> None:
    returned = holds_every_commit(reached, primary, MEMBERS, sync_replicas)
    assert returned is enough


def test_candidate_has_most_advanced_log() -> None:
    each = [fenced('a', 1, 50), fenced('b', 2, 7), fenced('c', 2, 6)]
    chosen = choose_candidate(each, (), None)
    assert chosen is not None
    assert chosen.endpoint == 'b'
    assert choose_candidate(each, {'b'}, None) is None


def test_candidate_is_preferably_not_old_primary() -> None:
    each = [fenced('a', 1, 5), fenced('b', 1, 5)]
    chosen = choose_candidate(each, (), 'a')
    assert chosen is not None
    assert chosen.endpoint == 'b'


def test_unacknowledged_commits_need_not_be_kept() -> None:
    primary = FencedEndpoint('a', 1, at(1, 9), was_primary=True)
    replicas = [fenced('b', 1, 7), fenced('c', 1, 6)]
    chosen = choose_replica_candidate([primary, *replicas], MEMBERS, 1, ())
    assert chosen is not None
    assert chosen.endpoint == 'b'
    one = choose_replica_candidate([primary, replicas[0]], MEMBERS, 1, ())
    assert one is None


def test_next_term_is_above_all_known_terms() -> None:
    assert next_term({'a': 3, 'b': 5}, 4) == 6
    assert next_term({}, 4) == 5


def test_lease_is_acquired_when_released_or_expired() -> None:
    held = ObservedLease(LeaseRecord(1, 3, 'other', 'x', ''), 10)
    released = ObservedLease(LeaseRecord(1, 3, '', 'x', ''), 10)
    assert not may_acquire(held, 'me', 10 + LEASE_DURATION_S - 0.1, 0)
    assert may_acquire(held, 'me', 10 + LEASE_DURATION_S, 0)
    assert may_acquire(held, 'other', 10, 0)
    assert may_acquire(released, 'me', 10, 0)


def test_later_acknowledgement_clears_overdue_commits() -> None:
    commits = CommitTracker()
    commits.record_overdue('ledger', 'a', 5)
    commits.record_overdue('ledger', 'a', 6)
    assert commits.progress('ledger', 'a').first_overdue_sent_at == 5
    commits.record_acknowledged('ledger', 'a', 5.5)
    assert commits.progress('ledger', 'a').first_overdue_sent_at is None
    commits.record_overdue('ledger', 'a', 5.4)
    assert commits.progress('ledger', 'a').first_overdue_sent_at is None
    assert commits.progress('ledger', 'b').acknowledged_sent_at is None


# Endpoints


def test_missing_entry_is_kept_for_grace_period() -> None:
    book = EndpointRegistry()
    book.put(record('a'))
    book.mark_missing('a', 10)
    assert book.members('ledger')
    assert not book.usable('ledger')
    assert not book.drop_expired(10 + MISSING_GRACE_S - 0.1)
    book.put(record('a'))
    assert book.usable('ledger')


def test_restart_under_another_id_replaces_entry() -> None:
    book = EndpointRegistry()
    book.put(record('a', address='10.0.0.9:1'))
    book.put(record('c', address='10.0.0.8:1'))
    book.mark_missing('a', 10)
    book.drop_expired(10 + MISSING_GRACE_S)
    book.put(record('b', address='10.0.0.9:1', started_at_ms=2))
    book.put(record('d', address='10.0.0.8:1', service='other'))
    holders = [each.endpoint for each in book.log_holders('ledger')]
    assert holders == ['b', 'c']


def test_lost_endpoint_counts_as_log_holder() -> None:
    book = EndpointRegistry()
    book.put(record('a'))
    book.put(record('b', leaving=True))
    book.mark_missing('a', 10)
    book.mark_missing('b', 10)
    gone_at = 10 + MISSING_GRACE_S
    assert sorted(book.drop_expired(gone_at)) == ['a', 'b']
    holders = book.log_holders('ledger')
    assert [each.endpoint for each in holders] == ['a']
    book.drop_expired(gone_at + LOST_RETENTION_S)
    assert not book.log_holders('ledger')


# Sessions


@pytest.mark.parametrize(
    ('held', 'wanted', 'reset', 'assign'),
    [
        ({}, {}, False, {}),
        ({'a': '1'}, {'a': '1'}, False, {}),
        ({'a': '1'}, {'a': '2', 'b': '3'}, False, {'a': '2', 'b': '3'}),
        ({'a': '1', 'c': '4'}, {'a': '1'}, True, {'a': '1'}),
        ({'c': '4'}, {}, True, {}),
    ],
)
def test_variable_changes(
    held: dict[str, str],
    wanted: dict[str, str],
    reset: bool,
    assign: dict[str, str],
) -> None:
    change = variable_change(held, wanted)
    assert (change.reset, dict(change.assignments)) == (reset, assign)


@pytest.mark.parametrize(
    ('writes', 'loss', 'refusal'),
    [
        (True, ResponseLoss.NOT_SENT, Refusal.BUSY),
        (True, ResponseLoss.CONNECTION_LOST, Refusal.OUTCOME_UNKNOWN),
        (True, ResponseLoss.DEADLINE_PASSED, Refusal.OUTCOME_UNKNOWN),
        (False, ResponseLoss.NOT_SENT, Refusal.BUSY),
        (False, ResponseLoss.CONNECTION_LOST, Refusal.ABORTED),
        (False, ResponseLoss.DEADLINE_PASSED, Refusal.TIMEOUT),
    ],
)
def test_responses_to_lost_statements(
    writes: bool, loss: ResponseLoss, refusal: Refusal
) -> None:
    assert (
        lost_statement_response(FailedAttempt(writes, loss)).refusal == refusal
    )


@pytest.mark.parametrize(
    ('verb', 'wrote', 'loss', 'refusal', 'state'),
    [
        (
            Verb.COMMIT,
            True,
            ResponseLoss.DEADLINE_PASSED,
            Refusal.OUTCOME_UNKNOWN,
            'idle',
        ),
        (Verb.COMMIT, True, ResponseLoss.NOT_SENT, Refusal.ABORTED, 'idle'),
        (
            Verb.COMMIT,
            False,
            ResponseLoss.DEADLINE_PASSED,
            Refusal.ABORTED,
            'idle',
        ),
        (
            Verb.WRITE,
            True,
            ResponseLoss.CONNECTION_LOST,
            Refusal.ABORTED,
            'failed',
        ),
        (Verb.ROLLBACK, True, ResponseLoss.CONNECTION_LOST, None, 'idle'),
    ],
)
def test_responses_to_lost_transactions(
    verb: Verb,
    wrote: bool,
    loss: ResponseLoss,
    refusal: Refusal | None,
    state: str,
) -> None:
    response = lost_transaction_response(verb, wrote=wrote, loss=loss)
    assert response.refusal == refusal
    assert response.state == SessionState(state)


# The node


def test_declaration_revision_never_decreases() -> None:
    current = CurrentDeclaration()
    revisions: list[int] = []
    current.add_listener(lambda catalogue: revisions.append(catalogue.revision))
    for revision in (3, 2, 3, 5):
        current.apply_if_newer(Declaration(Catalogue(revision), str(revision)))
    assert (current.revision, current.document) == (5, '5')
    assert revisions == [3, 5]


def test_drain_plan_waits_for_load_balancer() -> None:
    plan = DrainPlan.from_signal(100, 6)
    assert 102 < plan.close_idle_at < plan.end_transactions_at
    assert plan.end_transactions_at == 103
    assert plan.end_at < 106


def test_node_is_ready_only_under_all_conditions() -> None:
    assert Readiness(
        has_declaration=True, has_endpoints=True, is_stopping=False
    ).is_ready
    assert not Readiness(
        has_declaration=True, has_endpoints=False, is_stopping=False
    ).is_ready
    assert not Readiness(
        has_declaration=True, has_endpoints=True, is_stopping=True
    ).is_ready
