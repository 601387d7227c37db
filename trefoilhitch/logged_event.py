"""One line of a node's log."""

from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any

from msgspec import Struct

from trefoilhitch.json_decoding import UnreadableJsonError, decode_json
from trefoilhitch.terminal_text import quoted


class _LogLine(Struct):
    time: str
    node: str
    event: str
    record: dict[str, Any] = {}


@dataclass(frozen=True, slots=True)
class LoggedEvent:
    """One line of a node's log.

    Args:
        time: time by the node's clock.
        node: name of the node.
        event: name of the event.
        fields: fields of the event.

    """

    time: datetime
    node: str
    event: str
    fields: dict[str, Any]

    @classmethod
    def from_line(cls, line: str) -> 'LoggedEvent | None':
        """Parse a line of a log.

        Args:
            line: the line; text before its JSON object is ignored.

        Returns:
            The event, None if the line is not from a node's log.

        """
        _, brace, rest = line.partition('{')
        try:
            parsed = decode_json(f'{brace}{rest}', _LogLine)
            time = _parse_time(parsed.time)
        except (UnreadableJsonError, ValueError, OverflowError):
            return None
        return cls(time, parsed.node, parsed.event, parsed.record)

    def name_of(self, field: str) -> str:
        """Return the name in a field; empty if there is none.

        Args:
            field: name of the field.

        Returns:
            The name.

        """
        name = self.fields.get(field)
        return name if isinstance(name, str) else ''

    def render(self) -> str:
        """Format the event as one line of text."""
        head = f'{self.time.isoformat()} {self.node} {self.event}'
        pairs = [
            f'{name}={_show(logged)}' for name, logged in self.fields.items()
        ]
        return ' '.join((head, *pairs))


def _show(logged: Any) -> str:
    return quoted(logged) if isinstance(logged, str) else str(logged)


def _parse_time(text: str) -> datetime:
    """Parse a time; the logs hold only UTC, with or without an offset."""
    time = datetime.fromisoformat(text)
    return time.astimezone(UTC).replace(tzinfo=None) if time.tzinfo else time
