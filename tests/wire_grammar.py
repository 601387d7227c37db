"""Grammar of the wire protocol, read by itself for independent checks.

Fields are separated by single blanks (20), and the last one extends to the end
of the line. Nothing here is shared with the product or with the stand-in.
"""

import re
from dataclasses import dataclass

BLANK = b' '
LINE_END_BYTES = 2
MAX_LINE_BYTES = 1048576
# Number of fields after the verb; the last one extends to the end.
FIELD_COUNTS = {
    b'READ': 1,
    b'WRITE': 2,
    b'SET': 2,
    b'PREPARE': 3,
    b'EXECUTE': 2,
    b'DEALLOC': 1,
}
WHOLE_TEXTS = frozenset((b'BEGIN', b'BEGIN READ', b'COMMIT', b'ROLLBACK'))
ACCESSES = frozenset((b'READ', b'WRITE'))
# Verbs whose last field may be empty: data and values.
_VERBS_WITH_DATA = frozenset((b'WRITE', b'SET'))
_MINIMUM = re.compile(rb'MINLSN [0-9]+\.[0-9]+ ')


@dataclass(frozen=True, slots=True)
class Query:
    """A line that carries a statement.

    Args:
        request_id: id of the statement.
        text: its text, with a MINLSN prefix if it has one.

    """

    request_id: bytes
    text: bytes

    @property
    def verb(self) -> bytes:
        """First word of the text."""
        return self.text.partition(BLANK)[0]

    @property
    def fields(self) -> list[bytes]:
        """Fields after the verb."""
        return self.text.split(BLANK, FIELD_COUNTS.get(self.verb, -1))[1:]

    @property
    def padded(self) -> list[bytes]:
        """Fields after the verb; those that are missing are empty."""
        fields = self.fields
        missing = range(len(fields), FIELD_COUNTS.get(self.verb, 0))
        return [*fields, *(b'' for _ in missing)]


def parse_query(line: bytes) -> Query | None:
    """Parse a line.

    Args:
        line: the line without its line end.

    Returns:
        The statement; None if the line carries none.

    """
    fields = line.split(BLANK, 2)
    if len(fields) < 3 or fields[0] != b'QUERY':
        return None
    return Query(fields[1], fields[2])


def without_minimum(query: Query) -> Query:
    """Return a statement without its MINLSN prefix."""
    found = _MINIMUM.match(query.text)
    text = query.text[found.end() :] if found else query.text
    return Query(query.request_id, text)


def is_well_formed(line: bytes) -> bool:
    """Return whether clients may send a line.

    A line with an empty field is not counted as well-formed, except for empty
    data and values.
    """
    if len(line) + LINE_END_BYTES > MAX_LINE_BYTES:
        return False
    query = parse_query(line)
    if query is None or query.request_id in {b'', b'-'}:
        return False
    if query.verb not in FIELD_COUNTS:
        return query.text in WHOLE_TEXTS
    fields = query.fields
    if len(fields) < FIELD_COUNTS[query.verb]:
        return False
    return _are_well_formed(query.verb, fields)


def _are_well_formed(verb: bytes, fields: list[bytes]) -> bool:
    if verb == b'PREPARE' and fields[1] not in ACCESSES:
        return False
    if verb == b'EXECUTE':
        # The item and the data, which may be empty.
        fields = [*fields[:-1], fields[-1].partition(BLANK)[0]]
    required = fields[:-1] if verb in _VERBS_WITH_DATA else fields
    return all(required)
