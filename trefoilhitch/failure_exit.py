"""Exits a command-line program with a message on standard error."""

import sys

import cappa

from trefoilhitch.exit_code import ExitCode


def failure_exit(message: str, code: ExitCode) -> cappa.Exit:
    """Print a message to standard error and return the exception that exits.

    Args:
        message: one line or more.
        code: exit code.

    Returns:
        The exception to raise.

    """
    sys.stderr.write(f'{message}\n')
    return cappa.Exit(code=code)
