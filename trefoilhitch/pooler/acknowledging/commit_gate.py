"""Passes an acknowledgement on only if the commit survives any failover.

While no failover may be under way, a later one finds the commit at the
endpoints that it fences. While one runs, its holder tells which commits
survive. Without either, an acknowledgement waits until the failover has ended.
"""

from enum import Enum

from trio import move_on_at, sleep

from trefoilhitch._generated.peer import CommitPermitReply
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.acknowledging.acknowledged_commit import (
    AcknowledgedCommit,
)
from trefoilhitch.pooler.acknowledging.failover_notices import FailoverNotices
from trefoilhitch.pooler.acknowledging.permit_client import PermitClient
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.lease import LeaseRecord
from trefoilhitch.pooler.lease_observer import LeaseObserver
from trefoilhitch.pooler.lease_view import LeaseView, is_idle
from trefoilhitch.pooler.primary_confirmer import PrimaryConfirmer

# Pause between two attempts to pass an acknowledgement on.
RETRY_PAUSE_S = 0.05
# Age from which the view of the leases is renewed for one that waits.
HELD_VIEW_AGE_S = 0.2


class Verdict(Enum):
    """Whether an acknowledgement may be passed on."""

    IDLE = 'idle'
    PERMITTED = 'permitted'
    CONFIRMED = 'confirmed'
    UNDECIDED = 'undecided'
    SUPERSEDED = 'superseded'


_ADMITTING = frozenset((Verdict.IDLE, Verdict.PERMITTED, Verdict.CONFIRMED))


class CommitGate:
    """Decides whether acknowledgements of commits are passed on.

    Args:
        cluster: remembers the positions that were acknowledged.
        leases: tells whether a failover may be under way.
        notices: the failovers that were announced to this node.
        permits: asks the nodes that run failovers.
        confirmer: asks replicas if no node tells which commits survive.
        log: records acknowledgements that are withheld.
        metrics: counts the verdicts.

    """

    def __init__(
        self,
        *,
        cluster: ClusterState,
        leases: LeaseObserver,
        notices: FailoverNotices,
        permits: PermitClient,
        confirmer: PrimaryConfirmer,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        """Store the dependencies."""
        self._cluster = cluster
        self._leases = leases
        self._notices = notices
        self._permits = permits
        self._confirmer = confirmer
        self._log = log
        self._metrics = metrics

    def expect_commit(self) -> None:
        """Renew the view of the leases, if necessary, for a coming commit."""
        self._leases.refresh()

    async def admit(self, commit: AcknowledgedCommit) -> bool:
        """Wait until the acknowledgement of a commit may be passed on.

        Args:
            commit: the commit.

        Returns:
            False if it could not be passed on by the deadline, or if the
            endpoint was replaced: it is not known whether the commit survives.

        """
        if not self._confirmer.commit_proves_primary(commit.service):
            # No replica had to receive it, so that it need not survive.
            self._record(commit)
            return True
        verdict = Verdict.UNDECIDED
        with move_on_at(commit.deadline):
            verdict = await self._wait_for_verdict(commit)
        self._metrics.count('acknowledgements', verdict.value)
        if verdict in _ADMITTING:
            self._record(commit)
            return True
        self._log.event(
            'acknowledgement_withheld',
            service=commit.service,
            endpoint=commit.endpoint,
            position=commit.position,
            reason=verdict.value,
        )
        return False

    async def _wait_for_verdict(self, commit: AcknowledgedCommit) -> Verdict:
        answered_at = self._cluster.clock()
        verdict = await self._judge(commit, answered_at)
        while verdict == Verdict.UNDECIDED:
            self._leases.refresh(HELD_VIEW_AGE_S)
            await sleep(RETRY_PAUSE_S)
            verdict = await self._judge(commit, answered_at)
        return verdict

    def _record(self, commit: AcknowledgedCommit) -> None:
        self._cluster.acknowledged.record(commit.service, commit.reached)

    async def _judge(
        self, commit: AcknowledgedCommit, answered_at: float
    ) -> Verdict:
        is_permitted = await self._leases.permits(
            commit.service, commit.endpoint
        )
        view = self._leases.view
        notice = self._notices.newer_than(commit.service, view.observed_at)
        if notice is not None:
            reply = await self._ask(commit, notice.address, notice.attempt)
            return self._read_reply(commit, notice.attempt, reply)
        if is_permitted:
            return Verdict.IDLE
        return await self._judge_lease(commit, view, answered_at)

    async def _judge_lease(
        self, commit: AcknowledgedCommit, view: LeaseView, answered_at: float
    ) -> Verdict:
        lease = view.listing.get(commit.service)
        if is_idle(lease) and not self._is_expired(view):
            # A view from before a promotion names the primary before that.
            is_replaced = lease.term > commit.position.term
            return Verdict.SUPERSEDED if is_replaced else Verdict.UNDECIDED
        reply = await self._ask_holder(commit, lease)
        if reply is not None and reply.running:
            return self._read_reply(commit, lease.attempt, reply)
        # A failover that is not known to have ended may go on.
        tells_nothing = self._is_expired(view) or not lease.belongs_to_era
        is_ended = tells_nothing and reply is not None
        if is_ended or _precedes_commands(view, lease, answered_at):
            return await self._confirm(commit, view)
        return Verdict.UNDECIDED

    def _is_expired(self, view: LeaseView) -> bool:
        return view.is_expired(self._cluster.clock())

    async def _ask_holder(
        self, commit: AcknowledgedCommit, lease: LeaseRecord
    ) -> CommitPermitReply | None:
        """Ask the holder of a lease, if the lease tells who that is."""
        if lease.belongs_to_era and lease.address and lease.attempt:
            return await self._ask(commit, lease.address, lease.attempt)
        return CommitPermitReply(running=False)

    async def _ask(
        self, commit: AcknowledgedCommit, address: str, attempt: str
    ) -> CommitPermitReply | None:
        """Ask the node that runs a failover; return None without an answer."""
        reply = await self._permits.request(address, attempt, commit.position)
        if reply is not None and not reply.running:
            self._notices.discard(commit.service, attempt)
        return reply

    def _read_reply(
        self,
        commit: AcknowledgedCommit,
        attempt: str,
        reply: CommitPermitReply | None,
    ) -> Verdict:
        if reply is None or not reply.permitted:
            return Verdict.UNDECIDED
        if self._is_announced_meanwhile(commit.service, attempt):
            return Verdict.UNDECIDED
        return Verdict.PERMITTED

    async def _confirm(
        self, commit: AcknowledgedCommit, view: LeaseView
    ) -> Verdict:
        """Ask the replicas: a promotion that is chosen later has to hold it."""
        is_held = await self._confirmer.holds_commit(
            commit.service, commit.endpoint, commit.position
        )
        if self._is_announced_meanwhile(commit.service):
            return Verdict.UNDECIDED
        # The leases may be seen again, and one of them held.
        if self._is_expired(view) and not self._is_expired(self._leases.view):
            return Verdict.UNDECIDED
        return Verdict.CONFIRMED if is_held else Verdict.UNDECIDED

    def _is_announced_meanwhile(self, service: str, but_for: str = '') -> bool:
        """Return whether another failover may not count this commit."""
        view = self._leases.view
        notice = self._notices.newer_than(service, view.observed_at)
        return notice is not None and notice.attempt != but_for


def _precedes_commands(
    view: LeaseView, lease: LeaseRecord, answered_at: float
) -> bool:
    """Return whether a command can only follow an endpoint's answer.

    A command is sent after its candidate was written, and after the holder has
    asked the endpoints again.
    """
    return not lease.candidate and view.observed_at > answered_at
