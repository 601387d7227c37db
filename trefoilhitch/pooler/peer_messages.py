"""What nodes tell each other, out of what they know and into it."""

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.peer import CommitReport, LeadProof
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.commit_tracker import CommitProgress
from trefoilhitch.pooler.observations import PrimaryObservation
from trefoilhitch.pooler.primary_tracker import Primary

_MS_PER_S = 1000
# Services that one message tells of.
MAX_SERVICES_PER_MESSAGE = 16
# How long an overdue commit is told of.
OVERDUE_REPORT_S = 6.0


def primary_proofs(cluster: ClusterState) -> list[LeadProof]:
    """Return the newest proofs for another node.

    Args:
        cluster: what this node knows.

    Returns:
        The proofs that are the newest.

    """
    now = cluster.clock()
    newest = sorted(
        cluster.observations.newest_per_service(),
        key=lambda each: -each.sent_at,
    )
    return [
        _proof(observed, now) for observed in newest[:MAX_SERVICES_PER_MESSAGE]
    ]


def _proof(observed: PrimaryObservation, now: float) -> LeadProof:
    return LeadProof(
        service=observed.service,
        endpoint=observed.endpoint,
        term=observed.term,
        position_term=observed.position.term,
        position=observed.position.position,
        # Rounded up: an older proof is the safe one.
        age_ms=int((now - observed.sent_at) * _MS_PER_S) + 1,
    )


def apply_proofs(
    cluster: ClusterState, proofs: list[LeadProof], sent_at: float | None
) -> None:
    """Take over the proofs of another node.

    Args:
        cluster: what this node knows.
        proofs: what the other node told.
        sent_at: when this node asked for them; ages count back from then.
            None if it did not ask: then nothing tells how long the message
            took, and only who leads is believed.

    """
    for proof in proofs:
        lead = Primary(proof.service, proof.endpoint, proof.term)
        if sent_at is None:
            cluster.record_primary(lead, 'peer')
            continue
        position = LogPosition(
            term=proof.position_term, position=proof.position
        )
        proved_at = sent_at - proof.age_ms / _MS_PER_S
        cluster.record_proof(lead, position, proved_at, 'peer')


def commit_reports(cluster: ClusterState) -> list[CommitReport]:
    """Return what this node saw of commits, for another node.

    Args:
        cluster: what this node knows.

    Returns:
        A report for each service where a commit was overdue lately.

    """
    now = cluster.clock()
    return [
        CommitReport(
            service=service,
            endpoint=track.endpoint,
            acknowledged_age_ms=_age_ms(track.acknowledged_sent_at, now),
            overdue_age_ms=_age_ms(track.first_overdue_sent_at, now),
        )
        for service, track in cluster.commits.all_progress().items()
        if _is_recent(track, now)
    ][:MAX_SERVICES_PER_MESSAGE]


def _is_recent(track: CommitProgress, now: float) -> bool:
    alarmed_at = track.last_overdue_sent_at
    return alarmed_at is not None and now - alarmed_at < OVERDUE_REPORT_S


def apply_commit_reports(
    cluster: ClusterState, reports: list[CommitReport]
) -> None:
    """Take over what another node saw of commits.

    Args:
        cluster: what this node knows.
        reports: what the other node told.

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


def _age_ms(moment: float | None, now: float) -> int | None:
    return None if moment is None else int((now - moment) * _MS_PER_S)
