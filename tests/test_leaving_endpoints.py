"""Endpoints that left, and entries of a directory that was restored."""

from dataclasses import replace

import pytest

from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.endpoint_registry import (
    MISSING_GRACE_S,
    EndpointRegistry,
)
from trefoilhitch.pooler.leaving_endpoints import (
    RETENTION_S,
    LeavingEndpoints,
)

READY = EndpointRecord(
    endpoint='i-1',
    service='ledger',
    address='10.0.0.1:5000',
    data_centre='patan',
    started_at_ms=100,
    leaving=False,
    role='replica',
    slots=5,
)
LEAVING = replace(READY, leaving=True)


def leaving_since(now: float) -> EndpointRegistry:
    """Return a registry that saw an endpoint leave."""
    registry = EndpointRegistry()
    registry.put(READY)
    registry.put(LEAVING)
    registry.record_leaving('i-1', now)
    return registry


def test_older_entry_lets_a_leaving_endpoint_return() -> None:
    registry = leaving_since(10)
    assert registry.put(READY) == LEAVING
    assert not registry.usable('ledger')
    assert registry.has_left('i-1', 20)


def test_older_entry_lets_a_gone_endpoint_return() -> None:
    registry = leaving_since(10)
    registry.replace_all({}, 20)
    assert registry.drop_expired(20 + MISSING_GRACE_S) == ['i-1']
    registry.replace_all({'i-1': READY}, 30)
    assert not registry.usable('ledger')
    assert registry.has_left('i-1', 30)


# The clock of an endpoint's machine may have been set back.
@pytest.mark.parametrize('started_at_ms', [200, 50])
def test_restarted_endpoint_stays_unused(started_at_ms: int) -> None:
    registry = leaving_since(10)
    restarted = replace(READY, started_at_ms=started_at_ms)
    assert registry.put(restarted) == restarted
    assert registry.usable('ledger') == [restarted]
    assert not registry.has_left('i-1', 20)


def test_gone_endpoints_are_remembered_for_ever() -> None:
    leaving = LeavingEndpoints()
    assert leaving.observe('i-1', 100, leaving=True)
    leaving.record_gone('i-1', 10)
    leaving.forget_gone(10 + RETENTION_S - 1)
    assert leaving.observe('i-1', 100, leaving=False)
    leaving.record_gone('i-1', 10)
    leaving.forget_gone(10 + RETENTION_S)
    assert not leaving.observe('i-1', 100, leaving=False)
