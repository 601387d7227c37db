"""Endpoint connections of one node that can be cut."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.ports import (
    CONTROL_ORGANISATION,
    Command,
    EndpointConnection,
    EndpointConnectionError,
    EndpointConnector,
    EndpointUnreachableError,
)
from trefoilhitch.pooler.response import Response


@dataclass(frozen=True, slots=True)
class Cuts:
    """What one node does not reach.

    Args:
        endpoints: ids of the endpoints that it does not reach.
        control: ids of the endpoints that answer none of its control
            statements.

    """

    endpoints: set[str] = field(default_factory=set)
    control: set[str] = field(default_factory=set)

    def apply_to(self, endpoint: str, organisation: str) -> bool:
        """Return whether a connection is cut.

        Args:
            endpoint: id of the endpoint.
            organisation: organisation that it runs for.

        """
        if organisation == CONTROL_ORGANISATION and endpoint in self.control:
            return True
        return endpoint in self.endpoints


class CutConnection:
    """A connection that fails while its endpoint is cut off.

    Args:
        conn: the connection.
        cuts: what the node does not reach.

    """

    def __init__(self, conn: EndpointConnection, cuts: Cuts) -> None:
        """Wrap a connection."""
        self.endpoint = conn.endpoint
        self.organisation = conn.organisation
        self.state = conn.state
        self._conn = conn
        self._cuts = cuts

    async def run(
        self, commands: Sequence[Command], deadline: float
    ) -> list[Response]:
        """Run statements unless the endpoint is cut off."""
        if self._cuts.apply_to(self.endpoint, self.organisation):
            self._conn.close()
            raise EndpointConnectionError(
                ResponseLoss.CONNECTION_LOST, 'the endpoint is cut off'
            )
        responses = await self._conn.run(commands, deadline)
        self.state = self._conn.state
        return responses

    def is_usable(self) -> bool:
        """Return whether the connection is open and idle."""
        return self._conn.is_usable()

    def close(self) -> None:
        """Close the connection."""
        self._conn.close()


class CutConnector:
    """Opens connections except to endpoints that are cut off.

    Args:
        connector: connector of the node.
        cuts: what the node does not reach.

    """

    def __init__(self, connector: EndpointConnector, cuts: Cuts) -> None:
        """Wrap a connector."""
        self._connector = connector
        self._cuts = cuts
        self.set_variable = connector.set_variable
        self.prepare = connector.prepare
        self.deallocate = connector.deallocate
        self.execute = connector.execute
        self.reset = connector.reset
        self.status = connector.status
        self.fence = connector.fence
        self.unfence = connector.unfence
        self.demote = connector.demote
        self.read_status = connector.read_status

    async def connect(
        self,
        endpoint: str,
        organisation: str,
        *,
        connect_by: float,
        deadline: float,
    ) -> EndpointConnection:
        """Open a connection unless the endpoint is cut off."""
        if self._cuts.apply_to(endpoint, organisation):
            raise EndpointUnreachableError(
                ResponseLoss.NOT_SENT, f'{endpoint}: cut off'
            )
        conn = await self._connector.connect(
            endpoint, organisation, connect_by=connect_by, deadline=deadline
        )
        return CutConnection(conn, self._cuts)
