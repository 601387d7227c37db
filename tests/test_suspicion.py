"""Whom a node suspects, and when it keeps its suspicion to itself."""

from trefoilhitch.decision_log import NullLog
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.endpoint_selection import EndpointSelector
from trefoilhitch.pooler.failover_decision import (
    SILENCE_TIMEOUT_S,
    SUSPECTED_AFTER_S,
    PrimaryEvidence,
)

NOW = 10.0


def test_who_stood_still_accuses_nobody() -> None:
    now = [100.0]
    knowledge = ClusterState(
        selector=EndpointSelector(data_centre='patan', regions={}),
        log=NullLog(),
        clock=lambda: now[0],
    )
    # A VM was frozen for 4 s while it waited 0.8 s for an answer.
    asked_at = now[0] - 4.8
    knowledge.record_commit_overdue('orders', 'a', asked_at, 0.8)
    knowledge.record_unanswered('orders', asked_at, 0.8)
    evidence = knowledge.evidence('orders', 'a')
    assert evidence == PrimaryEvidence()
    knowledge.record_commit_overdue('orders', 'a', now[0] - 0.8, 0.8)
    knowledge.record_unanswered('orders', now[0] - 0.8, 0.8)
    evidence = knowledge.evidence('orders', 'a')
    assert evidence == PrimaryEvidence(
        unanswered_since=now[0] - 0.8, unacknowledged_since=now[0] - 0.8
    )


def test_other_nodes_are_asked_before_a_lead_counts_as_silent() -> None:
    evidence = PrimaryEvidence(unanswered_since=NOW - SUSPECTED_AFTER_S - 0.01)
    assert evidence.is_suspected(NOW)
    assert SUSPECTED_AFTER_S < SILENCE_TIMEOUT_S
    assert not PrimaryEvidence(unanswered_since=NOW).is_suspected(NOW)
    assert not PrimaryEvidence().is_suspected(NOW)
