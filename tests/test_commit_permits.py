"""Permissions to acknowledge commits while a failover runs."""

import pytest

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.pooler.acknowledging.commit_permits import CommitPermits
from trefoilhitch.pooler.ports import EndpointStatus

PRIMARY = 'a'


def at(term: int, position: int) -> LogPosition:
    """Return a position."""
    return LogPosition(term=term, position=position)


def make_permits(
    positions: dict[str, LogPosition], pending: str = ''
) -> CommitPermits:
    """Return permits that know where endpoints are."""
    permits = CommitPermits()
    permits.add_pending(pending)
    permits.exclude(PRIMARY)
    permits.record(
        {
            name: EndpointStatus(False, position.term, position, 0)
            for name, position in positions.items()
        }
    )
    return permits


@pytest.mark.parametrize(
    ('positions', 'wanted', 'granted'),
    [
        ({'b': at(1, 25)}, at(1, 25), True),
        ({'b': at(1, 24), 'c': at(1, 26)}, at(1, 25), True),
        ({'b': at(1, 24)}, at(1, 25), False),
        # The old primary alone holds it.
        ({PRIMARY: at(1, 25), 'b': at(1, 24)}, at(1, 25), False),
        # A log of a later term may lack what an old primary made.
        ({'b': at(2, 30)}, at(1, 25), False),
        ({}, at(1, 25), False),
    ],
)
def test_commit_is_permitted_once_a_known_replica_holds_it(
    positions: dict[str, LogPosition], wanted: LogPosition, granted: bool
) -> None:
    """Guards against commits that only an unlisted endpoint received."""
    permits = make_permits(positions)
    assert permits.grant(wanted) == granted
    floor = wanted if granted else None
    assert permits.floor == floor


def test_endpoint_that_leads_proves_nothing_as_a_replica() -> None:
    permits = make_permits({'b': at(1, 25)})
    permits.record({'b': EndpointStatus(True, 2, at(1, 25), 0)})
    assert not permits.grant(at(1, 25))


@pytest.mark.parametrize(
    ('wanted', 'granted'), [(at(1, 24), True), (at(1, 25), False)]
)
def test_command_permits_what_its_endpoint_held(
    wanted: LogPosition, granted: bool
) -> None:
    """Guards against commits that a replica receives after the command."""
    permits = make_permits({'b': at(1, 25), 'c': at(1, 25)})
    permits.record_command('b', at(1, 24))
    assert permits.grant(wanted) == granted


@pytest.mark.parametrize(
    ('positions', 'granted'),
    [
        ({'b': at(1, 25), 'c': at(1, 25)}, True),
        ({'b': at(1, 24), 'c': at(1, 25)}, False),
        ({'c': at(1, 25)}, False),
    ],
)
def test_command_of_an_earlier_holder_counts_from_the_start(
    positions: dict[str, LogPosition], granted: bool
) -> None:
    """Guards against a late command for an endpoint that fell behind."""
    permits = make_permits(positions, pending='b')
    assert permits.grant(at(1, 25)) == granted


def test_each_commanded_endpoint_has_to_hold_the_commit() -> None:
    """Guards against an unanswered command that another one followed."""
    permits = make_permits({})
    permits.record_command('b', at(1, 24))
    permits.record_command('c', at(1, 26))
    assert permits.grant(at(1, 24))
    assert not permits.grant(at(1, 25))
