"""Splits a JSON document into its members without decoding them.

A document that cannot be decoded as a whole, because one member is too deeply
nested or malformed, is split so that the other members can still be decoded.
Nesting costs no recursion. The members themselves are not checked.
"""

import re
from collections.abc import Iterator

from trefoilhitch.json_decoding import UnreadableJsonError, decode_json

# A string, a bracket, or an outer comma. A quotation mark on its own begins a
# string that does not end.
_OUTER = re.compile(rb'"(?:[^"\\]|\\.)*+"|["\[\]{},]', re.DOTALL)
# Deeper, only the depth counts: runs of brackets are one token.
_INNER = re.compile(rb'"(?:[^"\\]|\\.)*+"|"|[\[{]++|[\]}]++', re.DOTALL)
_KEY = re.compile(rb'\s*("(?:[^"\\]|\\.)*+")\s*:', re.DOTALL)
_QUOTATION_MARK = b'"'
_OPENING = frozenset((b'[', b'{'))
_CLOSING = frozenset((b']', b'}'))


def split_array(document: bytes) -> list[bytes]:
    """Split an array into its elements.

    Args:
        document: JSON.

    Returns:
        The text of each element.

    Raises:
        UnreadableJsonError: the document is not an array, or its brackets or
            quotation marks are not balanced.

    """
    return list(_split(document, b'['))


def split_object(document: bytes) -> dict[str, bytes]:
    """Split an object into its members; the last of equal names counts.

    Args:
        document: JSON.

    Returns:
        The text of each member by name; members without a readable name are
        left out.

    Raises:
        UnreadableJsonError: the document is not an object, or its brackets or
            quotation marks are not balanced.

    """
    members: dict[str, bytes] = {}
    for member in _split(document, b'{'):
        name = _read_name(member)
        if name is not None:
            members[name[0]] = member[name[1] :]
    return members


def _read_name(member: bytes) -> tuple[str, int] | None:
    """Return the name of a member, and where its value begins."""
    key = _KEY.match(member)
    if key is None:
        return None
    try:
        return decode_json(key[1], str), key.end()
    except UnreadableJsonError:
        return None


def _split(document: bytes, opening: bytes) -> Iterator[bytes]:
    text = document.strip()
    if not text.startswith(opening):
        raise UnreadableJsonError(f'expected {opening.decode()}')
    begin = 1
    for end in _separators(text):
        member = text[begin:end]
        if member.strip():
            yield member
        begin = end + 1
    if begin != len(text):
        raise UnreadableJsonError('text after the end of the document')


def _separators(text: bytes) -> Iterator[int]:
    """Yield the positions of the outer commas and of the last bracket."""
    depth = 1
    position = 1
    while True:
        token = _next_token(text, position, depth)
        if token[0] == b',':
            yield token.start()
        rise = _rise(token[0])
        if depth + rise < 1:
            # In a run of closing brackets, some may follow the last one.
            yield token.start() + depth - 1
            return
        depth += rise
        position = token.end()


def _next_token(text: bytes, position: int, depth: int) -> re.Match[bytes]:
    token = (_OUTER if depth == 1 else _INNER).search(text, position)
    if token is None or token[0] == _QUOTATION_MARK:
        raise UnreadableJsonError('brackets or quotes are not balanced')
    return token


def _rise(token: bytes) -> int:
    """Return by how much a token changes the depth."""
    if token[:1] in _OPENING:
        return len(token)
    return -len(token) if token[:1] in _CLOSING else 0
