"""Clients of database endpoints: statement connections and control."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Protocol, Self

from trefoilhitch._generated.endpoint import (
    BeginRequest,
    CommitRequest,
    ConfirmReply,
    ConfirmRequest,
    ConnectReply,
    ConnectRequest,
    EndpointError,
    FenceReply,
    FenceRequest,
    PromoteRequest,
    RecordReply,
    RecordRequest,
    RunReply,
    RunRequest,
    StatusReply,
)
from trefoilhitch._generated.store import Endpoint
from trefoilhitch.errors import (
    BadRequestError,
    ConnectionLostError,
    InternalError,
    RefusalError,
    SlotsExhaustedError,
    SqlRejectedError,
    StaleTermError,
    TransactionLostError,
    UnreachableError,
)
from trefoilhitch.http_client import HttpClient, HttpConnection
from trefoilhitch.http_message import HttpRequest, HttpResponse
from trefoilhitch.json_client import JsonClient
from trefoilhitch.json_decoding import UnreadableJsonError, decode_json

_ERROR_TYPES: Mapping[str, type[RefusalError]] = MappingProxyType(
    {
        'slots_exhausted': SlotsExhaustedError,
        'not_primary': StaleTermError,
        'stale_term': StaleTermError,
        'sql_rejected': SqlRejectedError,
        'no_transaction': TransactionLostError,
        'not_connected': UnreachableError,
        'leaving': UnreachableError,
        'bad_request': BadRequestError,
    }
)


class EndpointConnection(Protocol):
    """Connection that occupies one of an endpoint's slots."""

    @property
    def closed(self) -> bool:
        """Return whether the connection is closed on this side."""

    async def run(self, req: RunRequest, deadline: float) -> RunReply:
        """Run a statement."""

    async def begin(self, req: BeginRequest, deadline: float) -> RunReply:
        """Open a transaction."""

    async def commit(self, req: CommitRequest, deadline: float) -> RunReply:
        """Commit the open transaction."""

    async def rollback(self, req: BeginRequest, deadline: float) -> RunReply:
        """Roll back the open transaction."""

    def is_stale(self) -> bool:
        """Return whether the endpoint has closed the idle connection."""

    def close(self) -> None:
        """Close immediately; an open transaction is rolled back."""


class EndpointControl(Protocol):
    """Client of an endpoint's control address, which uses no slot."""

    async def status(self, deadline: float) -> StatusReply:
        """Request role, term and log positions."""

    async def fence(self, req: FenceRequest, deadline: float) -> FenceReply:
        """Fence the endpoint in a new term on behalf of a claimant."""

    async def promote(
        self, req: PromoteRequest, deadline: float
    ) -> StatusReply:
        """Promote a fenced endpoint to primary of its term."""

    async def confirm(
        self, req: ConfirmRequest, deadline: float
    ) -> ConfirmReply:
        """Request the log positions that members hold, in a new round."""

    async def record(self, req: RecordRequest, deadline: float) -> RecordReply:
        """Request the stored outcome of a request from the primary."""


class EndpointConnector(Protocol):
    """Opens connections to endpoints."""

    async def connect(
        self, endpoint: Endpoint, deadline: float
    ) -> EndpointConnection:
        """Open a statement connection, which occupies a slot."""

    def control(self, endpoint: Endpoint) -> EndpointControl:
        """Return the control client of an endpoint."""


class HttpEndpointConnection:
    """Statement connection over HTTP.

    Args:
        conn: open HTTP connection.

    """

    def __init__(self, conn: HttpConnection) -> None:
        """Store the connection."""
        self._conn = conn
        self._client = JsonClient(
            transport=self, error_decoder=decode_endpoint_error
        )

    @classmethod
    async def open(cls, address: str, client: str, deadline: float) -> Self:
        """Connect and occupy a slot.

        Args:
            address: statement address of the endpoint.
            client: name of this node.
            deadline: monotonic time.

        Returns:
            The open connection.

        Raises:
            RefusalError: the connection was refused or failed.

        """
        conn = cls(await HttpConnection.open(address, deadline))
        reply = None
        try:
            reply = await conn.connect(ConnectRequest(client=client), deadline)
        except ConnectionLostError as exc:
            raise UnreachableError(exc.detail) from exc
        finally:
            if reply is None:
                conn.close()
        return conn

    @property
    def closed(self) -> bool:
        """Return whether the connection is closed on this side."""
        return self._conn.closed

    async def request(self, req: HttpRequest, deadline: float) -> HttpResponse:
        """Send a request on this connection and return the response."""
        return await self._conn.exchange(req, deadline)

    async def connect(
        self, req: ConnectRequest, deadline: float
    ) -> ConnectReply:
        """Occupy a slot."""
        return await self._client.post(
            '/v1/connect', req, ConnectReply, deadline
        )

    async def run(self, req: RunRequest, deadline: float) -> RunReply:
        """Run a statement."""
        return await self._client.post('/v1/run', req, RunReply, deadline)

    async def begin(self, req: BeginRequest, deadline: float) -> RunReply:
        """Open a transaction."""
        return await self._client.post('/v1/begin', req, RunReply, deadline)

    async def commit(self, req: CommitRequest, deadline: float) -> RunReply:
        """Commit the open transaction."""
        return await self._client.post('/v1/commit', req, RunReply, deadline)

    async def rollback(self, req: BeginRequest, deadline: float) -> RunReply:
        """Roll back the open transaction."""
        return await self._client.post('/v1/rollback', req, RunReply, deadline)

    def is_stale(self) -> bool:
        """Return whether the endpoint has closed the idle connection."""
        return self._conn.is_stale()

    def close(self) -> None:
        """Close immediately; an open transaction is rolled back."""
        self._conn.close()


class HttpEndpointControl:
    """Client of an endpoint's control address over HTTP.

    Args:
        address: control address of the endpoint.

    """

    def __init__(self, address: str) -> None:
        """Start without connections."""
        self._client = JsonClient(
            transport=HttpClient(address),
            error_decoder=decode_endpoint_error,
        )

    async def status(self, deadline: float) -> StatusReply:
        """Request role, term and log positions."""
        return await self._client.get('/v1/status', StatusReply, deadline)

    async def fence(self, req: FenceRequest, deadline: float) -> FenceReply:
        """Fence the endpoint in a new term on behalf of a claimant."""
        return await self._client.post('/v1/fence', req, FenceReply, deadline)

    async def promote(
        self, req: PromoteRequest, deadline: float
    ) -> StatusReply:
        """Promote a fenced endpoint to primary of its term."""
        return await self._client.post(
            '/v1/promote', req, StatusReply, deadline
        )

    async def confirm(
        self, req: ConfirmRequest, deadline: float
    ) -> ConfirmReply:
        """Request the log positions that members hold, in a new round."""
        return await self._client.post(
            '/v1/confirm', req, ConfirmReply, deadline
        )

    async def record(self, req: RecordRequest, deadline: float) -> RecordReply:
        """Request the stored outcome of a request from the primary."""
        return await self._client.post('/v1/record', req, RecordReply, deadline)


class HttpEndpointConnector:
    """Opens connections to endpoints over HTTP.

    Args:
        client: name of this node.

    """

    def __init__(self, client: str) -> None:
        """Start without connections."""
        self._client_name = client
        self._controls: dict[str, HttpEndpointControl] = {}

    async def connect(
        self,
        endpoint: Endpoint,
        deadline: float,
    ) -> HttpEndpointConnection:
        """Open a statement connection, which occupies a slot."""
        return await HttpEndpointConnection.open(
            endpoint.address, self._client_name, deadline
        )

    def control(self, endpoint: Endpoint) -> HttpEndpointControl:
        """Return the control client of an endpoint."""
        control = self._controls.get(endpoint.control)
        if control is None:
            control = HttpEndpointControl(endpoint.control)
            self._controls[endpoint.control] = control
        return control


def decode_endpoint_error(body: bytes) -> RefusalError:
    """Convert an endpoint's error body to an exception.

    Args:
        body: JSON of an EndpointError.

    Returns:
        The exception for the error's code.

    """
    try:
        error = decode_json(body, EndpointError)
    except UnreadableJsonError as exc:
        return ConnectionLostError(f'unreadable error: {exc}')
    error_type = _ERROR_TYPES.get(error.code, InternalError)
    return error_type(error.detail or error.code, run=error.run)
