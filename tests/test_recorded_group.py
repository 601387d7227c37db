"""Endpoints that only the record of their group names."""

from dataclasses import replace

import pytest
from trio import sleep

from tests import test_wire_failover as failover
from tests.support import with_virtual_clock
from tests.test_leaving_endpoints import READY
from tests.test_restarted_nodes import remove_entries
from tests.test_unreadable_objects import restart_all
from tests.test_wire_failover import RECORDED_S, SERVICE, primary_of
from trefoilhitch.platform.object_store import GROUP_KIND
from trefoilhitch.pooler.endpoint_registry import (
    MISSING_GRACE_S,
    EndpointRegistry,
)
from trefoilhitch.pooler.former_endpoints import (
    GONE_RETENTION_S,
    LOST_RETENTION_S,
)
from trefoilhitch.pooler.recorded_group import read_members, record_members
from trefoilhitch_lab.wire_stack import running_wire_stack

NOW = 100.0
# Versions of the record: before a removal, after it, and one that another
# monitor writes meanwhile.
MAX_VERSIONS = 3
MEMBER = replace(READY, endpoint='a', started_at_ms=1, slots=1)
LEAVING = replace(MEMBER, leaving=True)
SUCCESSOR = replace(MEMBER, endpoint='b', started_at_ms=2)


def holders(registry: EndpointRegistry) -> list[str]:
    """Return the ids of the endpoints that may hold commits."""
    return [each.endpoint for each in registry.log_holders(SERVICE)]


def test_record_keeps_what_a_failover_needs() -> None:
    recorded = record_members([SUCCESSOR, MEMBER])
    assert read_members(SERVICE, recorded) == [MEMBER, SUCCESSOR]


def test_remembered_endpoint_holds_a_log_but_gets_no_work() -> None:
    registry = EndpointRegistry()
    assert registry.remember(MEMBER, NOW)
    assert not registry.remember(MEMBER, NOW)
    assert holders(registry) == ['a']
    assert registry.usable(SERVICE) == []
    assert not registry.was_listed('a')
    registry.put(MEMBER)
    assert registry.was_listed('a')


def test_remembered_endpoint_is_lost_and_then_gone() -> None:
    registry = EndpointRegistry()
    registry.remember(MEMBER, NOW)
    lost_at = NOW + MISSING_GRACE_S
    assert registry.drop_expired(lost_at) == ['a']
    assert registry.is_lost('a')
    gone_at = lost_at + LOST_RETENTION_S
    registry.drop_expired(gone_at)
    assert holders(registry) == []
    # The record may be older than what this node knows.
    assert not registry.remember(MEMBER, gone_at)
    assert registry.remember(replace(MEMBER, started_at_ms=2), gone_at)


def test_gone_endpoints_are_forgotten_in_the_end() -> None:
    registry = EndpointRegistry()
    registry.remember(LEAVING, NOW)
    gone_at = NOW + MISSING_GRACE_S
    registry.drop_expired(gone_at)
    assert holders(registry) == []
    assert not registry.remember(LEAVING, gone_at)
    registry.drop_expired(gone_at + GONE_RETENTION_S)
    assert registry.remember(LEAVING, gone_at + GONE_RETENTION_S)


def test_replaced_endpoint_is_not_remembered() -> None:
    registry = EndpointRegistry()
    registry.put(SUCCESSOR)
    assert not registry.remember(MEMBER, NOW)


def test_remembered_leaving_endpoint_has_left() -> None:
    registry = EndpointRegistry()
    registry.remember(LEAVING, NOW)
    assert registry.has_left('a', NOW)


@pytest.mark.parametrize('listed_at', [NOW, NOW + 60])
def test_entries_settle_after_the_first_listing(listed_at: float) -> None:
    registry = EndpointRegistry()
    assert not registry.has_settled(listed_at)
    registry.replace_all({}, listed_at)
    registry.replace_all({}, listed_at + MISSING_GRACE_S / 2)
    assert not registry.has_settled(listed_at)
    assert registry.has_settled(listed_at + MISSING_GRACE_S)


@with_virtual_clock
async def test_unreadable_record_is_written_again() -> None:
    async with running_wire_stack() as stack:
        await sleep(RECORDED_S)
        stack.store_state.put(GROUP_KIND, SERVICE, {'members': 'none'})
        await restart_all(stack)
        await sleep(RECORDED_S)
        stored = stack.store_state.objects_by_kind[GROUP_KIND][SERVICE]
        names = [each['endpoint'] for each in stored['spec']['members']]
        assert names == sorted(stack.group.endpoints)
        primary_of(stack).crash()
        primary_of(stack).is_primary = False
        await failover.write_until_done(stack, 'after')


@with_virtual_clock
async def test_unlisted_primary_is_used_by_restarted_nodes() -> None:
    """Guards against orders refused though the primary is alive."""
    async with running_wire_stack() as stack:
        await sleep(RECORDED_S)
        remove_entries(stack)
        await restart_all(stack)
        stack.store_state.put(
            'servers', 'ledger-1', stack.endpoint_entry('ledger-1')
        )
        await sleep(1)
        assert await failover.write(stack, 'before-its-entry-is-back') == ''
        assert not stack.promotions.received


@with_virtual_clock
async def test_lost_endpoint_is_removed_from_the_record_once() -> None:
    """Guards against monitors that undo each other's removals."""
    async with running_wire_stack() as stack:
        await sleep(RECORDED_S)
        remove_entries(stack, 'ledger-2')
        stack.group.endpoints['ledger-2'].crash()
        await sleep(LOST_RETENTION_S / 3)
        # These learn the endpoint later than the first monitor.
        for name in ('node-1', 'node-2'):
            stack.kill_node(name)
        for name in ('node-1', 'node-2'):
            await stack.start_node(name)
        revisions = set()
        for _ in range(int(2 * LOST_RETENTION_S)):
            await sleep(1)
            kept = stack.store_state.objects_by_kind[GROUP_KIND][SERVICE]
            revisions.add(kept['meta']['revision'])
        names = [each['endpoint'] for each in kept['spec']['members']]
        assert names == ['ledger-0', 'ledger-1']
        assert len(revisions) <= MAX_VERSIONS
