"""Grammar of the messages that endpoints receive, for the emulator.

A line consists of the word followed by the fields, separated by blanks; the
last field extends to the end of the line. It is read here from that sentence
alone, apart from the product's codec, so that a wrong reading there shows.
"""

from dataclasses import dataclass
from types import MappingProxyType

from trefoilhitch_lab.wire_log import decode_position

MAX_MESSAGE_BYTES = 1048576
LINE_END_BYTES = 2
BLANK = ' '
_QUERY_FIELDS = 3
_MIN_START_FIELDS = 3
_MAX_START_FIELDS = 4
_MINLSN = 'MINLSN '
# Statements that may be preceded by a minimum position.
_MINIMUM_VERBS = frozenset(('READ', 'BEGIN', 'EXECUTE'))
_ACCESS_WORDS = frozenset(('READ', 'WRITE'))
# Fewest and most fields after each verb.
_FIELD_COUNTS = MappingProxyType(
    {
        'BEGIN': (0, 1),
        'COMMIT': (0, 0),
        'ROLLBACK': (0, 0),
        'READ': (1, 1),
        'WRITE': (2, 2),
        'SET': (2, 2),
        'PREPARE': (3, 3),
        'EXECUTE': (2, 3),
        'DEALLOC': (1, 1),
        'RESET': (0, 0),
        'STATUS': (0, 0),
        'PAUSE': (1, 1),
        'RESUME': (0, 0),
        'STEPDOWN': (1, 1),
    }
)


class MalformedError(Exception):
    """A line is not a message of the wire protocol."""


@dataclass(frozen=True, slots=True)
class Request:
    """A statement as an endpoint reads it.

    Args:
        request_id: id of the request.
        verb: first word of the text.
        text: the text without the minimum position.
        fields: fields after the verb.
        minimum: position that the log has to hold, None for any.

    """

    request_id: str
    verb: str
    text: str
    fields: tuple[str, ...]
    minimum: tuple[int, int] | None = None


def is_too_long(line: str | bytes) -> bool:
    """Return whether a message is longer than the protocol allows.

    Args:
        line: the message without its line end, one character for each byte.

    """
    return len(line) + LINE_END_BYTES > MAX_MESSAGE_BYTES


def parse_start(line: str) -> tuple[str, ...]:
    """Parse the message that opens a connection.

    Args:
        line: the message.

    Returns:
        The service, the organisation and the expected id; the id is empty if
        none is expected.

    Raises:
        MalformedError: line is not a START message.

    """
    fields = line.split(BLANK, _MAX_START_FIELDS - 1)
    _check_size(line)
    _check_filled(fields)
    if fields[0] != 'START' or len(fields) < _MIN_START_FIELDS:
        raise MalformedError('expected START')
    expected_id = fields[3] if len(fields) == _MAX_START_FIELDS else ''
    return fields[1], fields[2], expected_id


def parse_request(line: str) -> Request:
    """Parse a statement.

    Args:
        line: the message.

    Returns:
        The statement.

    Raises:
        MalformedError: line is not a statement.

    """
    _check_size(line)
    message = line.split(BLANK, _QUERY_FIELDS - 1)
    _check_filled(message)
    if len(message) < _QUERY_FIELDS or message[0] != 'QUERY':
        raise MalformedError('expected QUERY')
    _, request_id, text = message
    minimum = None
    if text.startswith(_MINLSN):
        minimum, text = _split_minimum(text.removeprefix(_MINLSN))
    verb, fields = _split_text(text)
    _check_fields(verb, fields)
    if minimum is not None and verb not in _MINIMUM_VERBS:
        raise MalformedError('minimum position before another statement')
    return Request(request_id, verb, text, fields, minimum)


def _split_minimum(rest: str) -> tuple[tuple[int, int], str]:
    position, _, text = rest.partition(BLANK)
    try:
        return decode_position(position), text
    except ValueError as exc:
        raise MalformedError('not a position') from exc


def _split_text(text: str) -> tuple[str, tuple[str, ...]]:
    verb, blank, rest = text.partition(BLANK)
    if verb not in _FIELD_COUNTS:
        raise MalformedError('unknown statement')
    fewest, most = _FIELD_COUNTS[verb]
    most_splits = max(0, most - 1)
    fields = rest.split(BLANK, most_splits) if blank else []
    if not fewest <= len(fields) <= most:
        raise MalformedError('wrong number of fields')
    return verb, tuple(fields)


def _check_fields(verb: str, fields: tuple[str, ...]) -> None:
    _check_filled(fields)
    match verb:
        case 'BEGIN':
            valid = fields in {(), ('READ',)}
        case 'PREPARE':
            valid = fields[1] in _ACCESS_WORDS
        case 'PAUSE' | 'STEPDOWN':
            valid = fields[0].isdecimal()
        case _:
            valid = True
    if not valid:
        raise MalformedError(f'not a field of {verb}')


def _check_size(line: str) -> None:
    if is_too_long(line):
        raise MalformedError('message too long')


def _check_filled(fields: list[str] | tuple[str, ...]) -> None:
    """Refuse an empty field before the last one."""
    if not all(fields[:-1]):
        raise MalformedError('empty field')
