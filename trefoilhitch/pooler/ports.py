"""What the pooler needs from outside, each behind a protocol."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.errors import TrefoilhitchError
from trefoilhitch.pooler.lease import LeaseRecord
from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.response import Refusal, Response, SessionState
from trefoilhitch.pooler.statement import PreparedStatement


@dataclass(frozen=True, slots=True)
class Command:
    """A statement for an endpoint.

    Args:
        text: its text.
        request_id: the client's id; empty for the pooler's own statements.
        minimum_position: position that the log must have reached, None for any.

    """

    text: str
    request_id: str = ''
    minimum_position: LogPosition | None = None


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """What an endpoint says of itself.

    Args:
        is_primary: whether it leads its service.
        term: the latest term that it knows.
        position: end of the log that it received.
        fenced_term: term for which it stopped receiving, 0 if it did not.

    """

    is_primary: bool
    term: int
    position: LogPosition
    fenced_term: int


class EndpointConnectionError(TrefoilhitchError):
    """An endpoint connection failed, or could not be opened.

    Args:
        loss: how far the statement came.
        detail: what a person should know.

    """

    def __init__(self, loss: ResponseLoss, detail: str) -> None:
        """Keep how far it came."""
        super().__init__(detail)
        self.loss = loss


class EndpointUnreachableError(EndpointConnectionError):
    """The endpoint accepted no connection; nothing was sent."""


class EndpointRefusedError(TrefoilhitchError):
    """An endpoint refused to open a connection.

    Args:
        refusal: why.

    """

    def __init__(self, refusal: Refusal) -> None:
        """Keep the reason."""
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
        """Send statements at once and wait for all their answers.

        Args:
            commands: statements in order.
            deadline: monotonic time.

        Returns:
            One answer for each.

        Raises:
            EndpointConnectionError: an answer did not arrive whole; the
                connection is closed.

        """

    def is_usable(self) -> bool:
        """Tell whether the connection is open and silent."""

    def close(self) -> None:
        """Close at once; what runs on it is rolled back."""


class EndpointConnector(Protocol):
    """Opens connections to endpoints and knows their own statements."""

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
            organisation: for whom statements will run.
            connect_by: monotonic time by which the endpoint has to accept.
            deadline: monotonic time by which it has to answer.

        Returns:
            The connection.

        Raises:
            EndpointUnreachableError: the endpoint did not accept in time.
            EndpointConnectionError: no connection for another cause.
            EndpointRefusedError: the endpoint refused.

        """

    def set_variable(self, name: str, text: str) -> Command:
        """Return the statement that sets a session variable."""

    def prepare(self, prepared: PreparedStatement) -> Command:
        """Return the statement that prepares a shape under its pooled name."""

    def execute(
        self, request_id: str, prepared: PreparedStatement, argument: str
    ) -> Command:
        """Return the statement that runs a prepared shape."""

    def reset(self) -> Command:
        """Return the statement that drops what a session left behind."""

    def status(self) -> Command:
        """Return the question for the endpoint's status."""

    def fence(self, term: int) -> Command:
        """Return the statement that stops a replica from receiving."""

    def unfence(self) -> Command:
        """Return the statement that lets a replica receive again."""

    def demote(self, term: int) -> Command:
        """Return the statement that makes a lead of a lower term a replica."""

    def read_status(self, response: Response) -> EndpointStatus | None:
        """Read the answer to the last four, None if it was refused."""


class LeaseStore(Protocol):
    """Keeps leases, changed only under a condition."""

    async def read_lease(self, service: str, deadline: float) -> LeaseRecord:
        """Read a lease; one that does not exist has revision 0."""

    async def write_lease(
        self, service: str, lease: LeaseRecord, deadline: float
    ) -> LeaseRecord | None:
        """Write a lease if the store still has the revision it names.

        Returns:
            The lease as stored, None if another revision is stored.

        """


class Promoter(Protocol):
    """Orders that an endpoint leads its service."""

    async def promote(
        self, service: str, endpoint: str, token: int, deadline: float
    ) -> bool:
        """Order it.

        Args:
            service: the service.
            endpoint: id of the endpoint that shall lead.
            token: fencing token.
            deadline: monotonic time.

        Returns:
            True if it was done, False if it was refused for good.

        Raises:
            StoreUnavailableError: no answer; it may still be carried out.

        """
