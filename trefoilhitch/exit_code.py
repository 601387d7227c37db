"""Exit codes of the command-line tool."""

from enum import IntEnum


class ExitCode(IntEnum):
    """What an exit code says."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNKNOWN = 3
