"""Tests of when a node suspects a primary."""

from trefoilhitch.decision_log import NullLog
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.endpoint_selection import EndpointSelector
from trefoilhitch.pooler.failover_decision import (
    SILENCE_TIMEOUT_S,
    SUSPECTED_AFTER_S,
    PrimaryEvidence,
)

NOW = 10.0


def test_suspended_process_suspects_no_primary() -> None:
    now = [100.0]
    cluster = ClusterState(
        selector=EndpointSelector(data_centre='patan', regions={}),
        log=NullLog(),
        clock=lambda: now[0],
    )
    # The VM was frozen for 4 s during a request with a timeout of 0.8 s.
    sent_at = now[0] - 4.8
    cluster.record_commit_overdue('orders', 'a', sent_at, 0.8)
    cluster.record_unanswered('orders', sent_at, 0.8)
    evidence = cluster.evidence('orders', 'a')
    assert evidence == PrimaryEvidence()
    cluster.record_commit_overdue('orders', 'a', now[0] - 0.8, 0.8)
    cluster.record_unanswered('orders', now[0] - 0.8, 0.8)
    evidence = cluster.evidence('orders', 'a')
    assert evidence == PrimaryEvidence(
        unanswered_since=now[0] - 0.8, unacknowledged_since=now[0] - 0.8
    )


def test_primary_is_suspected_before_it_counts_as_silent() -> None:
    evidence = PrimaryEvidence(unanswered_since=NOW - SUSPECTED_AFTER_S - 0.01)
    assert evidence.is_suspected(NOW)
    assert SUSPECTED_AFTER_S < SILENCE_TIMEOUT_S
    assert not PrimaryEvidence(unanswered_since=NOW).is_suspected(NOW)
    assert not PrimaryEvidence().is_suspected(NOW)
