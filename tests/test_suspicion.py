"""Tests of when a node suspects a primary."""

import pytest

from trefoilhitch.decision_log import NullLog
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.endpoint_selection import EndpointSelector
from trefoilhitch.pooler.failover_decision import (
    PREPARE_SILENCE_S,
    PREPARE_TIMEOUTS,
    REPLACE_TIMEOUTS,
    SILENCE_TIMEOUT_S,
    PrimaryEvidence,
    failover_reason,
)

NOW = 10.0
PRIMARY = EndpointRecord(
    'i-1',
    'ledger',
    '10.0.0.1:1',
    'a',
    started_at_ms=5,
    leaving=False,
    role='primary',
    slots=3,
)


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


@pytest.mark.parametrize(
    ('silent_s', 'prepares', 'replaces'),
    [
        (0, False, False),
        (PREPARE_SILENCE_S - 0.01, False, False),
        (PREPARE_SILENCE_S + 0.01, True, False),
        (SILENCE_TIMEOUT_S - 0.01, True, False),
        (SILENCE_TIMEOUT_S + 0.01, True, True),
    ],
)
def test_failover_is_prepared_before_the_primary_counts_as_silent(
    silent_s: float, prepares: bool, replaces: bool
) -> None:
    evidence = PrimaryEvidence(unanswered_since=NOW - silent_s)
    reasons = [
        failover_reason(
            evidence, PRIMARY, lost=False, now=NOW, timeouts=timeouts
        )
        for timeouts in (PREPARE_TIMEOUTS, REPLACE_TIMEOUTS)
    ]
    assert [reason is not None for reason in reasons] == [prepares, replaces]
