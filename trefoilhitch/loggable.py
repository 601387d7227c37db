"""Converts what others wrote to values that every log line can hold."""

import re
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
_DELETE = b'\x7f'
# Control characters above 126, ends of lines and paragraphs, and marks that
# change the direction of text (Unicode Standard Annex 9).
_UNSAFE = re.compile('[\x7f-\x9f\u061c\u200e\u200f\u2028-\u202e\u2066-\u2069]')


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


def shorten(text: str, max_chars: int = MAX_SHOWN_CHARS) -> str:
    """Shorten a text that others chose.

    Args:
        text: the text, of any length.
        max_chars: length up to which it is not shortened.

    Returns:
        The text, or its beginning and its length.

    """
    if len(text) <= max_chars:
        return text
    return f'{text[:max_chars]}... ({len(text)} characters)'


def escape_in_json(line: bytes) -> bytes:
    r"""Escape what a terminal or a reader of lines would not show as text.

    Args:
        line: JSON; its encoder has escaped the control characters below 32.

    Returns:
        JSON of the same content, with the other control characters, ends of
        lines and marks of direction as `\uXXXX`.

    """
    if line.isascii() and _DELETE not in line:
        return line
    escaped = _UNSAFE.sub(
        lambda found: rf'\u{ord(found[0]):04x}', line.decode()
    )
    return escaped.encode()


def shorten_texts(logged: Any, max_chars: int) -> Any:
    """Shorten all texts in fields that were decoded from JSON.

    Args:
        logged: the fields, or one of them.
        max_chars: length up to which a text is not shortened.

    Returns:
        The same with short texts.

    """
    if isinstance(logged, str):
        return shorten(logged, max_chars)
    if isinstance(logged, list):
        return [shorten_texts(each, max_chars) for each in logged]
    if isinstance(logged, dict):
        return {
            shorten(name, max_chars): shorten_texts(each, max_chars)
            for name, each in logged.items()
        }
    return logged


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
