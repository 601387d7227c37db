"""Which data centres are evacuated, and from when on nothing is sent there."""

import math

import pytest
from trio import current_time, open_nursery, sleep

from tests.support import with_virtual_clock
from tests.test_leaving_endpoints import READY
from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.peer import EvacuationReport
from trefoilhitch.pooler.endpoint_registry import EndpointRegistry
from trefoilhitch.pooler.evacuation.evacuated_data_centres import (
    NEW_STATEMENT_FRACTION,
    REWRITE_TIME_S,
    TRANSACTION_FRACTION,
    EvacuatedDataCentres,
    EvacuationChange,
)
from trefoilhitch.pooler.evacuation.evacuated_endpoints import (
    EvacuatedEndpoints,
)
from trefoilhitch.pooler.evacuation.handover import has_caught_up
from trefoilhitch.pooler.evacuation.send_guard import SendGuard
from trefoilhitch.pooler.evacuation.suspension_detector import (
    LATE_REPORT_S,
    MAX_GAP_S,
    MAX_HOLD_S,
    SuspensionDetector,
)
from trefoilhitch.pooler.failover_decision import (
    FailoverReason,
    FencedEndpoint,
    PrimaryEvidence,
    choose_promotion,
    failover_reason,
)
from trefoilhitch.pooler.ports import EndpointEvacuatedError

TIMEOUT_S = 5.0
# Time that is left for a change to reach all nodes, and a statement its
# endpoint, after the last statement of a transaction was sent.
SPREAD_S = 1.5
NOTHING = EvacuationChange()
NOW = 100.0


def evacuated(
    *names: str, revision: int = 10, era: int = 1
) -> EvacuatedDataCentres:
    """Return what a node knows that listed some evacuations at its start."""
    known = EvacuatedDataCentres(TIMEOUT_S)
    known.replace_all(names, revision, era, 0)
    return known


def report(*names: str, revision: int = 11, era: int = 1) -> EvacuationReport:
    """Return the report of another node."""
    return EvacuationReport(
        revision=revision, era=era, data_centres=list(names)
    )


def test_first_listing_applies_at_once() -> None:
    """Guards against nodes that count the time anew after a restart."""
    known = evacuated('patan')
    assert known.excludes('patan', 0)
    assert known.must_end_at('patan') == -math.inf


def test_running_node_counts_from_when_it_learnt_of_the_evacuation() -> None:
    known = evacuated()
    change = known.apply_changes(['patan'], [], 11, NOW)
    assert change == EvacuationChange(began=('patan',))
    assert known.contains('patan')
    excluded_at = NOW + TIMEOUT_S * NEW_STATEMENT_FRACTION
    assert not known.excludes('patan', excluded_at - 0.01)
    assert known.excludes('patan', excluded_at)
    ends_at = NOW + TIMEOUT_S * TRANSACTION_FRACTION
    assert known.must_end_at('patan') == ends_at
    assert excluded_at < ends_at < NOW + TIMEOUT_S - SPREAD_S
    assert not known.excludes('lakeside', math.inf)
    assert known.must_end_at('lakeside') == math.inf


def test_report_of_a_peer_before_the_first_listing_applies_at_once() -> None:
    """Guards against a node that starts and takes an old one for a new one."""
    known = EvacuatedDataCentres(TIMEOUT_S)
    known.merge(report('patan'), NOW)
    assert known.excludes('patan', NOW)
    known.replace_all(['patan'], 11, 1, NOW)
    assert known.excludes('patan', NOW)


def test_repeated_report_does_not_begin_an_evacuation_again() -> None:
    known = evacuated()
    known.merge(report('patan'), NOW)
    assert known.merge(report('patan', revision=12), NOW + 1) == NOTHING
    assert known.must_end_at('patan') == NOW + TIMEOUT_S * TRANSACTION_FRACTION


def test_withdrawal_ends_one_and_keeps_the_other() -> None:
    known = evacuated('patan', 'lakeside')
    change = known.apply_changes([], ['patan'], 11, NOW)
    assert change == EvacuationChange(ended=('patan',))
    assert known.names == ('lakeside',)


@pytest.mark.parametrize(
    ('received', 'names'),
    [
        (report('patan'), ('patan',)),
        (report(), ()),
        (report('patan', 'biratnagar'), ('biratnagar', 'patan')),
        # Older than what this node has read, or from an earlier era.
        (report('patan', revision=9), ('lakeside',)),
        (report('patan', revision=99, era=0), ('lakeside',)),
        # The other node still keeps what the store no longer has.
        (report('patan', 'lakeside', revision=10), ('lakeside',)),
    ],
)
def test_newest_report_wins(
    received: EvacuationReport, names: tuple[str, ...]
) -> None:
    known = evacuated('lakeside')
    known.merge(received, NOW)
    assert known.names == names


def test_own_listing_that_is_older_than_a_report_ends_nothing() -> None:
    """Guards against a pause of the evacuation while a listing is late."""
    known = evacuated()
    known.merge(report('patan', revision=20), NOW)
    assert known.replace_all([], 15, 1, NOW + 1) == NOTHING
    assert known.contains('patan')
    known.merge(report(revision=21), NOW + 2)
    assert not known.contains('patan')


def test_restored_store_without_the_evacuation_keeps_it_for_a_while() -> None:
    """Guards against statements between a restoration and the next write."""
    known = evacuated('patan')
    assert known.replace_all([], 5, 2, NOW) == NOTHING
    assert known.excludes('patan', NOW + REWRITE_TIME_S - 0.01)
    assert known.expire(NOW + REWRITE_TIME_S - 0.01) == NOTHING
    change = known.expire(NOW + REWRITE_TIME_S)
    assert change == EvacuationChange(ended=('patan',))


def test_evacuation_that_is_written_again_goes_on_without_a_pause() -> None:
    known = evacuated()
    known.apply_changes(['patan'], [], 11, NOW)
    known.replace_all([], 5, 2, NOW + 10)
    assert known.apply_changes(['patan'], [], 7, NOW + 12) == NOTHING
    assert known.expire(NOW + 99) == NOTHING
    assert known.must_end_at('patan') == NOW + TIMEOUT_S * TRANSACTION_FRACTION


def test_evacuation_that_is_withdrawn_in_the_new_era_ends_at_once() -> None:
    known = evacuated('patan')
    known.replace_all([], 5, 2, NOW)
    known.apply_changes(['patan'], [], 6, NOW + 1)
    known.apply_changes([], ['patan'], 7, NOW + 2)
    assert not known.names


def test_report_of_a_later_era_keeps_what_it_lacks_for_a_while() -> None:
    known = evacuated('patan')
    assert known.merge(report(revision=5, era=2), NOW) == NOTHING
    assert known.expire(NOW + 1) == NOTHING
    assert known.expire(NOW + REWRITE_TIME_S).ended == ('patan',)


@pytest.mark.parametrize('era', [1, 2])
def test_node_that_starts_after_a_restoration_learns_what_is_kept(
    era: int,
) -> None:
    """Guards against a restarted node that only knows the older copy."""
    known = EvacuatedDataCentres(TIMEOUT_S)
    known.replace_all([], 5, 2, NOW)
    received = report('patan', revision=5, era=era)
    assert known.merge(received, NOW + 1).began == ('patan',)
    assert known.expire(NOW + REWRITE_TIME_S).ended == ('patan',)


def test_kept_evacuation_that_a_node_reports_is_not_taken_for_listed() -> None:
    """Guards against a pause once this node lists the restored store."""
    known = evacuated('patan')
    assert known.merge(report('patan', revision=5, era=2), NOW) == NOTHING
    assert known.replace_all([], 6, 2, NOW + 0.1) == NOTHING
    assert known.merge(report(revision=7, era=2), NOW + 0.2) == NOTHING
    assert known.expire(NOW + REWRITE_TIME_S).ended == ('patan',)


def test_kept_evacuation_ends_on_all_nodes() -> None:
    """Guards against one that nodes report to each other for ever."""
    watcher, other = evacuated('patan'), evacuated('patan')
    watcher.replace_all([], 5, 2, NOW)
    kept = watcher.report()
    assert kept is not None
    other.merge(kept, NOW)
    # Another node has it from this report, so that it seems to be listed.
    assert other.names == ('patan',)
    watcher.expire(NOW + REWRITE_TIME_S)
    ended = watcher.report()
    assert ended is not None
    other.merge(ended, NOW + REWRITE_TIME_S)
    assert not other.names
    other.merge(kept, NOW + REWRITE_TIME_S)
    assert not other.names


def test_nothing_is_reported_before_the_first_evacuation() -> None:
    """Guards against longer messages on days without evacuations."""
    known = evacuated()
    assert known.report() is None
    known.apply_changes(['patan'], [], 11, NOW)
    known.apply_changes([], ['patan'], 12, NOW + 1)
    assert known.report() == report(revision=12)


def test_withdrawal_reaches_a_node_that_missed_it() -> None:
    """Guards against one that a restarted node never contradicts."""
    behind, restarted = evacuated('patan'), evacuated(revision=20)
    assert restarted.report() is None
    received = behind.report()
    assert received is not None
    assert restarted.merge(received, NOW) == NOTHING
    reply = restarted.report()
    assert reply is not None
    assert behind.merge(reply, NOW).ended == ('patan',)


def test_endpoints_of_evacuated_data_centres_get_no_reads() -> None:
    known = evacuated()
    registry = EndpointRegistry(evacuated=known)
    registry.put(READY)
    assert registry.usable('ledger') == [READY]
    known.apply_changes(['patan'], [], 11, NOW)
    assert not registry.usable('ledger')
    assert registry.members('ledger') == [READY]
    known.apply_changes([], ['patan'], 12, NOW)
    assert registry.usable('ledger') == [READY]


# A node that was suspended


def test_suspended_node_counts_from_its_gap() -> None:
    """Guards against a frozen VM that takes an old evacuation for a new one."""
    known = evacuated()
    known.suspension.tick(NOW)
    # It reads the report before it notices that it was suspended.
    known.merge(report('patan'), NOW + 4)
    assert known.excludes('patan', NOW + 4)
    known.suspension.tick(NOW + 4.1)
    received = report('patan', 'lakeside', revision=12)
    known.merge(received, NOW + 4.1 + LATE_REPORT_S - 0.01)
    assert known.excludes('lakeside', NOW + 6.1)
    for number in range(30):
        known.suspension.tick(NOW + 4.2 + number / 10)
    received = report('biratnagar', revision=13)
    known.merge(received, NOW + 7.2)
    assert not known.excludes('biratnagar', NOW + 7.2)


def test_suspended_node_holds_statements_until_a_node_answered() -> None:
    """Guards against statements that a frozen VM still held."""
    missed = SuspensionDetector()
    assert not missed.must_delay_statements(NOW)
    missed.tick(NOW)
    assert not missed.must_delay_statements(NOW + MAX_GAP_S)
    woke_at = NOW + 4
    assert missed.must_delay_statements(woke_at)
    missed.tick(woke_at)
    assert missed.must_delay_statements(woke_at + 0.1)
    # The answer to a request that was sent before says nothing.
    missed.confirm(NOW)
    assert missed.must_delay_statements(woke_at + 0.1)
    missed.confirm(woke_at)
    assert not missed.must_delay_statements(woke_at + 0.1)


def test_suspended_node_without_others_goes_on_soon() -> None:
    missed = SuspensionDetector()
    missed.tick(NOW)
    missed.tick(NOW + 4)
    assert not missed.must_delay_statements(NOW + 4 + MAX_HOLD_S)


@with_virtual_clock
async def test_statement_of_a_suspended_node_waits_and_is_not_sent() -> None:
    """Guards against a statement that is sent before the news arrive."""
    known = evacuated()
    guard = SendGuard(
        EvacuatedEndpoints(
            data_centres=known,
            find={'i-1': READY}.get,
            clock=current_time,
        )
    )
    await guard.check('i-1')
    known.suspension.tick(current_time())
    await sleep(4)

    async def learn() -> None:
        await sleep(0.2)
        known.suspension.tick(current_time())
        known.merge(report('patan'), current_time())
        known.suspension.confirm(current_time())

    started_at = current_time()
    async with open_nursery() as nursery:
        nursery.start_soon(learn)
        with pytest.raises(EndpointEvacuatedError):
            await guard.check('i-1')
    assert 0.2 <= current_time() - started_at < MAX_HOLD_S


# The hand-over of primaries


def position(number: int) -> LogPosition:
    """Return a position of the first term."""
    return LogPosition(term=1, position=number)


def fenced(
    endpoint: str, number: int, *, leads: bool = False
) -> FencedEndpoint:
    """Return the state of a fenced endpoint."""
    return FencedEndpoint(endpoint, 1, position(number), was_primary=leads)


def test_evacuation_is_a_reason_unless_the_primary_is_silent() -> None:
    for evidence, reason in (
        (PrimaryEvidence(), FailoverReason.EVACUATED),
        (PrimaryEvidence(unanswered_since=0), FailoverReason.SILENT),
    ):
        returned = failover_reason(
            evidence, READY, lost=False, evacuated=True, now=NOW
        )
        assert returned == reason


@pytest.mark.parametrize(
    ('replicas', 'chosen'),
    [
        # An endpoint elsewhere holds all commits.
        ([fenced('b', 5), fenced('c', 5)], 'c'),
        # Only evacuated endpoints hold the last one.
        ([fenced('b', 5), fenced('c', 4)], 'b'),
    ],
)
def test_evacuated_endpoint_is_promoted_only_for_its_commits(
    replicas: list[FencedEndpoint], chosen: str
) -> None:
    promoted = choose_promotion(
        replicas,
        ['a', 'b', 'c'],
        1,
        primary='a',
        unusable={'b'},
        pending='',
    )
    assert promoted is not None
    assert promoted.endpoint == chosen


@pytest.mark.parametrize(
    ('reached', 'needed', 'expected'),
    [
        ([], None, False),
        ([4], None, True),
        ([4], 5, False),
        ([4, 5], 5, True),
        ([6], 5, True),
    ],
)
def test_successor_has_what_the_primary_had(
    reached: list[int], needed: int | None, expected: bool
) -> None:
    positions = [position(number) for number in reached]
    wanted = None if needed is None else position(needed)
    assert has_caught_up(positions, wanted) is expected
