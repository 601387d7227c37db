"""What obtains the statuses of endpoints, and what it depends on."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from trefoilhitch._generated.peer import (
    MemberBeat,
    StatusReport,
    StatusRequest,
)
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.gateway_messages import write_status
from trefoilhitch.pooler.membership_view import MembershipView
from trefoilhitch.pooler.peer_client import PeerClient
from trefoilhitch.pooler.ports import EndpointStatus


class StatusSource(Protocol):
    """Obtains the statuses of endpoints."""

    async def run(self) -> None:
        """Run the requests that callers share, until cancelled."""

    async def request(self, endpoint: str) -> EndpointStatus | None:
        """Return a status that was requested after this call.

        Args:
            endpoint: id of the endpoint.

        Returns:
            The status, None if the request failed.

        """

    async def answer(self, request: StatusRequest) -> StatusReport:
        """Answer another node's request for a status.

        Args:
            request: the request.

        Returns:
            A status that was requested after this call.

        """


class GatewayFinder(Protocol):
    """Finds the gateways to an endpoint."""

    def rank(self, endpoint: str, subject: str) -> tuple[MemberBeat, ...]:
        """Return the gateways, the first choice first."""

    def holds_connections(self, endpoint: str) -> bool:
        """Return whether this node is a gateway to an endpoint."""

    def is_own(self, endpoint: str, subject: str) -> bool:
        """Return whether this node is the first choice."""

    @property
    def are_used(self) -> bool:
        """Whether gateways hold the connections."""


@dataclass(frozen=True, slots=True)
class StatusDependencies:
    """Dependencies of a source of statuses.

    Args:
        gateways: finds the gateways to an endpoint.
        membership: the known nodes.
        client: sends requests to other nodes.
        fetch: requests a status over a connection of this node.
        service_of: returns the service of an endpoint, empty if it is unknown.
        random: spreads the pauses after failures.
        log: records nodes that did not answer.
        metrics: counts the requests.

    """

    gateways: GatewayFinder
    membership: MembershipView
    client: PeerClient
    fetch: Callable[[str], Awaitable[EndpointStatus | None]]
    service_of: Callable[[str], str]
    random: Random
    log: DecisionLog
    metrics: Metrics


def make_report(status: EndpointStatus | None) -> StatusReport:
    """Encode a status for another node.

    Args:
        status: the status, None if the endpoint did not answer.

    Returns:
        The message.

    """
    return write_status(status) if status else StatusReport(answered=False)
