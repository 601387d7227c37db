"""Failovers that were announced to a node."""

from trefoilhitch.pooler.acknowledging.failover_notices import (
    MAX_NOTICES_PER_SERVICE,
    FailoverNotices,
    ReceivedNotice,
)

SERVICE = 'ledger'
FIRST = ReceivedNotice('first', '127.0.0.1:1', 1)
SECOND = ReceivedNotice('second', '127.0.0.1:2', 2)


def test_view_requested_after_a_notice_shows_its_failover() -> None:
    notices = FailoverNotices()
    notices.record(SERVICE, FIRST)
    assert notices.newer_than(SERVICE, 1) == FIRST
    assert notices.newer_than(SERVICE, 1.5) is None
    assert notices.newer_than(SERVICE, 0) is None


def test_ended_failover_does_not_hide_another_one() -> None:
    """Guards against a late notice that takes the place of a later failover."""
    notices = FailoverNotices()
    notices.record(SERVICE, SECOND)
    late = ReceivedNotice(FIRST.attempt, FIRST.address, 3)
    notices.record(SERVICE, late)
    assert notices.newer_than(SERVICE, 1) == late
    notices.discard(SERVICE, FIRST.attempt)
    assert notices.newer_than(SERVICE, 1) == SECOND


def test_notice_that_arrives_again_is_the_newest() -> None:
    notices = FailoverNotices()
    notices.record(SERVICE, FIRST)
    notices.record(SERVICE, SECOND)
    again = ReceivedNotice(FIRST.attempt, FIRST.address, 3)
    notices.record(SERVICE, again)
    assert notices.newer_than(SERVICE, 0) == again


def test_notices_are_kept_by_service() -> None:
    notices = FailoverNotices()
    notices.record(SERVICE, FIRST)
    notices.discard('stock', FIRST.attempt)
    assert notices.newer_than('stock', 0) is None
    assert notices.newer_than(SERVICE, 0) == FIRST


def test_failovers_without_commits_are_not_kept_for_ever() -> None:
    """Guards against memory that grows while a failover is tried again."""
    notices = FailoverNotices()
    for number in range(MAX_NOTICES_PER_SERVICE + 1):
        notice = ReceivedNotice(str(number), FIRST.address, number)
        notices.record(SERVICE, notice)
    for number in range(MAX_NOTICES_PER_SERVICE, 0, -1):
        newest = notices.newer_than(SERVICE, 0)
        assert newest is not None
        assert newest.attempt == str(number)
        notices.discard(SERVICE, newest.attempt)
    assert notices.newer_than(SERVICE, 0) is None
