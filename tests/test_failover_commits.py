"""The commits that the endpoint promoted by a failover has to hold."""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import pytest
from trio import current_time, move_on_after, open_nursery, sleep

from tests.support import with_virtual_clock
from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.pooler.acknowledging.failover_commits import (
    LISTING_TIME_S,
    FailoverCommits,
)
from trefoilhitch.pooler.ports import EndpointStatus

PRIMARY = 'a'
# Time in which the endpoints answer.
ANSWER_S = 0.2


def at(term: int, position: int) -> LogPosition:
    """Return a position."""
    return LogPosition(term=term, position=position)


class Group:
    """Endpoints at positions that a test sets; others do not answer."""

    def __init__(self, **ends: LogPosition) -> None:
        """Start with the ends of the endpoints' logs."""
        self.ends = ends
        self.requests: list[str] = []
        self.announcement = SimpleNamespace(floor=None, lacks_answers=False)
        self.on_answer: Callable[[], None] = _do_nothing
        self.commits = FailoverCommits(
            announcement=cast('Any', self.announcement),
            control=cast('Any', self),
            members=lambda: list(self.ends),
        )
        self.commits.granted.exclude(PRIMARY)

    async def status(self, endpoint: str) -> EndpointStatus | None:
        """Answer as an endpoint does after some time."""
        self.requests.append(endpoint)
        end = self.ends[endpoint]
        await sleep(ANSWER_S)
        self.on_answer()
        return EndpointStatus(endpoint == PRIMARY, end.term, end, 0)

    async def ask_together(self, *positions: LogPosition) -> list[bool]:
        """Ask for several commits at the same time."""
        answers: dict[int, bool] = {}

        async def ask(index: int, position: LogPosition) -> None:
            answers[index] = await self.commits.permits(position)

        async with open_nursery() as nursery:
            for index, position in enumerate(positions):
                nursery.start_soon(ask, index, position)
        return [answers[index] for index in range(len(positions))]


def _do_nothing() -> None:
    """Stand for no event."""


@pytest.mark.parametrize(
    ('lacks_answers', 'promote_at'), [(False, 10), (True, 10 + LISTING_TIME_S)]
)
def test_promotion_waits_for_entries_if_an_answer_is_missing(
    lacks_answers: bool, promote_at: float
) -> None:
    """Guards against a commit that only an unlisted endpoint received."""
    group = Group()
    group.announcement.lacks_answers = lacks_answers
    assert group.commits.delay_promotion(10) == promote_at


@pytest.mark.parametrize(
    ('announced', 'granted', 'floor'),
    [
        (None, None, None),
        (at(1, 5), None, at(1, 5)),
        (None, at(1, 5), at(1, 5)),
        (at(1, 6), at(1, 5), at(1, 6)),
        (at(1, 5), at(1, 6), at(1, 6)),
    ],
)
def test_floor_covers_commits_before_and_during_the_failover(
    announced: LogPosition | None,
    granted: LogPosition | None,
    floor: LogPosition | None,
) -> None:
    """Guards against a promotion that drops either."""
    group = Group()
    group.announcement.floor = announced
    if granted is not None:
        group.commits.granted.record(
            {'b': EndpointStatus(False, granted.term, granted, 0)}
        )
        assert group.commits.granted.grant(granted)
    assert group.commits.floor == floor


@with_virtual_clock
async def test_known_position_permits_without_a_request() -> None:
    """Guards against a status request for each commit."""
    group = Group(b=at(1, 25))
    assert await group.commits.permits(at(1, 25))
    group.requests.clear()
    assert await group.commits.permits(at(1, 24))
    assert not group.requests
    assert group.commits.floor == at(1, 25)


@with_virtual_clock
async def test_position_that_a_replica_reached_later_permits() -> None:
    """Guards against commits that wait for the end of the failover."""
    group = Group(b=at(1, 24))
    assert not await group.commits.permits(at(1, 25))
    assert group.commits.floor is None
    group.ends['b'] = at(1, 25)
    assert await group.commits.permits(at(1, 25))


@with_virtual_clock
async def test_member_that_joins_is_asked() -> None:
    """Guards against a view of the members from the failover's beginning."""
    group = Group(b=at(1, 24))
    assert not await group.commits.permits(at(1, 25))
    group.ends['c'] = at(1, 25)
    assert await group.commits.permits(at(1, 25))


@with_virtual_clock
async def test_log_of_the_replaced_primary_permits_nothing() -> None:
    """Guards against a commit that no replica has received."""
    group = Group(a=at(1, 25), b=at(1, 24))
    assert not await group.commits.permits(at(1, 25))


@with_virtual_clock
async def test_requests_that_wait_share_the_positions() -> None:
    """Guards against status requests that grow with the commits held back."""
    group = Group(b=at(1, 25), c=at(1, 24))
    assert await group.ask_together(at(1, 24), at(1, 25), at(1, 26)) == [
        True,
        True,
        False,
    ]
    assert sorted(group.requests) == ['b', 'c']
    assert current_time() == ANSWER_S


@with_virtual_clock
async def test_positions_are_requested_anew_for_a_later_commit() -> None:
    """Guards against answers that are used after they were shared."""
    group = Group(b=at(1, 24))
    assert await group.ask_together(at(1, 25), at(1, 25)) == [False, False]
    group.ends['b'] = at(1, 25)
    assert await group.ask_together(at(1, 25), at(1, 25)) == [True, True]
    assert group.requests == ['b', 'b']


@with_virtual_clock
async def test_failed_request_does_not_hold_later_ones_back() -> None:
    """Guards against commits that wait for an answer that never comes."""
    group = Group(b=at(1, 25))
    with move_on_after(ANSWER_S / 2):
        await group.commits.permits(at(1, 25))
    assert group.commits.floor is None
    assert await group.commits.permits(at(1, 25))


@pytest.mark.parametrize(
    ('commanded', 'is_permitted'), [(at(1, 25), True), (at(1, 24), False)]
)
def test_command_during_a_request_counts(
    commanded: LogPosition, is_permitted: bool
) -> None:
    """Guards against a commit that a replica received after the command."""

    @with_virtual_clock
    async def play() -> None:
        group = Group(b=at(1, 25), c=at(1, 25))
        group.on_answer = lambda: group.commits.granted.record_command(
            'b', commanded
        )
        assert await group.commits.permits(at(1, 25)) == is_permitted

    play()
