"""What nodes tell each other, out of what they know and into it."""

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.peer import CommitReport, LeadProof
from trefoilhitch.pooler.commits import CommitTrack
from trefoilhitch.pooler.freshness import Observation
from trefoilhitch.pooler.knowledge import Knowledge
from trefoilhitch.pooler.leadership import Lead

_MS_PER_S = 1000
# Services that one message tells of.
MAX_SERVICES = 16
# How long an overdue commit is told of.
RECENT_S = 6.0


def lead_proofs(knowledge: Knowledge) -> list[LeadProof]:
    """Return the newest proofs for another node.

    Args:
        knowledge: what this node knows.

    Returns:
        The proofs that are the newest.

    """
    now = knowledge.clock()
    newest = sorted(
        knowledge.observations.all_newest(), key=lambda each: -each.asked_at
    )
    return [_proof(observed, now) for observed in newest[:MAX_SERVICES]]


def _proof(observed: Observation, now: float) -> LeadProof:
    return LeadProof(
        service=observed.service,
        endpoint=observed.endpoint,
        term=observed.term,
        position_term=observed.position.term,
        position=observed.position.position,
        # Rounded up: an older proof is the safe one.
        age_ms=int((now - observed.asked_at) * _MS_PER_S) + 1,
    )


def learn_proofs(
    knowledge: Knowledge, proofs: list[LeadProof], asked_at: float | None
) -> None:
    """Take over the proofs of another node.

    Args:
        knowledge: what this node knows.
        proofs: what the other node told.
        asked_at: when this node asked for them; ages count back from then.
            None if it did not ask: then nothing tells how long the message
            took, and only who leads is believed.

    """
    for proof in proofs:
        lead = Lead(proof.service, proof.endpoint, proof.term)
        if asked_at is None:
            knowledge.hear(lead, 'peer')
            continue
        position = LogPosition(
            term=proof.position_term, position=proof.position
        )
        proved_at = asked_at - proof.age_ms / _MS_PER_S
        knowledge.prove(lead, position, proved_at, 'peer')


def commit_reports(knowledge: Knowledge) -> list[CommitReport]:
    """Return what this node saw of commits, for another node.

    Args:
        knowledge: what this node knows.

    Returns:
        A report for each service where a commit was overdue lately.

    """
    now = knowledge.clock()
    return [
        CommitReport(
            service=service,
            endpoint=track.endpoint,
            acknowledged_age_ms=_age_ms(track.acknowledged_at, now),
            overdue_age_ms=_age_ms(track.overdue_since, now),
        )
        for service, track in knowledge.commits.all_tracks().items()
        if _is_recent(track, now)
    ][:MAX_SERVICES]


def _is_recent(track: CommitTrack, now: float) -> bool:
    alarmed_at = track.alarmed_at
    return alarmed_at is not None and now - alarmed_at < RECENT_S


def learn_commits(knowledge: Knowledge, reports: list[CommitReport]) -> None:
    """Take over what another node saw of commits.

    Args:
        knowledge: what this node knows.
        reports: what the other node told.

    """
    now = knowledge.clock()
    for report in reports:
        acknowledged_ms = report.acknowledged_age_ms
        if acknowledged_ms is not None:
            knowledge.commits.acknowledge(
                report.service,
                report.endpoint,
                now - acknowledged_ms / _MS_PER_S,
            )
        overdue_ms = report.overdue_age_ms
        if overdue_ms is not None:
            knowledge.commits.miss(
                report.service, report.endpoint, now - overdue_ms / _MS_PER_S
            )


def _age_ms(moment: float | None, now: float) -> int | None:
    return None if moment is None else int((now - moment) * _MS_PER_S)
