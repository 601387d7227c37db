"""Endpoint side of the wire protocol: encode statements, decode responses."""

from dataclasses import dataclass

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.decimal_text import MAX_DIGITS, parse_decimal
from trefoilhitch.platform.codes import (
    REFUSAL_BY_CODE,
    STATE_BY_LETTER,
    STATEMENT_REFUSALS,
    decode_position,
    encode_position,
)
from trefoilhitch.platform.line_buffer import (
    LINE_END_BYTES,
    MAX_MESSAGE_BYTES,
    MAX_SHOWN_CHARS,
    WireError,
    encode_line,
)
from trefoilhitch.platform.wire_names import encode_name
from trefoilhitch.pooler.ports import Command, EndpointStatus
from trefoilhitch.pooler.response import Refusal, Response, SessionState
from trefoilhitch.pooler.statement import POOLED_NAME_CHARS, Statement, Verb

NO_REQUEST_ID = '-'
_QUERY_CHARS = len('QUERY  ') + LINE_END_BYTES
_MAX_MINIMUM_CHARS = len('MINLSN . ') + 2 * MAX_DIGITS
_RENAMED_VERBS = frozenset((Verb.PREPARE, Verb.EXECUTE))
_OWN_VERBS = frozenset((Verb.SET, Verb.PREPARE))
_READING_VERBS = frozenset((Verb.READ, Verb.BEGIN, Verb.EXECUTE))
_MIN_STATUS_FIELDS = 7
_READY_FIELDS = 3
_ROLES = frozenset(('primary', 'replica'))
# Limit of the rows of one response together, and what each row adds to it.
MAX_ROW_BYTES = 67108864
ROW_OVERHEAD_BYTES = 64


def encode_start(service: str, organisation: str, endpoint: str) -> bytes:
    """Encode the message that opens a connection to an endpoint.

    Args:
        service: service that the endpoint is expected to belong to.
        organisation: organisation that the statements run for.
        endpoint: id that the endpoint is expected to have.

    Returns:
        One line with its line end.

    Raises:
        WireError: an argument cannot be sent as one field.

    """
    if not endpoint:
        raise WireError('no endpoint id')
    names = map(encode_name, (service, organisation, endpoint))
    return encode_line('START', *names)


def encode_command(command: Command) -> bytes:
    """Encode a statement for an endpoint.

    Args:
        command: the statement.

    Returns:
        One line with its line end.

    Raises:
        WireError: the statement cannot be sent as one line.

    """
    text = command.text
    if command.minimum_position is not None:
        text = f'MINLSN {encode_position(command.minimum_position)} {text}'
    request_id = command.request_id or NO_REQUEST_ID
    return encode_line('QUERY', request_id, text)


def fits_message(statement: Statement) -> bool:
    """Return whether a client's statement can be sent to an endpoint.

    It may become longer than the client's message: by the name that it has on
    pooled connections, or by the position that a read requires.

    Args:
        statement: the client's statement.

    Returns:
        False if it would be too long, whichever endpoint it is sent to.

    """
    verb = statement.verb
    if verb == Verb.DEALLOCATE:
        return True
    request_id = NO_REQUEST_ID if verb in _OWN_VERBS else statement.request_id
    chars = _QUERY_CHARS + len(request_id) + len(statement.text)
    if verb in _RENAMED_VERBS:
        chars += POOLED_NAME_CHARS - len(statement.name)
    if verb in _READING_VERBS:
        chars += _MAX_MINIMUM_CHARS
    return chars <= MAX_MESSAGE_BYTES


@dataclass(slots=True)
class ResponseParser:
    """Parses the lines of one response.

    Args:
        rows: rows received so far.
        receipt: the endpoint's proof that the statement ran.
        refusal: why the statement did not succeed.
        detail: text of the refusal.
        row_bytes: memory that the rows take.

    """

    rows: list[str]
    receipt: str | None = None
    refusal: Refusal | None = None
    detail: str = ''
    row_bytes: int = 0

    def feed_line(self, line: str) -> Response | None:
        """Parse the next line.

        Args:
            line: a line from the endpoint.

        Returns:
            The response after its last line, None before.

        Raises:
            WireError: line is not part of a response.

        """
        word, _, rest = line.partition(' ')
        match word:
            case 'READY':
                return self._build_response(line)
            case 'DATAROW' | 'COMPLETE' | 'ERROR' if not self._has_outcome:
                self._parse_message(word, rest)
            case _:
                raise WireError(f'unexpected message {word[:MAX_SHOWN_CHARS]}')
        return None

    @property
    def _has_outcome(self) -> bool:
        return self.receipt is not None or self.refusal is not None

    def _parse_message(self, word: str, rest: str) -> None:
        if word == 'DATAROW':
            self._add_row(rest)
        elif word == 'ERROR':
            self._parse_error(rest)
        elif rest:
            self.receipt = rest
        else:
            raise WireError('no receipt')

    def _add_row(self, row: str) -> None:
        self.rows.append(row)
        self.row_bytes += len(row) + ROW_OVERHEAD_BYTES
        if self.row_bytes > MAX_ROW_BYTES:
            raise WireError('response too large')

    def _parse_error(self, rest: str) -> None:
        code, _, detail = rest.partition(' ')
        self.detail = detail
        refusal = REFUSAL_BY_CODE.get(code)
        # Another code does not tell whether the statement took effect.
        known = refusal if refusal in STATEMENT_REFUSALS else None
        self.refusal = known or Refusal.FAILED

    def _build_response(self, line: str) -> Response:
        if not self._has_outcome:
            raise WireError('response without an outcome')
        state, position = decode_ready(line)
        return Response(
            rows=tuple(self.rows),
            receipt=self.receipt or '-',
            refusal=self.refusal,
            detail=self.detail,
            state=state,
            position=position,
        )


def decode_ready(line: str) -> tuple[SessionState, LogPosition | None]:
    """Decode the line that ends a response or accepts a connection.

    Args:
        line: the line.

    Returns:
        State of the connection and position of the endpoint's log.

    Raises:
        WireError: line is not a valid READY message.

    """
    fields = line.split()
    if len(fields) != _READY_FIELDS or fields[0] != 'READY':
        raise WireError(f'expected READY, got {line[:MAX_SHOWN_CHARS]}')
    state = STATE_BY_LETTER.get(fields[1])
    if state is None:
        raise WireError(f'unknown state {fields[1][:MAX_SHOWN_CHARS]}')
    return state, decode_position(fields[2])


def decode_start_refusal(line: str) -> Refusal:
    """Decode an endpoint's refusal of a connection.

    Args:
        line: the endpoint's response to START.

    Returns:
        The reason of the refusal, FAILED for an unknown code.

    Raises:
        WireError: line is not an ERROR message.

    """
    fields = line.split()
    if len(fields) < 2 or fields[0] != 'ERROR':
        raise WireError(
            f'expected READY or ERROR, got {line[:MAX_SHOWN_CHARS]}'
        )
    return REFUSAL_BY_CODE.get(fields[1], Refusal.FAILED)


def decode_status(response: Response) -> EndpointStatus | None:
    """Decode the response to a status request.

    Args:
        response: the response.

    Returns:
        The status, None if the endpoint refused the request.

    Raises:
        WireError: the row is not a status.

    """
    if not response.ok:
        return None
    fields = response.rows[0].split() if response.rows else []
    if len(fields) < _MIN_STATUS_FIELDS or fields[0] not in _ROLES:
        raise WireError('not a status')
    return EndpointStatus(
        is_primary=fields[0] == 'primary',
        term=_decode_term(fields[1]),
        position=decode_position(fields[2]) or LogPosition(),
        fenced_term=_decode_term(fields[3]),
    )


def _decode_term(text: str) -> int:
    term = parse_decimal(text)
    if term is None:
        raise WireError(f'not a term: {text[:MAX_SHOWN_CHARS]}')
    return term
