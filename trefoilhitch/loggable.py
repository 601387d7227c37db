"""Converts what others wrote to values that every log line can hold."""

from collections.abc import Mapping
from typing import Any

from msgspec import Struct
from msgspec.structs import asdict

MAX_LOGGED_ITEMS = 100
MAX_LOGGED_CHARS = 10000
MAX_LOGGED_LEVELS = 6
_MAX_LOGGED_BITS = 63
# Length of a text of which a line of the log shows only the beginning.
MAX_SHOWN_CHARS = 80


def make_loggable(logged: Any, levels: int = MAX_LOGGED_LEVELS) -> Any:
    """Convert fields of a log record that cannot be encoded as they are.

    Args:
        logged: the fields, or one of them.
        levels: how many levels of nested values are kept.

    Returns:
        Text, numbers, lists and mappings that can be encoded as JSON.

    """
    if isinstance(logged, Struct) and levels:
        return make_loggable(asdict(logged), levels)
    if isinstance(logged, Mapping) and levels:
        return _convert_mapping(logged, levels - 1)
    if isinstance(logged, list | tuple | set | frozenset) and levels:
        kept = list(logged)[:MAX_LOGGED_ITEMS]
        return [make_loggable(each, levels - 1) for each in kept]
    return _convert_scalar(logged)


def shorten(text: str) -> str:
    """Shorten a text that others chose.

    Args:
        text: the text, of any length.

    Returns:
        The text, or its beginning and its length.

    """
    if len(text) <= MAX_SHOWN_CHARS:
        return text
    return f'{text[:MAX_SHOWN_CHARS]}... ({len(text)} characters)'


def _convert_scalar(logged: Any) -> Any:
    if isinstance(logged, str):
        return _escape(logged)
    if isinstance(logged, int):
        return logged if _is_small(logged) else hex(logged)[:MAX_LOGGED_CHARS]
    if logged is None or isinstance(logged, float):
        return logged
    return type(logged).__name__


def _convert_mapping(fields: Mapping[Any, Any], levels: int) -> dict[str, Any]:
    kept = list(fields.items())[:MAX_LOGGED_ITEMS]
    return {
        str(make_loggable(name, 0)): make_loggable(logged, levels)
        for name, logged in kept
    }


def _escape(text: str) -> str:
    shown = text[:MAX_LOGGED_CHARS]
    return shown.encode('utf-8', 'backslashreplace').decode()


def _is_small(number: int) -> bool:
    return number.bit_length() <= _MAX_LOGGED_BITS
