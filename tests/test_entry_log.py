"""Passing on of endpoints' entries, and the choice of the store's watchers."""

from dataclasses import replace

import pytest

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.endpoint_registry import (
    DRAIN_FRACTION,
    EndpointRegistry,
)
from trefoilhitch.pooler.entry_log import EntryLog, read_changes
from trefoilhitch.pooler.era_numbers import NO_ERA
from trefoilhitch.pooler.monitor_order import rank_monitors
from trefoilhitch.pooler.object_watcher import Changes
from trefoilhitch.pooler.store_watchers import (
    WATCHERS_PER_REGION,
    watches_store,
)

FIRST = EndpointRecord(
    'i-1',
    'ledger',
    '10.0.0.1:1',
    'a',
    5,
    leaving=False,
    role='primary',
    slots=3,
)
SECOND = replace(FIRST, endpoint='i-2', address='10.0.0.2:1', role='replica')


def test_node_gets_only_what_changed_since_its_revision() -> None:
    log = EntryLog()
    log.replace_all(Changes({'i-1': FIRST, 'i-2': SECOND}, (), 10))
    leaving = replace(FIRST, leaving=True)
    log.apply(Changes({'i-1': leaving}, (), 12))
    changes = read_changes(log.changes_since(10, NO_ERA))
    assert changes.present == {'i-1': leaving}
    assert changes.absent == ()
    assert changes.revision == 12


def test_removed_entry_is_passed_on() -> None:
    log = EntryLog()
    log.replace_all(Changes({'i-1': FIRST, 'i-2': SECOND}, (), 10))
    # A later listing lacks an entry.
    log.replace_all(Changes({'i-1': FIRST}, (), 14))
    changes = read_changes(log.changes_since(10, NO_ERA))
    assert changes.absent == ('i-2',)
    assert not changes.present


def test_unchanged_entries_are_not_sent_again() -> None:
    log = EntryLog()
    log.replace_all(Changes({'i-1': FIRST}, (), 10))
    log.replace_all(Changes({'i-1': FIRST}, (), 20))
    reply = log.changes_since(10, NO_ERA)
    assert reply.revision == 20
    assert not reply.entries


def test_entries_of_a_later_era_are_compared_by_revision_alone() -> None:
    log = EntryLog()
    log.replace_all(Changes({'i-1': FIRST, 'i-2': SECOND}, (), 10, 1))
    assert log.is_behind(2, 4)
    assert not log.is_behind(1, 10)
    assert log.is_behind(NO_ERA, 11)
    log.replace_all(Changes({'i-1': FIRST}, (), 4, 2))
    assert not log.is_behind(1, 11)
    # A node that knows the first era needs all entries, also the removed one.
    changes = read_changes(log.changes_since(10, 1))
    assert changes.present == {'i-1': FIRST}
    assert changes.absent == ('i-2',)
    assert (changes.era, changes.revision) == (2, 4)
    assert not log.changes_since(4, 2).entries


def test_endpoint_that_has_left_gets_no_statements() -> None:
    registry = EndpointRegistry(10)
    registry.put(replace(FIRST, leaving=True))
    registry.record_leaving('i-1', 100)
    registry.record_leaving('i-1', 105)
    assert not registry.has_left('i-1', 100)
    assert registry.has_left('i-1', 100 + 10 * DRAIN_FRACTION)
    # It was restarted and serves again.
    registry.put(replace(FIRST, started_at_ms=FIRST.started_at_ms + 1))
    assert not registry.has_left('i-1', 200)


def members(count: int, *, lost: tuple[int, ...] = ()) -> list[MemberBeat]:
    """Return nodes of one region, some of them without the store."""
    return [
        MemberBeat(
            node=f'edge-{number}',
            address='',
            region='east',
            data_centre=f'dc-{number % 2}',
            incarnation=1,
            counter=1,
            state='live',
            store_lost=number in lost,
        )
        for number in range(count)
    ]


def watcher_names(live: list[MemberBeat]) -> set[str]:
    """Return the names of the nodes that watch the store."""
    return {own.node for own in live if watches_store(own, live)}


@pytest.mark.parametrize('count', [5, 66, 400])
def test_few_nodes_watch_the_store(count: int) -> None:
    assert len(watcher_names(members(count))) == WATCHERS_PER_REGION


def test_all_nodes_of_a_small_region_watch_the_store() -> None:
    assert len(watcher_names(members(3))) == 3


def test_other_nodes_watch_while_the_store_refuses_the_watchers() -> None:
    watching = watcher_names(members(66))
    lost = tuple(int(name.split('-')[1]) for name in watching)
    others = watcher_names(members(66, lost=lost))
    assert len(others) == WATCHERS_PER_REGION
    assert not others & watching


def test_all_nodes_watch_while_the_store_refuses_the_region() -> None:
    assert len(watcher_names(members(6, lost=tuple(range(6))))) == 6


def test_node_without_the_store_monitors_last() -> None:
    live = members(6)
    first = rank_monitors('ledger', 'dc-0', live)[0]
    lost = (int(first.split('-')[1]),)
    ranked = rank_monitors('ledger', 'dc-0', members(6, lost=lost))
    assert ranked[-1] == first
    assert sorted(ranked) == sorted(node.node for node in live)
