"""Whom a node suspects, and when it keeps its suspicion to itself."""

from trefoilhitch.decision_log import SilentLog
from trefoilhitch.pooler.knowledge import Knowledge
from trefoilhitch.pooler.succession import (
    DOUBTED_AFTER_S,
    SILENT_AFTER_S,
    LeadEvidence,
)
from trefoilhitch.pooler.target import EndpointChoice

NOW = 10.0


def test_who_stood_still_accuses_nobody() -> None:
    now = [100.0]
    knowledge = Knowledge(
        choice=EndpointChoice(data_centre='patan', regions={}),
        log=SilentLog(),
        clock=lambda: now[0],
    )
    # A VM was frozen for 4 s while it waited 0.8 s for an answer.
    asked_at = now[0] - 4.8
    knowledge.commit_overdue('orders', 'a', asked_at, 0.8)
    knowledge.question_unanswered('orders', asked_at, 0.8)
    evidence = knowledge.evidence('orders', 'a')
    assert evidence == LeadEvidence()
    knowledge.commit_overdue('orders', 'a', now[0] - 0.8, 0.8)
    knowledge.question_unanswered('orders', now[0] - 0.8, 0.8)
    evidence = knowledge.evidence('orders', 'a')
    assert evidence == LeadEvidence(
        asked_since=now[0] - 0.8, unacknowledged_since=now[0] - 0.8
    )


def test_other_nodes_are_asked_before_a_lead_counts_as_silent() -> None:
    evidence = LeadEvidence(asked_since=NOW - DOUBTED_AFTER_S - 0.01)
    assert evidence.is_doubted(NOW)
    assert DOUBTED_AFTER_S < SILENT_AFTER_S
    assert not LeadEvidence(asked_since=NOW).is_doubted(NOW)
    assert not LeadEvidence().is_doubted(NOW)
