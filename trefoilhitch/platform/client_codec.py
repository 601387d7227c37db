"""Client side of the wire protocol: decode statements, encode responses."""

from types import MappingProxyType
from typing import Final

from trefoilhitch.loggable import shorten
from trefoilhitch.platform.codes import (
    CODE_BY_REFUSAL,
    LETTER_BY_STATE,
    encode_position,
)
from trefoilhitch.platform.line_buffer import WireError, encode_line
from trefoilhitch.platform.wire_names import decode_name
from trefoilhitch.pooler.response import (
    Refusal,
    Response,
    SessionState,
    refusal_response,
)
from trefoilhitch.pooler.statement import (
    Access,
    PreparedStatement,
    SessionStart,
    Statement,
    Verb,
)

TERMINATE: Final = 'TERMINATE'
_VERB_BY_WORD = MappingProxyType(
    {
        'BEGIN': Verb.BEGIN,
        'COMMIT': Verb.COMMIT,
        'ROLLBACK': Verb.ROLLBACK,
        'READ': Verb.READ,
        'WRITE': Verb.WRITE,
        'SET': Verb.SET,
        'PREPARE': Verb.PREPARE,
        'EXECUTE': Verb.EXECUTE,
        'DEALLOC': Verb.DEALLOCATE,
    },
)
# Number of fields after the verb; the last one extends to the end of the text.
# EXECUTE has a name, and the item and data, which only the endpoint divides.
_FIELDS = MappingProxyType(
    {
        Verb.READ: 1,
        Verb.WRITE: 2,
        Verb.SET: 2,
        Verb.PREPARE: 3,
        Verb.EXECUTE: 2,
        Verb.DEALLOCATE: 1,
    },
)
# Verbs whose last field may be empty.
_VERBS_WITH_DATA = frozenset((Verb.WRITE, Verb.SET))
_ACCESS_BY_WORD: MappingProxyType[str, Access] = MappingProxyType(
    {'READ': 'read', 'WRITE': 'write'},
)
_VERBS_WITH_NAME = frozenset(
    (Verb.SET, Verb.PREPARE, Verb.EXECUTE, Verb.DEALLOCATE)
)
_BLANK = ' '
_LINE_END_TO_BLANK = MappingProxyType({ord('\r'): ' ', ord('\n'): ' '})
_QUERY_FIELDS = 3


def decode_start(line: str) -> SessionStart:
    """Decode the message that opens a session.

    Args:
        line: the message.

    Returns:
        The requested database and the client's key.

    Raises:
        WireError: line is not a START message.

    """
    word, _, rest = line.partition(_BLANK)
    database, _, key = rest.partition(_BLANK)
    if word != 'START' or not database:
        raise WireError('expected START')
    return SessionStart(decode_name(database), decode_name(key))


def decode_query(line: str) -> Statement:
    """Decode a client's statement.

    Args:
        line: the message.

    Returns:
        The statement.

    Raises:
        WireError: line is not a statement that clients may send.

    """
    fields = line.split(_BLANK, _QUERY_FIELDS - 1)
    if len(fields) != _QUERY_FIELDS or fields[0] != 'QUERY':
        raise WireError('expected QUERY')
    _, request_id, text = fields
    if not request_id or request_id == '-':
        raise WireError('a statement needs an id')
    return _decode_statement(request_id, text)


def _decode_statement(request_id: str, text: str) -> Statement:
    word = text.partition(_BLANK)[0]
    verb = _VERB_BY_WORD.get(word)
    if verb is None:
        raise WireError('unknown statement')
    if verb == Verb.BEGIN:
        return _decode_begin(request_id, text)
    if verb not in _FIELDS:
        if text != word:
            raise WireError(f'{word} takes no argument')
        return Statement(request_id, verb, text)
    fields = _split_fields(verb, text)
    if verb not in _VERBS_WITH_NAME:
        return Statement(request_id, verb, text)
    return Statement(
        request_id,
        verb,
        text,
        name=fields[0],
        argument=fields[1] if len(fields) > 1 else '',
        prepared=_decode_prepared(fields) if verb == Verb.PREPARE else None,
    )


def _split_fields(verb: Verb, text: str) -> list[str]:
    """Split a statement at single blanks, as an endpoint does.

    Other white space belongs to a field, and so do blanks in the last one.
    """
    count = _FIELDS[verb]
    _, *fields = text.split(_BLANK, count)
    required = fields[:-1] if verb in _VERBS_WITH_DATA else fields
    if len(fields) < count or not all(required):
        raise WireError('incomplete statement')
    return fields


def _decode_begin(request_id: str, text: str) -> Statement:
    if text not in {'BEGIN', 'BEGIN READ'}:
        raise WireError('BEGIN takes READ or nothing')
    return Statement(
        request_id, Verb.BEGIN, text, read_only=text == 'BEGIN READ'
    )


def _decode_prepared(fields: list[str]) -> PreparedStatement:
    access = _ACCESS_BY_WORD.get(fields[1])
    if access is None:
        raise WireError('PREPARE needs READ or WRITE')
    return PreparedStatement(access, fields[2])


def encode_response(response: Response) -> bytes:
    """Encode the response to a statement.

    Args:
        response: the response.

    Returns:
        Lines for its rows, its outcome and the state of the session. Without
        rows or a receipt that can be sent, the outcome is unknown.

    """
    try:
        return _encode_messages(response)
    except WireError as exc:
        return _encode_messages(
            refusal_response(Refusal.OUTCOME_UNKNOWN, str(exc), response.state)
        )


def encode_ready() -> bytes:
    """Encode the message that accepts a session."""
    return encode_line('READY', LETTER_BY_STATE[SessionState.IDLE], '-')


def encode_error(refusal: Refusal, detail: str) -> bytes:
    """Encode the message that refuses a session.

    Args:
        refusal: reason of the refusal.
        detail: human-readable explanation, of which only the beginning is
            sent; empty for the refusal's own text.

    Returns:
        One line with its line end.

    """
    text = shorten(detail).translate(_LINE_END_TO_BLANK) or refusal.value
    sendable = text.encode('latin-1', 'replace').decode('latin-1')
    return encode_line('ERROR', CODE_BY_REFUSAL[refusal], sendable)


def _encode_messages(response: Response) -> bytes:
    lines = [encode_line('DATAROW', row) for row in response.rows]
    if response.refusal is None:
        lines.append(encode_line('COMPLETE', response.receipt))
    else:
        lines.append(encode_error(response.refusal, response.detail))
    state = LETTER_BY_STATE[response.state]
    position = encode_position(response.position)
    return b''.join((*lines, encode_line('READY', state, position)))
