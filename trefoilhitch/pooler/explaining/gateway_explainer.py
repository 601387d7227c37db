"""Explains which node would hold the connection to an endpoint."""

from dataclasses import dataclass

from trefoilhitch._generated.peer import ExplainedQueue
from trefoilhitch.pooler.gateway_client import GatewayExecutor
from trefoilhitch.pooler.routed_executor import EndpointGateways
from trefoilhitch.pooler.scheduling.statement_scheduler import (
    StatementScheduler,
)


@dataclass(frozen=True, slots=True)
class ExplainedGateway:
    """The gateway that would hold a connection.

    Args:
        node: name of the gateway, empty if none accepts the request.
        unreachable: names of the nodes that rank before it and are known to
            accept no connections.
        queue: this node's statements at the endpoint; None if another node is
            the gateway, or statements are not limited.

    """

    node: str
    unreachable: tuple[str, ...] = ()
    queue: ExplainedQueue | None = None


class GatewayExplainer:
    """Explains which node would hold the connection to an endpoint.

    Args:
        node: name of this node.
        gateways: finds the gateways to an endpoint.
        remote: runs statements through gateways.
        scheduler: decides when statements are sent from this node.

    """

    def __init__(
        self,
        *,
        node: str,
        gateways: EndpointGateways,
        remote: GatewayExecutor,
        scheduler: StatementScheduler,
    ) -> None:
        """Store the dependencies."""
        self._node = node
        self._gateways = gateways
        self._remote = remote
        self._scheduler = scheduler

    def explain(self, endpoint: str, organisation: str) -> ExplainedGateway:
        """Explain which node would hold the connection.

        Args:
            endpoint: endpoint id.
            organisation: organisation that the request runs for.

        Returns:
            The gateway.

        """
        if self._gateways.is_own(endpoint, organisation):
            return ExplainedGateway(self._node, queue=self._queue(endpoint))
        ranked = self._gateways.rank(endpoint, organisation)
        names = [gateway.node for gateway in ranked]
        expected = self._remote.expected_gateways(endpoint, organisation)
        if not expected:
            return ExplainedGateway('', tuple(names))
        first = expected[0].node
        passed_over = tuple(names[: names.index(first)])
        queue = self._queue(endpoint) if first == self._node else None
        return ExplainedGateway(first, passed_over, queue)

    def _queue(self, endpoint: str) -> ExplainedQueue | None:
        counts = self._scheduler.counts(endpoint)
        if counts is None:
            return None
        return ExplainedQueue(
            waiting=counts.waiting,
            in_flight=counts.in_flight,
            limit=counts.limit,
        )
