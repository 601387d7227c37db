"""Proves that a statement ran on the current primary."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from trio import current_time, open_nursery

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.errors import TrefoilhitchError
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.acknowledging.acknowledged_commit import (
    AcknowledgedCommit,
)
from trefoilhitch.pooler.acknowledging.commit_gate import CommitGate
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.lease_observer import LeaseObserver
from trefoilhitch.pooler.primary_confirmer import (
    PrimaryConfirmer,
    ReplicaStatuses,
)
from trefoilhitch.pooler.primary_tracker import Primary
from trefoilhitch.pooler.statement_executor import PrimaryUnconfirmedError
from trefoilhitch.pooler.statement_request import StatementResult

# Time after which a primary that was not confirmed is used unasked again, while
# its replicas are asked. A failover takes about as long.
UNCONFIRMED_S = 1.0
ResultT = TypeVar('ResultT')


@dataclass(frozen=True, slots=True)
class PrimaryProof:
    """What is known about the primary that ran a statement.

    Args:
        primary: the endpoint, with the latest known term of its service.
        permitted: whether the lease ruled out that it had been replaced.
        replicas: statuses of its replicas, requested with the statement.
        sent_at: when the statement was sent.
        known_position: a position that the log of the primary had before, None
            if none is known.

    """

    primary: Primary
    permitted: bool
    replicas: ReplicaStatuses
    sent_at: float
    known_position: LogPosition | None = None


class PrimaryProver:
    """Obtains and applies proofs that an endpoint is the primary.

    Args:
        cluster: receives what was proved.
        confirmer: asks replicas whether a primary may have been replaced.
        leases: tells which primaries need not be asked.
        metrics: counts the proofs.
        gate: decides whether acknowledgements of commits are passed on.
        confirms_first: whether replicas are asked before a statement is sent
            to a primary that they did not confirm recently.

    """

    def __init__(
        self,
        *,
        cluster: ClusterState,
        confirmer: PrimaryConfirmer,
        leases: LeaseObserver,
        metrics: Metrics,
        gate: CommitGate,
        confirms_first: bool = False,
    ) -> None:
        """Store the dependencies."""
        self._gate = gate
        self._confirms_first = confirms_first
        # Primaries that were not confirmed, and until when they are in doubt.
        self._unconfirmed: dict[str, tuple[str, float]] = {}
        self._cluster = cluster
        self._confirmer = confirmer
        self._leases = leases
        self._metrics = metrics

    async def is_permitted(self, service: str, endpoint: str) -> bool:
        """Return whether an endpoint may be used as the primary unasked.

        Args:
            service: service name.
            endpoint: id of the endpoint that is taken for the primary.

        """
        if not self._cluster.proved_term(service):
            return False
        return await self._leases.permits(service, endpoint)

    async def run_confirmed(
        self,
        send: Callable[[], Awaitable[ResultT]],
        service: str,
        endpoint: str,
    ) -> tuple[ResultT, ReplicaStatuses]:
        """Run a statement while replicas confirm its primary.

        Args:
            send: runs the statement.
            service: service name.
            endpoint: id of the primary.

        Returns:
            The outcome, and the statuses of replicas.

        Raises:
            PrimaryUnconfirmedError: no replica confirmed the primary.
            TrefoilhitchError: the statement failed.

        """
        if self._is_unconfirmed(service, endpoint):
            return await self._run_after_confirmation(send, service, endpoint)
        collected: list[ReplicaStatuses] = []
        failure = None
        async with open_nursery() as nursery:
            nursery.start_soon(self._collect, service, endpoint, collected)
            try:
                outcome = await send()
            except TrefoilhitchError as exc:
                # Raised outside the nursery, which would wrap it in a group.
                failure = exc
                nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return outcome, collected[0]

    def apply(self, proof: PrimaryProof, reply: StatementResult) -> bool:
        """Apply what a statement proved.

        Args:
            proof: how the primary was to be proved.
            reply: what it returned.

        Returns:
            Whether it was the primary when the statement was sent.

        """
        if proof.permitted:
            self._apply_permitted(proof, reply)
            return True
        return reply.status is not None and self._apply_status(proof, reply)

    def expect_commit(self) -> None:
        """Prepare for the acknowledgement of a commit that is sent now."""
        self._gate.expect_commit()

    async def admit_commit(
        self, proof: PrimaryProof, reply: StatementResult, deadline: float
    ) -> bool:
        """Wait until the acknowledgement of a commit may be passed on.

        Args:
            proof: when and where the commit was sent.
            reply: what the endpoint returned.
            deadline: monotonic time by which the client needs an answer.

        Returns:
            False if it is not known whether the commit survives.

        """
        position = reply.response.position
        if position is not None:
            commit = AcknowledgedCommit(
                proof.primary.service,
                proof.primary.endpoint,
                position,
                proof.known_position,
                deadline,
            )
            if not await self._gate.admit(commit):
                return False
        self._apply_commit(proof, position)
        return True

    def _apply_commit(
        self, proof: PrimaryProof, position: LogPosition | None
    ) -> None:
        """Apply an acknowledged commit, which proves the primary."""
        service = proof.primary.service
        endpoint = proof.primary.endpoint
        self._cluster.commits.record_acknowledged(
            service, endpoint, proof.sent_at
        )
        if position and self._confirmer.commit_proves_primary(service):
            primary = Primary(service, endpoint, position.term)
            self._cluster.record_proof(
                primary, position, proof.sent_at, 'commit'
            )

    def _apply_permitted(
        self, proof: PrimaryProof, reply: StatementResult
    ) -> None:
        primary = proof.primary
        position = reply.response.position
        self._metrics.count('primaries_permitted')
        self._cluster.record_answered(primary.service, proof.sent_at)
        is_current = (
            self._cluster.primary(primary.service) == primary.endpoint
            and self._cluster.proved_term(primary.service) == primary.term
        )
        if position and is_current and reply.response.ok:
            self._cluster.record_proof(
                primary, position, proof.sent_at, 'permission'
            )

    def _apply_status(
        self, proof: PrimaryProof, reply: StatementResult
    ) -> bool:
        status = reply.status
        service = proof.primary.service
        endpoint = proof.primary.endpoint
        if status is None or not status.is_primary:
            self._cluster.record_not_primary(service, endpoint, 'status')
            return False
        self._cluster.record_answered(service, proof.sent_at)
        if not proof.replicas.confirm(status.term):
            self._record_unconfirmed(service, endpoint)
            return False
        self._unconfirmed.pop(service, None)
        primary = Primary(service, endpoint, status.term)
        self._cluster.record_proof(
            primary, status.position, proof.sent_at, 'status'
        )
        return status.term >= self._cluster.proved_term(service)

    async def _run_after_confirmation(
        self,
        send: Callable[[], Awaitable[ResultT]],
        service: str,
        endpoint: str,
    ) -> tuple[ResultT, ReplicaStatuses]:
        """Ask the replicas first, and send nothing if they confirm nothing."""
        term = self._cluster.proved_term(service)
        replicas = await self._confirmer.collect(service, endpoint, term)
        if not replicas.may_confirm():
            self._record_unconfirmed(service, endpoint)
            raise PrimaryUnconfirmedError(f'no replica confirmed {endpoint}')
        return await send(), replicas

    def _record_unconfirmed(self, service: str, endpoint: str) -> None:
        until = current_time() + UNCONFIRMED_S
        self._unconfirmed[service] = endpoint, until

    def _is_unconfirmed(self, service: str, endpoint: str) -> bool:
        unconfirmed, until = self._unconfirmed.get(service, ('', 0))
        is_recent = unconfirmed == endpoint and current_time() < until
        return self._confirms_first and is_recent

    async def _collect(
        self, service: str, endpoint: str, collected: list[ReplicaStatuses]
    ) -> None:
        term = self._cluster.proved_term(service)
        collected.append(await self._confirmer.collect(service, endpoint, term))
