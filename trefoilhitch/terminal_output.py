"""Prints lines for people, and messages as JSON also for programs."""

from typing import Any

from msgspec import Struct
from msgspec import to_builtins as as_builtins
from msgspec.json import encode
from msgspec.json import format as format_json

from trefoilhitch.loggable import escape_in_json
from trefoilhitch.terminal_text import printable


def print_json(message: Struct | dict[str, Any]) -> None:
    """Print a message as one indented JSON object.

    Args:
        message: the message.

    """
    line = encode(as_builtins(message))
    print(escape_in_json(format_json(line)).decode())


def print_line(text: str) -> None:
    """Print one line.

    Args:
        text: the line, without its end.

    """
    print(printable(text))
