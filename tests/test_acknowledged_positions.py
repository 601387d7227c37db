"""Which commits count as acknowledged at a node."""

from typing import cast

import pytest
from trio import current_time

from tests.support import make_cluster, run_virtual
from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.acknowledged_positions import AcknowledgedPositions
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
from trefoilhitch.pooler.primary_proof import PrimaryProof, PrimaryProver
from trefoilhitch.pooler.primary_tracker import Primary
from trefoilhitch.pooler.response import Response
from trefoilhitch.pooler.statement_request import StatementResult

SERVICE = 'ledger'
OLD = Primary(SERVICE, 'i-1', 1)


def at(term: int, position: int) -> LogPosition:
    """Return a log position."""
    return LogPosition(term=term, position=position)


def make_prover(
    cluster: ClusterState, sync_replicas: int, gate: CommitGate | None = None
) -> PrimaryProver:
    """Return a prover that only applies replies."""
    confirmer = PrimaryConfirmer(
        cluster=cluster,
        request_status=cast('object', None),  # type: ignore[arg-type]
        sync_replicas=lambda _: sync_replicas,
        log=cast('object', None),  # type: ignore[arg-type]
    )
    return PrimaryProver(
        cluster=cluster,
        confirmer=confirmer,
        leases=cast(LeaseObserver, None),
        metrics=Metrics(),
        gate=cast(CommitGate, gate),
    )


def make_proof(primary: Primary) -> PrimaryProof:
    """Return what is known of the primary that a commit was sent to."""
    return PrimaryProof(
        primary,
        permitted=False,
        replicas=ReplicaStatuses((), 0),
        sent_at=current_time(),
    )


@pytest.mark.parametrize(
    ('recorded', 'furthest'),
    [
        ([], None),
        ([at(1, 5)], at(1, 5)),
        ([at(1, 5), at(1, 7)], at(1, 7)),
        # Acknowledgements of concurrent commits arrive in any order.
        ([at(1, 7), at(1, 5)], at(1, 7)),
        # A later term counts more than a higher number.
        ([at(1, 7), at(2, 5)], at(2, 5)),
        ([at(2, 5), at(1, 7)], at(2, 5)),
    ],
)
def test_furthest_position_is_kept(
    recorded: list[LogPosition], furthest: LogPosition | None
) -> None:
    positions = AcknowledgedPositions()
    for position in recorded:
        positions.record(SERVICE, position)
    assert positions.furthest(SERVICE) == furthest


def test_services_are_kept_apart() -> None:
    positions = AcknowledgedPositions()
    positions.record(SERVICE, at(1, 5))
    assert positions.furthest('stock') is None


@pytest.mark.parametrize(
    ('known_before', 'reached'),
    [
        (at(1, 4), at(1, 5)),
        # Commits of others may lie between: only the next one is certain.
        (at(1, 2), at(1, 3)),
        (at(1, 9), at(1, 10)),
        (None, at(2, 0)),
        (at(1, 4), at(2, 0)),
    ],
)
def test_commit_surely_reaches_the_position_after_a_known_one(
    known_before: LogPosition | None, reached: LogPosition
) -> None:
    term = 1 if known_before and reached.term == 1 else 2
    commit = AcknowledgedCommit(SERVICE, 'a', at(term, 99), known_before, 0)
    assert commit.reached == reached


def test_commit_without_a_position_does_not_count() -> None:
    async def play() -> None:
        cluster = make_cluster()
        reply = StatementResult(Response())
        prover = make_prover(cluster, 1)
        assert await prover.admit_commit(make_proof(OLD), reply, 1)
        assert cluster.acknowledged.furthest(SERVICE) is None

    run_virtual(play)


def test_end_of_a_log_is_no_acknowledged_commit() -> None:
    async def play() -> None:
        cluster = make_cluster()
        cluster.record_proof(OLD, at(1, 9), current_time(), 'status')
        assert cluster.acknowledged.furthest(SERVICE) is None

    run_virtual(play)
