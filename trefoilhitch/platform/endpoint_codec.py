"""The wire protocol as endpoints speak it."""

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
    """Return the message that opens a connection to an endpoint.

    Args:
        service: database group that is expected there.
        organisation: for whom statements will run.
        endpoint: id of the endpoint that is expected there.

    Returns:
        One line.

    """
    return f'START {service} {organisation} {endpoint}\r\n'.encode('latin-1')


def encode_command(command: Command) -> bytes:
    """Return the message for a statement.

    Args:
        command: the statement.

    Returns:
        One line.

    """
    text = command.text
    if command.minimum_position is not None:
        text = f'MINLSN {encode_position(command.minimum_position)} {text}'
    request_id = command.request_id or NO_REQUEST_ID
    return f'QUERY {request_id} {text}\r\n'.encode('latin-1')


@dataclass(slots=True)
class ResponseParser:
    """Collects the lines of one answer.

    Args:
        rows: rows so far.
        receipt: proof that it ran.
        refusal: why it did not succeed.
        detail: text of a refusal.

    """

    rows: list[str]
    receipt: str | None = None
    refusal: Refusal | None = None
    detail: str = ''

    def feed_line(self, line: str) -> Response | None:
        """Take the next line.

        Args:
            line: a line from the endpoint.

        Returns:
            The whole answer after its last line, None before.

        Raises:
            WireError: the line does not belong to an answer.

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
        # A code that is not known promises nothing.
        self.refusal = REFUSAL_BY_CODE.get(code, Refusal.FAILED)

    def _build_response(self, line: str) -> Response:
        if self.receipt is None and self.refusal is None:
            raise WireError('answer without an outcome')
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
    """Read the line that ends an answer or accepts a connection.

    Args:
        line: the line.

    Returns:
        State of the connection and position of the endpoint's log.

    Raises:
        WireError: it is another line.

    """
    fields = line.split()
    if len(fields) != _READY_FIELDS or fields[0] != 'READY':
        raise WireError(f'expected READY, got {line[:MAX_SHOWN_CHARS]}')
    state = STATE_BY_LETTER.get(fields[1])
    if state is None:
        raise WireError(f'unknown state {fields[1][:MAX_SHOWN_CHARS]}')
    return state, decode_position(fields[2])


def decode_start_refusal(line: str) -> Refusal:
    """Read why an endpoint refused a connection.

    Args:
        line: its answer to the opening message.

    Returns:
        The refusal.

    Raises:
        WireError: it is not a refusal.

    """
    fields = line.split()
    if len(fields) < 2 or fields[0] != 'ERROR':
        raise WireError(
            f'expected READY or ERROR, got {line[:MAX_SHOWN_CHARS]}'
        )
    return REFUSAL_BY_CODE.get(fields[1], Refusal.FAILED)


def decode_status(response: Response) -> EndpointStatus | None:
    """Read the answer to a question for an endpoint's status.

    Args:
        response: the response.

    Returns:
        The status, None if the endpoint refused to tell it.

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
