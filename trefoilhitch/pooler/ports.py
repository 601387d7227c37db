"""Protocols of the external services that the pooler uses."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.errors import TrefoilhitchError
from trefoilhitch.pooler.lease import LeaseListing, LeaseRecord
from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.recorded_group import RecordedGroup
from trefoilhitch.pooler.response import Refusal, Response, SessionState
from trefoilhitch.pooler.statement import PreparedStatement

# Named by connections that carry only the pooler's own requests.
CONTROL_ORGANISATION = '-'


@dataclass(frozen=True, slots=True)
class Command:
    """A statement in the form that is sent to an endpoint.

    Args:
        text: text of the statement.
        request_id: request id of the client, empty for the pooler's own
            statements.
        minimum_position: log position that the endpoint must have reached, None
            for any.

    """

    text: str
    request_id: str = ''
    minimum_position: LogPosition | None = None


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """Status that an endpoint reports.

    Args:
        is_primary: whether it is the primary of its service.
        term: latest term that it knows.
        position: end of the log that it has received.
        fenced_term: term for which it was fenced, 0 if it is not fenced.

    """

    is_primary: bool
    term: int
    position: LogPosition
    fenced_term: int


class EndpointConnectionError(TrefoilhitchError):
    """An endpoint connection failed, or could not be opened.

    Args:
        loss: how the response was lost.
        detail: explanation for people.
        connection: node and number of the connection that a statement was
            sent on, empty if none was sent or it is unknown.

    """

    def __init__(
        self, loss: ResponseLoss, detail: str, connection: str = ''
    ) -> None:
        """Store how the response was lost."""
        super().__init__(detail)
        self.loss = loss
        self.connection = connection


class EndpointUnreachableError(EndpointConnectionError):
    """The endpoint accepted no connection; nothing was sent."""


class EndpointEvacuatedError(EndpointConnectionError):
    """The data centre of the endpoint is evacuated; nothing was sent."""


class EndpointResetError(EndpointConnectionError):
    """The endpoint reset the connection while it was opened.

    An endpoint may do so with connections beyond its limit.
    """


class EndpointOverloadedError(EndpointConnectionError):
    """Too many requests wait for a connection; nothing was sent."""


class UnsendableStatementError(EndpointConnectionError):
    """A statement is not one message of the protocol; nothing was sent."""


class EndpointRefusedError(TrefoilhitchError):
    """An endpoint refused to open a connection.

    Args:
        refusal: reason for the refusal.

    """

    def __init__(self, refusal: Refusal) -> None:
        """Store the reason."""
        super().__init__(refusal.value)
        self.refusal = refusal


class EndpointConnection(Protocol):
    """A connection to an endpoint, bound to one organisation."""

    endpoint: str
    organisation: str
    state: SessionState

    async def run(
        self, commands: Sequence[Command], deadline: float
    ) -> list[Response]:
        """Send several statements together and wait for all responses.

        Args:
            commands: statements in order.
            deadline: monotonic time.

        Returns:
            One response for each statement.

        Raises:
            EndpointConnectionError: a response did not arrive completely; the
                connection is closed.
            UnsendableStatementError: a statement cannot be sent.

        """

    def is_usable(self) -> bool:
        """Return whether the connection is open and has no unread input."""

    def close(self) -> None:
        """Close immediately; the endpoint rolls back what runs on it."""


class EndpointConnector(Protocol):
    """Opens connections to endpoints and builds commands for them."""

    async def connect(
        self,
        endpoint: str,
        organisation: str,
        *,
        connect_by: float,
        deadline: float,
    ) -> EndpointConnection:
        """Open a connection.

        Args:
            endpoint: id of the endpoint.
            organisation: organisation that the connection is bound to.
            connect_by: monotonic time by which the endpoint has to accept.
            deadline: monotonic time by which it has to respond.

        Returns:
            The connection.

        Raises:
            EndpointUnreachableError: the endpoint did not accept in time.
            EndpointConnectionError: the connection failed otherwise.
            EndpointRefusedError: the endpoint refused.

        """

    def set_variable(self, name: str, text: str) -> Command:
        """Return the command that sets a session variable."""

    def prepare(self, prepared: PreparedStatement) -> Command:
        """Return the command that prepares a statement by its pooled name."""

    def deallocate(self, pooled_name: str) -> Command:
        """Return the command that releases a prepared statement."""

    def execute(
        self, request_id: str, prepared: PreparedStatement, argument: str
    ) -> Command:
        """Return the command that executes a prepared statement."""

    def reset(self) -> Command:
        """Return the command that resets the state of a session."""

    def status(self) -> Command:
        """Return the command that requests the endpoint's status."""

    def fence(self, term: int) -> Command:
        """Return the command that fences a replica: it stops receiving."""

    def unfence(self) -> Command:
        """Return the command that lifts the fence of a replica."""

    def demote(self, term: int) -> Command:
        """Return the command that demotes a primary of a lower term."""

    def read_status(self, response: Response) -> EndpointStatus | None:
        """Decode the response to the last four, None if it is a refusal."""


class LeaseStore(Protocol):
    """Stores leases with conditional writes."""

    async def list_leases(self, deadline: float) -> LeaseListing:
        """Read the leases of all services that have one."""

    async def read_lease(self, service: str, deadline: float) -> LeaseRecord:
        """Read a lease; a missing lease has revision 0.

        Raises:
            StoreUnavailableError: no valid response.
            UnreadableLeaseError: its content cannot be read.

        """

    async def check(self, service: str, deadline: float) -> None:
        """Check cheaply that the store answers a request for a lease.

        Args:
            service: service name.
            deadline: monotonic time.

        Raises:
            StoreUnavailableError: no valid response.

        """

    async def write_lease(
        self, service: str, lease: LeaseRecord, deadline: float
    ) -> LeaseRecord | None:
        """Write a lease if its revision and era are still the store's.

        Returns:
            The lease as stored, None if another revision is stored or the
            store was restored.

        """


class GroupStore(Protocol):
    """Stores records of groups with conditional writes."""

    async def read_group(self, service: str, deadline: float) -> RecordedGroup:
        """Read a group's record; a missing one names no members."""

    async def write_group(
        self, service: str, group: RecordedGroup, deadline: float
    ) -> bool:
        """Write a record if its revision and era are still the store's.

        Returns:
            False if another revision is stored or the store was restored.

        """


class Promoter(Protocol):
    """Promotes endpoints to primary."""

    async def promote(
        self, service: str, endpoint: str, token: int, deadline: float
    ) -> bool:
        """Promote an endpoint to primary of its service.

        Args:
            service: service name.
            endpoint: id of the endpoint to promote.
            token: fencing token.
            deadline: monotonic time.

        Returns:
            True if it was promoted, False if the promotion was refused for
            good.

        Raises:
            StoreUnavailableError: no response; the promotion may still be
                carried out.

        """
