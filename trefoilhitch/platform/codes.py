"""Codes of the wire protocol for states, refusals and log positions."""

from types import MappingProxyType

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.decimal_text import parse_decimal
from trefoilhitch.platform.line_buffer import MAX_SHOWN_CHARS, WireError
from trefoilhitch.pooler.response import Refusal, SessionState

CODE_BY_REFUSAL = MappingProxyType(
    {
        Refusal.BUSY: 'BUSY',
        Refusal.ABORTED: 'ABORTED',
        Refusal.TOO_OLD: 'LAGGING',
        Refusal.NOT_PRIMARY: 'READONLY',
        Refusal.WRONG_ENDPOINT: 'WRONGNODE',
        Refusal.CONNECTION_LIMIT: 'CONNLIMIT',
        Refusal.OUTCOME_UNKNOWN: 'INDOUBT',
        Refusal.TIMEOUT: 'TIMEOUT',
        Refusal.FAILED: 'FAILED',
        Refusal.UNKNOWN_DATABASE: 'NODB',
        Refusal.UNAUTHORISED: 'AUTHFAIL',
        Refusal.UNKNOWN_STATEMENT: 'NOSTMT',
        Refusal.MALFORMED: 'MALFORMED',
    },
)
REFUSAL_BY_CODE = MappingProxyType(
    {code: refusal for refusal, code in CODE_BY_REFUSAL.items()},
)
# The codes that an endpoint may answer a statement with; others, such as those
# of START, prove nothing about the statement.
STATEMENT_REFUSALS = frozenset(
    (
        Refusal.BUSY,
        Refusal.TOO_OLD,
        Refusal.NOT_PRIMARY,
        Refusal.UNKNOWN_STATEMENT,
        Refusal.OUTCOME_UNKNOWN,
        Refusal.TIMEOUT,
        Refusal.FAILED,
        Refusal.MALFORMED,
    ),
)
LETTER_BY_STATE = MappingProxyType(
    {
        SessionState.IDLE: 'I',
        SessionState.TRANSACTION: 'T',
        SessionState.FAILED: 'E',
    },
)
STATE_BY_LETTER = MappingProxyType(
    {letter: state for state, letter in LETTER_BY_STATE.items()},
)
NO_POSITION = '-'


def encode_position(position: LogPosition | None) -> str:
    """Encode a log position.

    Args:
        position: the position, None if there is none.

    Returns:
        `TERM.NUMBER` or `-`.

    """
    if position is None:
        return NO_POSITION
    return f'{position.term}.{position.position}'


def decode_position(text: str) -> LogPosition | None:
    """Decode a log position.

    Args:
        text: `TERM.NUMBER` or `-`.

    Returns:
        The position, None for `-`.

    Raises:
        WireError: text is neither.

    """
    if text == NO_POSITION:
        return None
    term_text, _, number_text = text.partition('.')
    term = parse_decimal(term_text)
    number = parse_decimal(number_text)
    if term is None or number is None:
        raise WireError(f'not a position: {text[:MAX_SHOWN_CHARS]}')
    return LogPosition(term=term, position=number)
