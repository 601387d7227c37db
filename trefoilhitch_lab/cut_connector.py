"""Endpoint connections of one node that can be cut."""

from collections.abc import Sequence

from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.ports import (
    Command,
    EndpointConnection,
    EndpointConnectionError,
    EndpointConnector,
    EndpointUnreachableError,
)
from trefoilhitch.pooler.response import Response


class CutConnection:
    """A connection that fails while its endpoint is cut off.

    Args:
        conn: the connection.
        cut_endpoints: ids of the endpoints that the node does not reach.

    """

    def __init__(
        self, conn: EndpointConnection, cut_endpoints: set[str]
    ) -> None:
        """Wrap a connection."""
        self.endpoint = conn.endpoint
        self.organisation = conn.organisation
        self.state = conn.state
        self._conn = conn
        self._cut_endpoints = cut_endpoints

    async def run(
        self, commands: Sequence[Command], deadline: float
    ) -> list[Response]:
        """Run statements unless the endpoint is cut off."""
        if self.endpoint in self._cut_endpoints:
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
        cut_endpoints: ids of the endpoints that the node does not reach.

    """

    def __init__(
        self, connector: EndpointConnector, cut_endpoints: set[str]
    ) -> None:
        """Wrap a connector."""
        self._connector = connector
        self._cut_endpoints = cut_endpoints
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
        if endpoint in self._cut_endpoints:
            raise EndpointUnreachableError(
                ResponseLoss.NOT_SENT, f'{endpoint}: cut off'
            )
        conn = await self._connector.connect(
            endpoint, organisation, connect_by=connect_by, deadline=deadline
        )
        return CutConnection(conn, self._cut_endpoints)
