"""Decodes JSON that another process wrote; every failure has one type."""

from typing import TypeVar

from msgspec import MsgspecError, Raw
from msgspec.json import decode

from trefoilhitch.errors import TrefoilhitchError

DecodedT = TypeVar('DecodedT')


class UnreadableJsonError(TrefoilhitchError):
    """The document is malformed, too deeply nested, or of another type."""


def decode_json(
    document: bytes | bytearray | str | Raw, json_type: type[DecodedT]
) -> DecodedT:
    """Decode a document and check it against a type.

    Args:
        document: JSON.
        json_type: type of the result.

    Returns:
        The decoded document.

    Raises:
        UnreadableJsonError: the document cannot be decoded as this type.

    """
    try:
        return decode(document, type=json_type)
    except (MsgspecError, UnicodeError, RecursionError) as exc:
        raise UnreadableJsonError(str(exc)) from exc
