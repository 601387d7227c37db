"""Limits how much text the state of one session may hold."""

from dataclasses import dataclass

# Variables and prepared statements of one session together, so that a client
# cannot use up the memory of an entry VM.
MAX_STATE_CHARS = 8388608
# What each variable or prepared statement adds to its text.
ENTRY_CHARS = 256


@dataclass(slots=True)
class SessionLimit:
    """Counts the text that the state of a session holds.

    Args:
        chars: characters that are held.

    """

    chars: int = 0

    def reserve(self, name: str, text: str, replaced: str | None) -> bool:
        """Reserve room for an entry.

        Args:
            name: name of the entry.
            text: its text.
            replaced: text of the entry that has this name now, None if there
                is none.

        Returns:
            False if the state would become too large; nothing is reserved.

        """
        chars = self.chars + _entry_chars(name, text)
        if replaced is not None:
            chars -= _entry_chars(name, replaced)
        if chars > MAX_STATE_CHARS:
            return False
        self.chars = chars
        return True

    def release(self, name: str, text: str) -> None:
        """Give back the room of an entry that was removed.

        Args:
            name: name of the entry.
            text: its text.

        """
        self.chars -= _entry_chars(name, text)


def _entry_chars(name: str, text: str) -> int:
    return ENTRY_CHARS + len(name) + len(text)
