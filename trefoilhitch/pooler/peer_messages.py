"""Builds the state that nodes send to peers, and applies received state."""

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.peer import (
    AcknowledgedReport,
    CommitReport,
    EndpointLoad,
    LeadProof,
)
from trefoilhitch.pooler.balancing.endpoint_loads import MAX_REPORTS
from trefoilhitch.pooler.balancing.position_observer import add_position
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.commit_tracker import CommitProgress
from trefoilhitch.pooler.observations import PrimaryObservation
from trefoilhitch.pooler.primary_tracker import Primary

_MS_PER_S = 1000
# Maximum number of services in one message.
MAX_SERVICES_PER_MESSAGE = 16
# How long an overdue commit is reported to other nodes.
OVERDUE_REPORT_S = 6.0


def primary_proofs(cluster: ClusterState) -> list[LeadProof]:
    """Return the newest proofs of primaries, for another node.

    Args:
        cluster: state of this node.

    Returns:
        The newest proofs of the services that were proved most recently.

    """
    now = cluster.clock()
    newest = sorted(
        cluster.observations.newest_per_service(),
        key=lambda observation: -observation.sent_at,
    )
    return [
        _proof(observation, now)
        for observation in newest[:MAX_SERVICES_PER_MESSAGE]
    ]


def newest_proof(cluster: ClusterState, service: str) -> list[LeadProof]:
    """Return the newest proof of one service, for another node.

    Args:
        cluster: state of this node.
        service: service name.

    Returns:
        The proof, empty if there is none.

    """
    observation = cluster.observations.newest(service)
    if observation is None:
        return []
    return [_proof(observation, cluster.clock())]


def _proof(observation: PrimaryObservation, now: float) -> LeadProof:
    return LeadProof(
        service=observation.service,
        endpoint=observation.endpoint,
        term=observation.term,
        position_term=observation.position.term,
        position=observation.position.position,
        # Rounded up: overestimating the age of a proof is safe.
        age_ms=int((now - observation.sent_at) * _MS_PER_S) + 1,
    )


def apply_proofs(
    cluster: ClusterState, proofs: list[LeadProof], sent_at: float | None
) -> None:
    """Apply the proofs of another node.

    Args:
        cluster: state of this node.
        proofs: proofs that the other node sent.
        sent_at: when this node requested them; ages count back from then.
            None if it did not request them: the time that the message took is
            then unknown, and only the primaries are applied.

    """
    for proof in proofs:
        primary = Primary(proof.service, proof.endpoint, proof.term)
        if sent_at is None:
            cluster.record_primary(primary, 'peer')
            continue
        position = LogPosition(
            term=proof.position_term, position=proof.position
        )
        proved_at = sent_at - proof.age_ms / _MS_PER_S
        cluster.record_proof(primary, position, proved_at, 'peer')


def commit_reports(cluster: ClusterState) -> list[CommitReport]:
    """Return reports on commits, for another node.

    Args:
        cluster: state of this node.

    Returns:
        A report for each service that had an overdue commit recently.

    """
    now = cluster.clock()
    return [
        CommitReport(
            service=service,
            endpoint=progress.endpoint,
            acknowledged_age_ms=_age_ms(progress.acknowledged_sent_at, now),
            overdue_age_ms=_age_ms(progress.first_overdue_sent_at, now),
        )
        for service, progress in cluster.commits.all_progress().items()
        if _is_recent(progress, now)
    ][:MAX_SERVICES_PER_MESSAGE]


def _is_recent(progress: CommitProgress, now: float) -> bool:
    last_overdue_at = progress.last_overdue_sent_at
    return (
        last_overdue_at is not None and now - last_overdue_at < OVERDUE_REPORT_S
    )


def apply_commit_reports(
    cluster: ClusterState, reports: list[CommitReport]
) -> None:
    """Apply the reports of another node on commits.

    Args:
        cluster: state of this node.
        reports: reports that the other node sent.

    """
    now = cluster.clock()
    for report in reports:
        acknowledged_ms = report.acknowledged_age_ms
        if acknowledged_ms is not None:
            cluster.commits.record_acknowledged(
                report.service,
                report.endpoint,
                now - acknowledged_ms / _MS_PER_S,
            )
        overdue_ms = report.overdue_age_ms
        if overdue_ms is not None:
            cluster.commits.record_overdue(
                report.service, report.endpoint, now - overdue_ms / _MS_PER_S
            )


def acknowledged_reports(cluster: ClusterState) -> list[AcknowledgedReport]:
    """Return what clients know to be committed, for another node.

    A node that is lost takes no acknowledged commit along then.

    Args:
        cluster: state of this node.

    Returns:
        Reports of at most 16 services, those with the newest commits.

    """
    newest = cluster.acknowledged.newest(MAX_SERVICES_PER_MESSAGE)
    return [
        AcknowledgedReport(
            service=service, term=position.term, position=position.position
        )
        for service, position in newest.items()
    ]


def apply_acknowledged_reports(
    cluster: ClusterState, reports: list[AcknowledgedReport]
) -> None:
    """Apply the reports of another node on acknowledged commits.

    Args:
        cluster: state of this node.
        reports: reports that the other node sent.

    """
    for report in reports:
        position = LogPosition(term=report.term, position=report.position)
        cluster.acknowledged.merge(report.service, position)


def load_reports(cluster: ClusterState, now: float) -> list[EndpointLoad]:
    """Return what this node observed of endpoints, for another node.

    Args:
        cluster: state of this node.
        now: monotonic time.

    Returns:
        Reports of at most 16 endpoints; replicas that lag come first.

    """
    loads = {load.endpoint: load for load in cluster.loads.reports(now)}
    lagging = [
        add_position(loads.pop(position.endpoint, None), position)
        for position in cluster.positions.reports()
    ]
    reports = [*lagging, *loads.values()]
    return [report for report in reports if report is not None][:MAX_REPORTS]


def apply_load_reports(
    cluster: ClusterState,
    reports: list[EndpointLoad],
    sent_at: float,
    clock_sent_at: float,
) -> None:
    """Apply what another node of the data centre observed of endpoints.

    Args:
        cluster: state of this node.
        reports: reports that the other node sent; those of unknown endpoints
            are ignored.
        sent_at: monotonic time from which their ages count back.
        clock_sent_at: the same time on the clock of this node's state.

    """
    for report in reports[:MAX_REPORTS]:
        if cluster.find(report.endpoint) is not None:
            cluster.loads.apply_peer_report(report, sent_at)
            cluster.positions.apply_peer_report(report, clock_sent_at)


def _age_ms(moment: float | None, now: float) -> int | None:
    return None if moment is None else int((now - moment) * _MS_PER_S)
