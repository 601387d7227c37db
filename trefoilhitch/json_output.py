"""Prints messages as JSON for people and programs."""

from typing import Any

from msgspec import Struct
from msgspec import to_builtins as as_builtins
from msgspec.json import encode
from msgspec.json import format as format_json


def print_json(message: Struct | dict[str, Any]) -> None:
    """Print a message as one indented JSON object.

    Args:
        message: the message.

    """
    line = encode(as_builtins(message))
    print(format_json(line).decode())
