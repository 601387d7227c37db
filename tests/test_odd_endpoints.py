"""Entries that can be read, but name endpoints that are not there."""

from dataclasses import replace
from functools import partial
from typing import Any

import pytest
from trio import sleep

from tests import test_unreadable_objects as unreadable
from tests import test_wire_failover as failover
from tests.support import run_virtual
from tests.test_wire_failover import primary_of
from trefoilhitch.platform.object_store import (
    CONFIG_KIND,
    CONFIG_NAME,
    ENDPOINT_KIND,
    LEASE_KIND,
)
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.endpoint_registry import (
    EndpointRegistry,
)
from trefoilhitch_lab.wire_stack import (
    SERVICE,
    WireStack,
    running_wire_stack,
)

ODD_NAME = 'another-writer'
PRIMARY = 'ledger-0'
REPLICA = 'ledger-2'
COPIES = {
    'replica-later': (REPLICA, {'born': 2}),
    'replica-earlier': (REPLICA, {'born': 0}),
    'replica-says-primary': (REPLICA, {'born': 2, 'db_role': 'primary'}),
    'replica-leaving': (REPLICA, {'born': 2, 'state': 'draining'}),
    'primary-later': (PRIMARY, {'born': 2}),
    'primary-earlier': (PRIMARY, {'born': 0}),
    'primary-says-replica': (PRIMARY, {'born': 2, 'db_role': 'replica'}),
    'primary-leaving': (PRIMARY, {'born': 2, 'state': 'draining'}),
}


REAL = EndpointRecord(
    endpoint='i-1',
    service=SERVICE,
    address='10.0.0.1:5000',
    data_centre='patan',
    started_at_ms=100,
    leaving=False,
    role='replica',
    slots=5,
)
OTHER = replace(REAL, endpoint='i-2', started_at_ms=200)


# Copied addresses


def test_listed_endpoint_is_dropped_for_another_at_its_address() -> None:
    registry = EndpointRegistry()
    registry.put(REAL)
    registry.put(OTHER)
    assert registry.usable(SERVICE) == [REAL, OTHER]
    registry.put(replace(REAL, leaving=True))
    registry.put(OTHER)
    assert registry.log_holders(SERVICE) == [replace(REAL, leaving=True), OTHER]


def test_missing_endpoint_is_kept_beside_its_successor() -> None:
    registry = EndpointRegistry()
    registry.put(REAL)
    registry.put(OTHER)
    registry.mark_missing(REAL.endpoint, 10)
    assert registry.log_holders(SERVICE) == [OTHER]


def test_missing_endpoint_is_dropped_for_an_earlier_one() -> None:
    registry = EndpointRegistry()
    registry.put(OTHER)
    registry.put(REAL)
    registry.mark_missing(OTHER.endpoint, 10)
    assert registry.log_holders(SERVICE) == [REAL, OTHER]


@pytest.mark.parametrize(
    ('answered', 'primary', 'kept'),
    [
        (['i-1'], None, ['i-1', 'i-3']),
        (['i-2'], 'i-1', ['i-2', 'i-3']),
        ([], 'i-1', ['i-1', 'i-3']),
        (['i-1', 'i-3'], 'i-2', ['i-1', 'i-3']),
    ],
)
def test_one_log_counts_as_two(
    answered: list[str], primary: str | None, kept: list[str]
) -> None:
    registry = EndpointRegistry()
    ids = ['i-1', 'i-2', 'i-3']
    for name in ids[:2]:
        registry.put(replace(REAL, endpoint=name))
    registry.put(replace(REAL, endpoint='i-3', address='10.0.0.3:5000'))
    assert registry.one_per_address(ids, answered, primary) == kept


async def play_copy(endpoint: str, changes: dict[str, Any]) -> None:
    """Copy an endpoint's address under another id; replace the primary."""
    async with running_wire_stack() as stack:
        entry = stack.endpoint_entry(endpoint, **changes)
        stack.store_state.put(ENDPOINT_KIND, ODD_NAME, entry)
        await unreadable.expect_service(stack)
        await unreadable.restart_all(stack)
        await unreadable.expect_service(stack)
        await sleep(10)
        await unreadable.expect_service(stack)
        assert primary_of(stack).endpoint == PRIMARY
        await replace_primary(stack)


async def replace_primary(stack: WireStack) -> None:
    """Crash the primary and write at its successor."""
    lost = primary_of(stack)
    lost.crash()
    lost.is_primary = False
    await failover.write_until_done(stack, 'after')
    assert not stack.group.lost_entries


@pytest.mark.parametrize('copy', COPIES)
def test_copied_address_hides_an_endpoint(copy: str) -> None:
    run_virtual(partial(play_copy, *COPIES[copy]))


# Services that no declaration names

UNDECLARED = {
    'replica-of-another-address': (REPLICA, {'address': '127.0.0.1:9'}),
    'primary-of-another-address': (PRIMARY, {'address': '127.0.0.1:9'}),
    'replica-of-a-used-address': (REPLICA, {}),
    'primary-of-a-used-address': (PRIMARY, {}),
}
SPAN_S = 15


def undeclared_entry(stack: WireStack, entry: str) -> dict[str, Any]:
    """Return an entry of a service that is not declared."""
    endpoint, changes = UNDECLARED[entry]
    return stack.endpoint_entry(endpoint, service='elsewhere', **changes)


@pytest.mark.parametrize('entry', UNDECLARED)
def test_undeclared_service_is_monitored(entry: str) -> None:
    async def play() -> None:
        async with running_wire_stack() as stack:
            spec = undeclared_entry(stack, entry)
            stack.store_state.put(ENDPOINT_KIND, ODD_NAME, spec)
            await sleep(SPAN_S)
            await unreadable.expect_service(stack)
            leases = stack.store_state.objects_by_kind.get(LEASE_KIND, {})
            assert 'elsewhere' not in leases
            assert not stack.promotions.received
            await unreadable.restart_all(stack)
            await unreadable.expect_service(stack)
            await replace_primary(stack)

    run_virtual(play)


# A node without a declaration serves no clients.
def test_primary_is_replaced_before_the_declaration_is_known() -> None:
    async def play() -> None:
        async with running_wire_stack() as stack:
            for name in list(stack.nodes):
                stack.kill_node(name)
            stack.store_state.remove(CONFIG_KIND, CONFIG_NAME)
            primary_of(stack).crash()
            for number in range(3):
                await stack.start_node(f'node-{number}')
            await sleep(SPAN_S)
            assert not stack.promotions.received

    run_virtual(play)


def test_service_is_unmonitored_once_it_is_declared() -> None:
    registry = EndpointRegistry()
    registry.put(REAL)
    assert not registry.services()
    registry.declare_services([SERVICE, 'empty'])
    assert registry.services() == [SERVICE]
    registry.declare_services(['empty'])
    assert not registry.services()
