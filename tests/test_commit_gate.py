"""Acknowledgements are passed on only while no promotion may drop a commit."""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast

import pytest
from trio import current_time, open_nursery, sleep, sleep_forever

from tests.support import make_cluster, run_virtual
from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.peer import CommitPermitReply
from trefoilhitch.decision_log import NullLog
from trefoilhitch.errors import StoreUnavailableError
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.acknowledging.acknowledged_commit import (
    AcknowledgedCommit,
)
from trefoilhitch.pooler.acknowledging.commit_gate import CommitGate
from trefoilhitch.pooler.acknowledging.failover_notices import (
    FailoverNotices,
    ReceivedNotice,
)
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.lease import LeaseListing, LeaseRecord
from trefoilhitch.pooler.lease_observer import LeaseObserver
from trefoilhitch.pooler.lease_view import LeaseView

SERVICE = 'ledger'
PRIMARY = 'a'
HOLDER = '127.0.0.1:1'
ATTEMPT = 'attempt'
HELD = LeaseRecord(1, 1, 'node', HOLDER, ATTEMPT)
WAIT_S = 1
# Longer than a view of the leases is used.
EXPIRED_S = 2
POSITION = LogPosition(term=1, position=25)


class Parts:
    """What a gate depends on, with the answers that a test sets."""

    def __init__(self, lease: LeaseRecord | None) -> None:
        """Start with a lease; None while the store does not answer."""
        self.cluster: ClusterState = make_cluster()
        self.notices = FailoverNotices()
        self.lease = lease
        self.replies: list[CommitPermitReply | None] = []
        self.asked: list[str] = []
        self.is_held = False
        self.denies = False
        self.hangs = False
        self.leases = LeaseObserver(
            read_view=self._read,
            clock=current_time,
            log=NullLog(),
        )
        self.gate = CommitGate(
            cluster=self.cluster,
            leases=self.leases,
            notices=self.notices,
            permits=cast('Any', self),
            confirmer=cast(
                'Any',
                SimpleNamespace(
                    commit_proves_primary=lambda _: True,
                    holds_commit=self._holds_commit,
                ),
            ),
            log=NullLog(),
            metrics=Metrics(),
        )

    async def request(
        self, address: str, attempt: str, position: LogPosition
    ) -> CommitPermitReply | None:
        """Answer as the node that runs the failover."""
        assert (address, position) == (HOLDER, POSITION)
        self.asked.append(attempt)
        if self.hangs:
            await sleep_forever()
        if self.denies:
            return CommitPermitReply(running=True)
        return self.replies.pop(0) if self.replies else None

    async def admit(self, known: LogPosition | None = None) -> bool:
        """Pass the acknowledgement of a commit."""
        commit = AcknowledgedCommit(
            SERVICE, PRIMARY, POSITION, known, current_time() + WAIT_S
        )
        return await self.gate.admit(commit)

    def announce(self) -> None:
        """Let a failover be announced."""
        self.notices.record(
            SERVICE, ReceivedNotice(ATTEMPT, HOLDER, current_time())
        )

    async def _read(self, _deadline: float) -> LeaseView:
        if self.lease is None:
            raise StoreUnavailableError('no answer')
        listing = LeaseListing({SERVICE: self.lease})
        return LeaseView(current_time(), listing)

    async def _holds_commit(self, *_commit: object) -> bool:
        return self.is_held


class PartsOfReturningStore(Parts):
    """The store answers again, with a held lease, as the replicas are asked."""

    async def _holds_commit(self, *_commit: object) -> bool:
        self.leases.apply(
            LeaseView(current_time(), LeaseListing({SERVICE: HELD}))
        )
        return True


def play(
    lease: LeaseRecord | None,
    steps: Callable[[Parts], Awaitable[None]],
    make_parts: Callable[[LeaseRecord | None], Parts] = Parts,
) -> None:
    """Run steps while the view of the leases is renewed."""

    async def run() -> None:
        parts = make_parts(lease)
        async with open_nursery() as nursery:
            nursery.start_soon(parts.leases.run)
            await steps(parts)
            nursery.cancel_scope.cancel()

    run_virtual(run)


def test_idle_lease_lets_acknowledgements_pass_at_once() -> None:
    async def steps(parts: Parts) -> None:
        assert await parts.admit(LogPosition(term=1, position=20))
        assert current_time() == 0
        # Only the next commit after a known position is surely reached.
        reached = LogPosition(term=1, position=21)
        assert parts.cluster.acknowledged.furthest(SERVICE) == reached

    play(LeaseRecord(token=1), steps)


def test_announced_failover_is_asked_though_the_lease_was_idle() -> None:
    """Guards against an older view of the leases than the failover."""

    async def steps(parts: Parts) -> None:
        assert await parts.admit()
        parts.announce()
        parts.lease = HELD
        parts.replies = [CommitPermitReply(running=True, permitted=True)]
        assert await parts.admit()
        assert parts.asked == [ATTEMPT]

    play(LeaseRecord(token=1), steps)


def test_holder_that_denies_a_commit_holds_it_back() -> None:
    async def steps(parts: Parts) -> None:
        parts.denies = True
        assert not await parts.admit()
        assert parts.cluster.acknowledged.furthest(SERVICE) is None

    play(HELD, steps)


def test_holder_that_does_not_answer_holds_a_commit_back() -> None:
    """Guards against commits of a node that is cut off from the holder."""

    async def steps(parts: Parts) -> None:
        parts.is_held = True
        assert not await parts.admit()

    play(replace(HELD, candidate='b'), steps)


def test_silent_holder_and_silent_store_hold_a_commit_back() -> None:
    """Guards against a failover that goes on out of reach."""

    async def steps(parts: Parts) -> None:
        parts.is_held = True
        parts.denies = True
        assert not await parts.admit()
        parts.denies = False
        parts.lease = None
        await sleep(EXPIRED_S)
        assert not await parts.admit()

    play(HELD, steps)


def test_holder_that_never_answers_delays_no_answer_to_the_client() -> None:
    """Guards against clients that get no answer by their deadline."""

    async def steps(parts: Parts) -> None:
        parts.hangs = True
        assert not await parts.admit()
        assert current_time() == WAIT_S

    play(HELD, steps)


def test_holder_that_has_not_commanded_yet_will_find_a_commit() -> None:
    """Guards against writes that wait for a holder that was lost."""

    async def steps(parts: Parts) -> None:
        parts.is_held = True
        assert await parts.admit()
        # A view from before the endpoint's answer tells nothing.
        assert current_time() > 0

    play(HELD, steps)


def test_commit_that_no_known_replica_holds_waits_for_the_holder() -> None:
    async def steps(parts: Parts) -> None:
        assert not await parts.admit()

    play(HELD, steps)


def test_commit_waits_until_the_lease_is_idle_again() -> None:
    async def steps(parts: Parts) -> None:
        async with open_nursery() as nursery:
            nursery.start_soon(_release, parts, PRIMARY, POSITION.term)
            assert await parts.admit()

    play(HELD, steps)


def test_view_from_before_a_promotion_supersedes_no_commit() -> None:
    """Guards against unknown outcomes right after each failover."""

    async def steps(parts: Parts) -> None:
        await parts.leases.permits(SERVICE, 'b')
        async with open_nursery() as nursery:
            nursery.start_soon(_release, parts, PRIMARY, POSITION.term)
            assert await parts.admit()

    play(LeaseRecord(token=1, primary='b', term=0), steps)


def test_commit_of_a_replaced_primary_is_withheld() -> None:
    async def steps(parts: Parts) -> None:
        async with open_nursery() as nursery:
            nursery.start_soon(_release, parts, 'b', POSITION.term + 1)
            assert not await parts.admit()
        assert current_time() < WAIT_S

    play(HELD, steps)


@pytest.mark.parametrize('is_held', [False, True])
def test_replicas_confirm_commits_while_the_store_is_silent(
    is_held: bool,
) -> None:
    """Guards against a service that stops because the store does."""

    async def steps(parts: Parts) -> None:
        parts.is_held = is_held
        assert await parts.admit() == is_held

    play(None, steps)


def test_store_that_answers_again_counts_before_the_replicas() -> None:
    """Guards against a failover that began while the replicas were asked."""

    async def steps(parts: Parts) -> None:
        parts.denies = True
        assert not await parts.admit()

    play(None, steps, PartsOfReturningStore)


def test_ended_failover_is_not_asked_again_while_the_store_is_silent() -> None:
    async def steps(parts: Parts) -> None:
        parts.is_held = True
        parts.announce()
        parts.replies = [CommitPermitReply(running=False)]
        assert await parts.admit()
        assert await parts.admit()
        assert parts.asked == [ATTEMPT]

    play(None, steps)


async def _release(parts: Parts, primary: str, term: int) -> None:
    await sleep(0.4)
    parts.lease = LeaseRecord(token=1, primary=primary, term=term)
