"""Converts names between JSON documents and the wire protocol.

The wire's text is handled as Latin-1, one character for each byte, so that it
is forwarded with the same bytes. Names that documents declare are UTF-8 there.
"""

from trefoilhitch.platform.line_buffer import WireError

_SEPARATORS = frozenset(' \r\n')


def encode_name(name: str) -> str:
    """Encode a declared name.

    Args:
        name: the name as a JSON document spells it.

    Returns:
        Its text on the wire.

    Raises:
        WireError: the name is not valid Unicode.

    """
    try:
        return name.encode().decode('latin-1')
    except UnicodeEncodeError as exc:
        raise WireError('a name that is not valid Unicode') from exc


def fits_one_field(name: str) -> bool:
    """Return whether a message can carry a name before its last field.

    Args:
        name: the name as a JSON document spells it.

    Returns:
        False if it is empty, or contains a blank or a line end.

    """
    return bool(name) and not _SEPARATORS.intersection(name)


def decode_name(text: str) -> str:
    """Decode a name that the wire carries.

    Args:
        text: text of the wire.

    Returns:
        The name; one that is not UTF-8 equals no declared name.

    """
    return text.encode('latin-1').decode('utf-8', 'surrogateescape')
