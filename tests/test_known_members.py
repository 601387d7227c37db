"""What the log of a failover tells of the members that it knew."""

from dataclasses import replace
from typing import Any

import pytest
from trio import sleep

from tests import test_wire_failover as failover
from tests.support import run_virtual
from tests.test_leaving_endpoints import READY
from trefoilhitch.decision_log import NullLog
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.endpoint_registry import (
    MISSING_GRACE_S,
    EndpointRegistry,
)
from trefoilhitch.pooler.group_fence import GroupFence
from trefoilhitch.pooler.known_members import (
    EntryState,
    KnownMember,
    known_members,
)
from trefoilhitch_lab.wire_stack import running_wire_stack

FAILOVER_EVENTS = ('fenced', 'promotion_ordered')


class FailoverLog(NullLog):
    """Keeps the fields of each kind of event."""

    def __init__(self) -> None:
        """Start without events."""
        self.events: dict[str, dict[str, Any]] = {}

    def event(self, kind: str, **fields: Any) -> None:
        """Keep an event."""
        self.events[kind] = fields


def know(registry: EndpointRegistry, now: float) -> KnownMember:
    """Return the only member that a registry knows."""
    return known_members(registry, READY.service, now)[0]


@pytest.mark.parametrize(
    ('entry', 'missing_at', 'state'),
    [
        (READY, None, EntryState.LISTED),
        (replace(READY, leaving=True), None, EntryState.LEAVING),
        (READY, 10, EntryState.MISSING),
        (READY, 10 - MISSING_GRACE_S, EntryState.LOST),
    ],
)
def test_state_of_a_member_is_told(
    entry: EndpointRecord, missing_at: float | None, state: EntryState
) -> None:
    registry = EndpointRegistry()
    registry.put(entry)
    registry.listings.record(entry, 4)
    if missing_at is not None:
        registry.mark_missing(entry.endpoint, missing_at)
    registry.drop_expired(10)
    assert know(registry, 10) == KnownMember(
        'i-1', state, READY.started_at_ms, 6000
    )


def test_member_that_was_never_listed_is_told_apart() -> None:
    registry = EndpointRegistry()
    registry.remember(READY, 0)
    assert know(registry, 1).listed_for_ms is None


def test_restart_begins_a_new_listing() -> None:
    registry = EndpointRegistry()
    restarted = replace(READY, started_at_ms=READY.started_at_ms + 1)
    for now, entry in enumerate((READY, READY, restarted, restarted)):
        registry.put(entry)
        registry.listings.record(entry, now)
    assert know(registry, 3).listed_for_ms == 1000


def test_failover_tells_since_when_it_knew_each_member() -> None:
    """Guards against a commit at an endpoint listed after the promotion."""
    log = FailoverLog()

    async def scenario() -> None:
        async with running_wire_stack(log=log) as stack:
            await sleep(failover.RECORDED_S)
            failover.primary_of(stack).crash()
            await failover.write_until_done(stack, 'after')

    run_virtual(scenario)
    for kind in FAILOVER_EVENTS:
        known = log.events[kind]['known']
        assert [each.endpoint for each in known] == [
            'ledger-0',
            'ledger-1',
            'ledger-2',
        ]
        assert all(each.entry == EntryState.LISTED for each in known)
        assert all(
            each.listed_for_ms > failover.RECORDED_S * 1000 for each in known
        )


def test_withheld_promotion_names_who_has_joined(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a promotion withheld for a member that is not named."""
    log = FailoverLog()
    monkeypatch.setattr(GroupFence, 'joined', lambda *_: ['ledger-9'])

    async def scenario() -> None:
        async with running_wire_stack(log=log) as stack:
            await sleep(failover.RECORDED_S)
            failover.primary_of(stack).crash()
            await sleep(failover.TARGET_GAP_S)

    run_virtual(scenario)
    assert log.events['promotion_withheld']['joined'] == ['ledger-9']
    assert log.events['promotion_withheld']['reason'] == (
        'an endpoint has joined'
    )
