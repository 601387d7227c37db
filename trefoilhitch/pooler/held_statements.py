"""Names of the statements that are prepared on one pooled connection."""

from collections import OrderedDict
from collections.abc import Iterable

from trefoilhitch.pooler.statement import PreparedStatement

# An endpoint keeps what is prepared until the connection ends or is reset.
MAX_HELD_STATEMENTS = 128
MAX_HELD_CHARS = 4194304


class HeldStatements:
    """Statements that an endpoint holds for a connection, least used first."""

    def __init__(self) -> None:
        """Start without statements."""
        self._chars_by_name: OrderedDict[str, int] = OrderedDict()

    def __contains__(self, name: str) -> bool:
        """Return whether the endpoint holds a statement of this name."""
        return name in self._chars_by_name

    def __len__(self) -> int:
        """Return the number of statements."""
        return len(self._chars_by_name)

    @property
    def chars(self) -> int:
        """Length of the statements together."""
        return sum(self._chars_by_name.values())

    def mark_used(self, name: str) -> None:
        """Record that a statement was used.

        Args:
            name: its pooled name.

        """
        if name in self._chars_by_name:
            self._chars_by_name.move_to_end(name)

    def add(self, prepared: PreparedStatement) -> None:
        """Record that the endpoint has prepared a statement.

        Args:
            prepared: the statement.

        """
        self._chars_by_name[prepared.pooled_name] = len(prepared.body)

    def discard(self, name: str) -> None:
        """Record that the endpoint does not hold a statement any more.

        Args:
            name: its pooled name.

        """
        self._chars_by_name.pop(name, None)

    def clear(self) -> None:
        """Record that the endpoint holds none any more."""
        self._chars_by_name.clear()

    def names_in_excess(self, prepared: PreparedStatement) -> tuple[str, ...]:
        """Return what has to be released before another one is prepared.

        Args:
            prepared: the statement that is about to be prepared.

        Returns:
            Names of the least recently used statements, so that the others
            stay within the limits together with the new one.

        """
        return tuple(self._excess(len(prepared.body)))

    def _excess(self, added_chars: int) -> Iterable[str]:
        count = len(self._chars_by_name) + 1
        total_chars = self.chars + added_chars
        for name, held_chars in self._chars_by_name.items():
            if count <= MAX_HELD_STATEMENTS and total_chars <= MAX_HELD_CHARS:
                return
            yield name
            count -= 1
            total_chars -= held_chars
