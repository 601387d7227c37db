"""Connections to endpoints over the wire protocol."""

from collections.abc import Callable, Sequence

from trio import CancelScope

from trefoilhitch.byte_stream import ByteStream, ByteStreamError
from trefoilhitch.http_client import is_readable
from trefoilhitch.platform.endpoint_codec import (
    ResponseParser,
    decode_ready,
    decode_start_refusal,
    decode_status,
    encode_command,
    encode_start,
)
from trefoilhitch.platform.line_buffer import (
    MAX_MESSAGE_BYTES,
    LineBuffer,
    WireError,
)
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.ports import (
    Command,
    EndpointConnectionError,
    EndpointOverloadedError,
    EndpointRefusedError,
    EndpointResetError,
    EndpointStatus,
    EndpointUnreachableError,
    UnsendableStatementError,
)
from trefoilhitch.pooler.response import Response, SessionState
from trefoilhitch.pooler.statement import PreparedStatement
from trefoilhitch.tcp import open_stream

RECEIVE_BYTES = 65536
# Limit of one line: each row of a response is a line of its own.
MAX_LINE_BYTES = 2 * MAX_MESSAGE_BYTES


class WireConnection:
    """A connection to an endpoint, bound to one organisation.

    Args:
        stream: an open stream.
        endpoint: id of the endpoint.
        organisation: organisation that the statements run for.

    """

    def __init__(
        self, stream: ByteStream, endpoint: str, organisation: str
    ) -> None:
        """Initialise a connection that has not sent START yet."""
        self.endpoint = endpoint
        self.organisation = organisation
        self.state = SessionState.IDLE
        self._stream = stream
        self._buffer = LineBuffer(MAX_LINE_BYTES)
        self._open = True

    async def start(self, message: bytes) -> None:
        """Send START and wait until the endpoint accepts it.

        Args:
            message: the START message.

        Raises:
            EndpointRefusedError: the endpoint refused.
            WireError: its response is malformed.
            ByteStreamError: the connection failed.

        """
        await self._stream.send(message)
        line = await self._next_line()
        if not line.startswith('READY'):
            raise EndpointRefusedError(decode_start_refusal(line))
        self.state = decode_ready(line)[0]

    async def run(
        self, commands: Sequence[Command], deadline: float
    ) -> list[Response]:
        """Send all statements at once and wait for their responses.

        Args:
            commands: statements in order.
            deadline: monotonic time in seconds.

        Returns:
            One response for each statement, in order.

        Raises:
            EndpointConnectionError: a response is missing or incomplete, and
                the connection is closed; or nothing was sent.
            UnsendableStatementError: a statement cannot be sent; the
                connection stays open.

        """
        self._check_quiet()
        message = _encode_all(commands)
        responses: list[Response] = []
        try:
            with CancelScope(deadline=deadline):
                await self._stream.send(message)
                await self._receive_responses(len(commands), responses)
        except (ByteStreamError, WireError) as exc:
            raise EndpointConnectionError(
                ResponseLoss.CONNECTION_LOST, str(exc)
            ) from exc
        finally:
            if len(responses) < len(commands):
                self.close()
        if len(responses) < len(commands):
            raise EndpointConnectionError(
                ResponseLoss.DEADLINE_PASSED, 'no response before the deadline'
            )
        if self._buffer.has_unread_bytes:
            # Later responses would be taken for those of other statements.
            self.close()
        self.state = responses[-1].state
        return responses

    def is_usable(self) -> bool:
        """Return whether the connection is open and idle.

        Returns:
            False if it was closed or has unread bytes.

        """
        if self._buffer.has_unread_bytes:
            return False
        return self._open and not is_readable(self._stream.descriptor)

    def close(self) -> None:
        """Close at once; the endpoint rolls back what still runs."""
        self._open = False
        self._stream.close()

    def _check_quiet(self) -> None:
        """Refuse to send after bytes that belong to no statement.

        Raises:
            EndpointConnectionError: the endpoint closed the connection or sent
                bytes; nothing was sent.

        """
        if not self.is_usable():
            self.close()
            raise EndpointConnectionError(
                ResponseLoss.NOT_SENT, 'the endpoint ended the connection'
            )

    async def _receive_responses(
        self, count: int, responses: list[Response]
    ) -> None:
        while len(responses) < count:
            parser = ResponseParser([])
            response = None
            while response is None:
                response = parser.feed_line(await self._next_line())
            responses.append(response)

    async def _next_line(self) -> str:
        line = self._buffer.next_line()
        while line is None:
            chunk = await self._stream.receive(RECEIVE_BYTES)
            if not chunk:
                raise WireError('closed before the response')
            self._buffer.feed(chunk)
            line = self._buffer.next_line()
        return line


class WireConnector:
    """Opens connections to endpoints.

    Args:
        find_record: returns the record of an endpoint, None if it has none.

    """

    def __init__(
        self, find_record: Callable[[str], EndpointRecord | None]
    ) -> None:
        """Initialise the connector."""
        self._find_record = find_record

    async def connect(
        self,
        endpoint: str,
        organisation: str,
        *,
        connect_by: float,
        deadline: float,
    ) -> WireConnection:
        """Open a connection.

        Args:
            endpoint: id of the endpoint.
            organisation: organisation that the statements run for.
            connect_by: monotonic time by which the endpoint has to accept.
            deadline: monotonic time by which it has to respond to START.

        Returns:
            The connection.

        Raises:
            EndpointUnreachableError: the endpoint did not accept in time.
            EndpointOverloadedError: the names cannot be sent.
            EndpointResetError: the endpoint reset the connection.
            EndpointConnectionError: no connection for another reason.
            EndpointRefusedError: the endpoint refused.

        """
        record = self._find_record(endpoint)
        if record is None:
            raise EndpointConnectionError(
                ResponseLoss.NOT_SENT, f'{endpoint}: no entry'
            )
        message = _encode_start(record, organisation)
        try:
            with CancelScope(deadline=deadline):
                stream = await _open_endpoint_stream(record, connect_by)
                conn = WireConnection(stream, endpoint, organisation)
                return await _start(conn, message)
        except WireError as exc:
            raise EndpointConnectionError(
                ResponseLoss.NOT_SENT, f'{endpoint}: {exc}'
            ) from exc
        raise EndpointConnectionError(
            ResponseLoss.NOT_SENT, f'{endpoint}: no connection in time'
        )

    def set_variable(self, name: str, text: str) -> Command:
        """Return the statement that sets a session variable."""
        return Command(f'SET {name} {text}')

    def prepare(self, prepared: PreparedStatement) -> Command:
        """Return the statement that prepares one under its pooled name."""
        access = prepared.access.upper()
        return Command(
            f'PREPARE {prepared.pooled_name} {access} {prepared.body}'
        )

    def deallocate(self, pooled_name: str) -> Command:
        """Return the statement that releases a prepared one."""
        return Command(f'DEALLOC {pooled_name}')

    def execute(
        self, request_id: str, prepared: PreparedStatement, argument: str
    ) -> Command:
        """Return the statement that executes a prepared one."""
        return Command(f'EXECUTE {prepared.pooled_name} {argument}', request_id)

    def reset(self) -> Command:
        """Return the statement that clears the state of a session."""
        return Command('RESET')

    def status(self) -> Command:
        """Return the statement that requests the endpoint's status."""
        return Command('STATUS')

    def fence(self, term: int) -> Command:
        """Return the statement that stops replication to a replica."""
        return Command(f'PAUSE {term}')

    def unfence(self) -> Command:
        """Return the statement that resumes replication to a replica."""
        return Command('RESUME')

    def demote(self, term: int) -> Command:
        """Return the statement that demotes a primary of a lower term."""
        return Command(f'STEPDOWN {term}')

    def read_status(self, response: Response) -> EndpointStatus | None:
        """Decode a status, None if the endpoint refused the request.

        Raises:
            EndpointConnectionError: the response is not a status.

        """
        try:
            return decode_status(response)
        except WireError as exc:
            raise EndpointConnectionError(
                ResponseLoss.CONNECTION_LOST, str(exc)
            ) from exc


def _encode_start(record: EndpointRecord, organisation: str) -> bytes:
    try:
        return encode_start(record.service, organisation, record.endpoint)
    except WireError as exc:
        # Other organisations may still use the endpoint, so that it does not
        # count as failed.
        raise EndpointOverloadedError(
            ResponseLoss.NOT_SENT, f'{record.endpoint}: {exc}'
        ) from exc


def _encode_all(commands: Sequence[Command]) -> bytes:
    try:
        return b''.join(encode_command(command) for command in commands)
    except WireError as exc:
        raise UnsendableStatementError(ResponseLoss.NOT_SENT, str(exc)) from exc


async def _open_endpoint_stream(
    record: EndpointRecord, connect_by: float
) -> ByteStream:
    name = record.endpoint
    try:
        with CancelScope(deadline=connect_by):
            return await open_stream(record.address)
    except OSError as exc:
        raise EndpointUnreachableError(
            ResponseLoss.NOT_SENT, f'{name}: {exc}'
        ) from exc
    raise EndpointUnreachableError(
        ResponseLoss.NOT_SENT, f'{name}: connection not accepted in time'
    )


async def _start(conn: WireConnection, message: bytes) -> WireConnection:
    started = False
    try:
        await conn.start(message)
        started = True
    except ByteStreamError as exc:
        raise EndpointResetError(
            ResponseLoss.NOT_SENT, f'{conn.endpoint}: {exc}'
        ) from exc
    finally:
        if not started:
            conn.close()
    return conn
