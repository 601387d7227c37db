"""Exit codes of the command-line tool."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Outcome of a command."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3
