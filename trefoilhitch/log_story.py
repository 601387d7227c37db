"""What the nodes' logs tell of one request, and of what decided it."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

from msgspec import DecodeError, Struct
from msgspec.json import decode

# Events of a node that touch every request which it serves.
_OF_THE_NODE = frozenset(
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
_IN_FORCE = 'declaration_in_force'


class _Line(Struct):
    time: str
    node: str
    event: str
    record: dict[str, Any] = {}


@dataclass(frozen=True, slots=True)
class LoggedEvent:
    """One line of a node's log.

    Args:
        time: when, by the node's clock.
        node: which node.
        event: what happened.
        fields: with what.

    """

    time: datetime
    node: str
    event: str
    fields: dict[str, Any]

    @classmethod
    def from_line(cls, line: str) -> 'LoggedEvent | None':
        """Read a line of a log.

        Args:
            line: the line; what stands in front of its JSON is ignored.

        Returns:
            The event, None if the line is none of a node.

        """
        _, brace, rest = line.partition('{')
        try:
            found = decode(f'{brace}{rest}', type=_Line)
            time = datetime.fromisoformat(found.time)
        except (DecodeError, ValueError):
            return None
        return cls(time, found.node, found.event, found.record)

    def render(self) -> str:
        """Return the event as one line for a reader."""
        head = f'{self.time.isoformat()} {self.node} {self.event}'
        texts = [f'{name}={text}' for name, text in self.fields.items()]
        return ' '.join((head, *texts))


def read_events(lines: Iterable[str]) -> Iterator[LoggedEvent]:
    """Read logs.

    Args:
        lines: lines of any number of nodes, in any order.

    Yields:
        The events among them.

    """
    for line in lines:
        event = LoggedEvent.from_line(line)
        if event is not None:
            yield event


def tell_story(
    events: Iterable[LoggedEvent], request: str, around: timedelta
) -> list[LoggedEvent]:
    """Collect what decided a request.

    Args:
        events: events of all nodes.
        request: the request's id.
        around: how long before and after the request to look.

    Returns:
        The request's own events, those of its endpoints, services and nodes
        in that time, and the declaration that was in force, by time; nothing
        if the request is not in the logs.

    """
    known = sorted(events, key=lambda event: event.time)
    own = [each for each in known if each.fields.get('request') == request]
    if not own:
        return []
    began = own[0].time - around
    ended = own[-1].time + around
    near = [each for each in known if began <= each.time <= ended]
    matters = _matters(own, known)
    told = [each for each in near if _concerns(each, matters)]
    in_force = _in_force(own[0], known)
    return [*in_force, *(each for each in told if each not in in_force)]


@dataclass(frozen=True, slots=True)
class _Matters:
    request: str
    nodes: frozenset[str]
    endpoints: frozenset[str]
    services: frozenset[str]


def _matters(own: list[LoggedEvent], known: list[LoggedEvent]) -> _Matters:
    endpoints = {
        str(each.fields['endpoint'])
        for each in own
        if each.fields.get('endpoint')
    }
    services = {
        each.fields['service']
        for each in known
        if each.fields.get('endpoint') in endpoints and 'service' in each.fields
    }
    return _Matters(
        own[0].fields['request'],
        frozenset(each.node for each in own),
        frozenset(endpoints),
        frozenset(services),
    )


def _concerns(event: LoggedEvent, matters: _Matters) -> bool:
    request = event.fields.get('request')
    if request is not None:
        return bool(request == matters.request)
    if event.event in _OF_THE_NODE:
        return event.node in matters.nodes
    return (
        event.fields.get('endpoint') in matters.endpoints
        or event.fields.get('service') in matters.services
    )


def _in_force(
    first: LoggedEvent, known: list[LoggedEvent]
) -> list[LoggedEvent]:
    """Return the last declaration that the node put in force before."""
    before = [
        each
        for each in known
        if each.event == _IN_FORCE
        and each.node == first.node
        and each.time <= first.time
    ]
    return before[-1:]
