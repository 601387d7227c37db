"""Selects the log events that tell what a pooled connection held."""

from collections.abc import Iterator, Sequence
from datetime import timedelta

from trefoilhitch.logged_event import LoggedEvent

_PREPARED_EVENT = 'statement_prepared'
_RESET_EVENT = 'connection_reset'
_STARTED_EVENT = 'started'


def select_held_names(
    own_events: Sequence[LoggedEvent],
    events: Sequence[LoggedEvent],
    around: timedelta,
) -> list[LoggedEvent]:
    """Select what changed the names on the connections of a request.

    Args:
        own_events: events of the request.
        events: events of all nodes, ordered by time.
        around: how long before and after an event of the request to look.

    Returns:
        All preparations and resets on its connections in that time, and
        however early the preparation that put the name there, with the last
        reset since then.

    """
    return [
        selected
        for own in own_events
        if own.name_of('connection')
        for selected in _select(own, _history(own, events, around), around)
    ]


def _history(
    own: LoggedEvent, events: Sequence[LoggedEvent], around: timedelta
) -> list[LoggedEvent]:
    """Return what changed the connection since its node was started.

    The numbers of connections begin again with each process. The clocks of the
    request's node and of its gateway may differ.
    """
    connection = own.name_of('connection')
    node = connection.rpartition('/')[0]
    history = [
        each
        for each in events
        if each.time - own.time <= around
        and (_is_start(each, node) or _changes_names(each, connection))
    ]
    starts = [
        number
        for number, each in enumerate(history, start=1)
        if _is_start(each, node)
    ]
    return history[max(starts, default=0) :]


def _select(
    own: LoggedEvent, history: Sequence[LoggedEvent], around: timedelta
) -> Iterator[LoggedEvent]:
    earlier = [each for each in history if own.time - each.time > around]
    name = own.name_of('pooled_name')
    found = [
        number
        for number, each in enumerate(earlier)
        if name and _puts_name(each, name)
    ]
    for number in found[-1:]:
        yield earlier[number]
        resets = [
            each for each in earlier[number:] if each.event == _RESET_EVENT
        ]
        yield from resets[-1:]
    yield from history[len(earlier) :]


def _is_start(event: LoggedEvent, node: str) -> bool:
    return event.event == _STARTED_EVENT and event.node == node


def _changes_names(event: LoggedEvent, connection: str) -> bool:
    if event.event not in {_PREPARED_EVENT, _RESET_EVENT}:
        return False
    return event.name_of('connection') == connection


def _puts_name(event: LoggedEvent, name: str) -> bool:
    is_preparation = event.event == _PREPARED_EVENT
    return is_preparation and event.name_of('pooled_name') == name
