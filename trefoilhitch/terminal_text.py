"""Text of others in a form that a terminal shows as text."""

import re

# Control characters, ends of lines and paragraphs, marks that change the
# direction of text (Unicode Standard Annex 9), and halves of characters.
_UNSAFE = re.compile(
    r'[\x00-\x1f\x7f-\x9f\u061c\u200e\u200f\u2028-\u202e\u2066-\u2069'
    r'\ud800-\udfff]'
)
_PLAIN = re.compile(r'[^\s"\\=]*')


def printable(text: str) -> str:
    r"""Escape what is not shown as text, also line ends.

    Args:
        text: text that others may have chosen.

    Returns:
        One line, with `\n`, `\x1b` or `\u2028` in place of such characters.

    """
    return _UNSAFE.sub(_escape, text)


def quoted(text: str) -> str:
    """Return a text as one field of a line with several.

    Args:
        text: text that others may have chosen.

    Returns:
        The text, in double quotes if it could be taken for several fields.

    """
    if _PLAIN.fullmatch(text):
        return printable(text)
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    return f'"{printable(escaped)}"'


def _escape(found: re.Match[str]) -> str:
    return found[0].encode('unicode_escape').decode()
