"""Exits a command-line program with a message on standard error."""

import sys

import cappa

from trefoilhitch.exit_code import ExitCode
from trefoilhitch.terminal_text import printable


def failure_exit(message: str, code: ExitCode) -> cappa.Exit:
    """Print a message to standard error and return the exception that exits.

    Args:
        message: one line or more, of this process.
        code: exit code.

    Returns:
        The exception to raise.

    """
    for line in message.split('\n'):
        sys.stderr.write(f'{printable(line)}\n')
    return cappa.Exit(code=code)


def one_line_exit(message: str, code: ExitCode) -> cappa.Exit:
    """Do the same as `failure_exit` with what another process may have worded.

    Args:
        message: text that is printed as one line.
        code: exit code.

    Returns:
        The exception to raise.

    """
    return failure_exit(printable(message), code)
