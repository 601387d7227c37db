"""What the log tells of members of groups that appear, restart and end."""

from dataclasses import replace
from typing import Any

import pytest
from trio import open_nursery, sleep

from tests.support import make_cluster, run_virtual
from tests.test_leaving_endpoints import READY
from tests.test_store_sync import make_sync
from trefoilhitch.decision_log import NullLog
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.endpoint_registry import MISSING_GRACE_S
from trefoilhitch.pooler.former_endpoints import LOST_RETENTION_S

LEAVING = replace(READY, leaving=True)
SUCCESSOR = replace(
    READY, endpoint='i-2', started_at_ms=READY.started_at_ms + 1
)


class EndpointLog(NullLog):
    """Keeps the events of endpoints."""

    def __init__(self) -> None:
        """Start without events."""
        self.changed: list[dict[str, Any]] = []
        self.gone: list[dict[str, Any]] = []

    def event(self, kind: str, **fields: Any) -> None:
        """Keep an event."""
        if kind == 'endpoint_changed':
            self.changed.append(fields)
        if kind == 'endpoint_gone':
            self.gone.append(fields)


def end(*entries: EndpointRecord, after_s: float) -> list[dict[str, Any]]:
    """Let entries follow each other at a registry, each missing after it.

    Returns:
        The fields of the events of members that have ended.

    """
    log = EndpointLog()

    async def play() -> None:
        cluster = make_cluster()
        sync = make_sync(cluster, log)
        for entry in entries:
            cluster.endpoints.put(entry)
            cluster.endpoints.mark_missing(entry.endpoint, 0)
        cluster.endpoints.drop_expired(after_s)
        sync.remove_lost_endpoints()

    run_virtual(play)
    return log.gone


@pytest.mark.parametrize(
    ('entries', 'after_s', 'ends'),
    [
        ([READY], MISSING_GRACE_S - 1, []),
        ([READY], MISSING_GRACE_S, [('i-1', 'lost')]),
        ([LEAVING], MISSING_GRACE_S, [('i-1', 'left')]),
        ([READY, SUCCESSOR], 0, [('i-1', 'replaced')]),
    ],
)
def test_end_of_a_member_is_logged(
    entries: list[EndpointRecord], after_s: float, ends: list[tuple[str, str]]
) -> None:
    """Guards against a holder of commits that ends without a trace."""
    events = end(*entries, after_s=after_s)
    assert [(each['endpoint'], each['reason']) for each in events] == ends
    assert all(each['service'] == READY.service for each in events)
    assert all(each['address'] == READY.address for each in events)


def test_entry_that_goes_missing_after_its_successor_is_logged() -> None:
    log = EndpointLog()

    async def play() -> None:
        cluster = make_cluster()
        cluster.endpoints.put(READY)
        cluster.endpoints.put(SUCCESSOR)
        cluster.endpoints.mark_missing(READY.endpoint, 0)
        make_sync(cluster, log).remove_lost_endpoints()

    run_virtual(play)
    assert [each['reason'] for each in log.gone] == ['replaced']


def test_lost_member_that_counts_no_more_is_logged() -> None:
    """Guards against a lost holder that is dropped without a trace."""
    log = EndpointLog()

    async def play() -> None:
        cluster = make_cluster()
        cluster.endpoints.put(READY)
        cluster.endpoints.mark_missing(READY.endpoint, 0)
        cluster.endpoints.drop_expired(MISSING_GRACE_S)
        cluster.endpoints.drop_expired(MISSING_GRACE_S + LOST_RETENTION_S)
        sync = make_sync(cluster, log)
        sync.remove_lost_endpoints()
        sync.remove_lost_endpoints()

    run_virtual(play)
    assert [each['reason'] for each in log.gone] == ['lost', 'forgotten']


def test_entry_tells_the_start_of_its_endpoint() -> None:
    """Guards against entries whose delay since the start is not known."""
    log = EndpointLog()

    async def play() -> None:
        restarted = replace(READY, started_at_ms=READY.started_at_ms + 1)
        sync = make_sync(make_cluster(), log, READY, LEAVING, restarted)
        async with open_nursery() as nursery:
            nursery.start_soon(sync.watch_endpoints)
            await sleep(3)
            nursery.cancel_scope.cancel()

    run_virtual(play)
    assert [
        (each['started_at_ms'], each['first'], each['restarted'])
        for each in log.changed
    ] == [(100, True, False), (100, False, False), (101, False, True)]
