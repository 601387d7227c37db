"""Limits how much text the state of sessions may hold."""

from dataclasses import dataclass, field

from trefoilhitch.pooler.response import Refusal

# Variables and prepared statements of one session together.
MAX_STATE_CHARS = 8388608
# Those of all sessions of a node, so that clients cannot use up the memory of
# an entry VM.
MAX_NODE_CHARS = 33554432
# Part of each session that does not count for the node, so that sessions of
# usual size are served whatever others hold.
FREE_CHARS = 16384
# Variables of one session. They are sent to an endpoint at once, and their
# responses have to fit in the buffers of a connection meanwhile.
MAX_VARIABLES = 256
# What each variable or prepared statement adds to its text.
ENTRY_CHARS = 256


@dataclass(slots=True)
class NodeLimit:
    """Counts the text that the sessions of a node hold.

    Args:
        chars: characters that are held, without the free part of each session.

    """

    chars: int = 0

    def change(self, before: int, after: int) -> bool:
        """Count another size of a session.

        Args:
            before: characters that the session held.
            after: characters that it will hold.

        Returns:
            False if all sessions together would hold too many; the count then
            stays as it was.

        """
        added = _shared_chars(after) - _shared_chars(before)
        if added > 0 and self.chars + added > MAX_NODE_CHARS:
            return False
        self.chars += added
        return True


@dataclass(slots=True)
class SessionLimit:
    """Counts the text that the state of a session holds.

    Args:
        node: counts the text of all sessions.
        chars: characters that this one holds.

    """

    node: NodeLimit = field(default_factory=NodeLimit)
    chars: int = 0

    def reserve(
        self, name: str, text: str, replaced: str | None
    ) -> Refusal | None:
        """Reserve room for an entry.

        Args:
            name: name of the entry.
            text: its text.
            replaced: text of the entry that has this name now, None if there
                is none.

        Returns:
            None if there is room, else why nothing is reserved: MALFORMED if
            the session alone is too large, BUSY if the node has no room now.

        """
        chars = self.chars + _entry_chars(name, text)
        if replaced is not None:
            chars -= _entry_chars(name, replaced)
        if chars > MAX_STATE_CHARS:
            return Refusal.MALFORMED
        if not self.node.change(self.chars, chars):
            return Refusal.BUSY
        self.chars = chars
        return None

    def release(self, name: str, text: str) -> None:
        """Give back the room of an entry that was removed.

        Args:
            name: name of the entry.
            text: its text.

        """
        chars = self.chars - _entry_chars(name, text)
        self.node.change(self.chars, chars)
        self.chars = chars

    def release_all(self) -> None:
        """Give back the room of a session that has ended."""
        self.node.change(self.chars, 0)
        self.chars = 0


def _shared_chars(chars: int) -> int:
    return max(0, chars - FREE_CHARS)


def _entry_chars(name: str, text: str) -> int:
    return ENTRY_CHARS + len(name) + len(text)
