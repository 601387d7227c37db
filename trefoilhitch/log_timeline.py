"""Selects the log events that explain the outcome of one request."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import timedelta

from trefoilhitch.connection_timeline import select_held_names
from trefoilhitch.logged_event import LoggedEvent

# Events that affect every request on their node.
_NODE_EVENTS = frozenset(
    (
        'started',
        'stop_began',
        'reloaded',
        'store_lost',
        'listing_read',
        'log_dropped',
        'suspicion_dropped',
    )
)
_DECLARATION_EVENT = 'declaration_in_force'


def read_events(lines: Iterable[str]) -> Iterator[LoggedEvent]:
    """Parse log lines.

    Args:
        lines: lines of any number of nodes, in any order.

    Yields:
        The events; other lines are skipped.

    """
    for line in lines:
        event = LoggedEvent.from_line(line)
        if event is not None:
            yield event


def build_timeline(
    events: Iterable[LoggedEvent], request: str, around: timedelta
) -> list[LoggedEvent]:
    """Collect the events that explain a request's outcome.

    Args:
        events: events of all nodes.
        request: the request's id.
        around: how long before and after the request to look.

    Returns:
        The request's own events, those of its endpoints, services and nodes
        in that time, what changed the names on its connections, and the
        declaration that was in force, ordered by time; empty if the request is
        not in the logs.

    """
    by_time = sorted(events, key=lambda event: event.time)
    own_events = [
        each for each in by_time if each.fields.get('request') == request
    ]
    if not own_events:
        return []
    scope = _find_scope(own_events, by_time)
    nearby = _near(own_events, by_time, around)
    related = [each for each in nearby if _is_related(each, scope)]
    in_force = _declaration_in_force(own_events[0], by_time)
    held = select_held_names(own_events, by_time, around)
    shown = {id(each) for each in (*in_force, *held, *related)}
    return [each for each in by_time if id(each) in shown]


def _near(
    own_events: list[LoggedEvent],
    events: list[LoggedEvent],
    around: timedelta,
) -> Iterator[LoggedEvent]:
    start = own_events[0].time
    end = own_events[-1].time
    for event in events:
        if start - event.time <= around and event.time - end <= around:
            yield event


@dataclass(frozen=True, slots=True)
class _RequestScope:
    request: str
    nodes: frozenset[str]
    endpoints: frozenset[str]
    services: frozenset[str]


def _find_scope(
    own_events: list[LoggedEvent], events: list[LoggedEvent]
) -> _RequestScope:
    endpoints = {
        each.name_of('endpoint')
        for each in own_events
        if each.name_of('endpoint')
    }
    services = {
        each.name_of('service')
        for each in events
        if each.name_of('endpoint') in endpoints and each.name_of('service')
    }
    return _RequestScope(
        own_events[0].fields['request'],
        frozenset(each.node for each in own_events),
        frozenset(endpoints),
        frozenset(services),
    )


def _is_related(event: LoggedEvent, scope: _RequestScope) -> bool:
    request = event.fields.get('request')
    if request is not None:
        return bool(request == scope.request)
    if event.event in _NODE_EVENTS:
        return event.node in scope.nodes
    return (
        event.name_of('endpoint') in scope.endpoints
        or event.name_of('service') in scope.services
    )


def _declaration_in_force(
    first: LoggedEvent, events: list[LoggedEvent]
) -> list[LoggedEvent]:
    """Return the node's last declaration event before the first event."""
    before = [
        each
        for each in events
        if each.event == _DECLARATION_EVENT
        and each.node == first.node
        and each.time <= first.time
    ]
    return before[-1:]
