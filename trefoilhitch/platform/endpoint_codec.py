"""Endpoint side of the wire protocol: encode statements, decode responses."""

from dataclasses import dataclass

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.platform.codes import (
    REFUSAL_BY_CODE,
    STATE_BY_LETTER,
    decode_position,
    encode_position,
)
from trefoilhitch.platform.line_buffer import MAX_SHOWN_CHARS, WireError
from trefoilhitch.pooler.ports import Command, EndpointStatus
from trefoilhitch.pooler.response import Refusal, Response, SessionState

NO_REQUEST_ID = '-'
_MIN_STATUS_FIELDS = 7
_READY_FIELDS = 3


def encode_start(service: str, organisation: str, endpoint: str) -> bytes:
    """Encode the message that opens a connection to an endpoint.

    Args:
        service: service that the endpoint is expected to belong to.
        organisation: organisation that the statements run for.
        endpoint: id that the endpoint is expected to have.

    Returns:
        One line with its line end.

    """
    return f'START {service} {organisation} {endpoint}\r\n'.encode('latin-1')


def encode_command(command: Command) -> bytes:
    """Encode a statement for an endpoint.

    Args:
        command: the statement.

    Returns:
        One line with its line end.

    """
    text = command.text
    if command.minimum_position is not None:
        text = f'MINLSN {encode_position(command.minimum_position)} {text}'
    request_id = command.request_id or NO_REQUEST_ID
    return f'QUERY {request_id} {text}\r\n'.encode('latin-1')


@dataclass(slots=True)
class ResponseParser:
    """Parses the lines of one response.

    Args:
        rows: rows received so far.
        receipt: the endpoint's proof that the statement ran.
        refusal: why the statement did not succeed.
        detail: text of the refusal.

    """

    rows: list[str]
    receipt: str | None = None
    refusal: Refusal | None = None
    detail: str = ''

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
            case 'DATAROW':
                self.rows.append(rest)
            case 'COMPLETE':
                self.receipt = rest
            case 'ERROR':
                self._parse_error(rest)
            case 'READY':
                return self._build_response(line)
            case _:
                raise WireError(f'unexpected message {word[:MAX_SHOWN_CHARS]}')
        return None

    def _parse_error(self, rest: str) -> None:
        code, _, detail = rest.partition(' ')
        self.detail = detail
        # An unknown code does not tell whether the statement took effect.
        self.refusal = REFUSAL_BY_CODE.get(code, Refusal.FAILED)

    def _build_response(self, line: str) -> Response:
        if self.receipt is None and self.refusal is None:
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
    if len(fields) < _MIN_STATUS_FIELDS or not fields[1].isdigit():
        raise WireError('not a status')
    return EndpointStatus(
        is_primary=fields[0] == 'primary',
        term=int(fields[1]),
        position=decode_position(fields[2]) or LogPosition(),
        fenced_term=int(fields[3]) if fields[3].isdigit() else 0,
    )
