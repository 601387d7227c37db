"""Circuit breakers for the gateways that statements are sent to."""

from typing import Protocol

from trio import current_time

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.pooler.circuit_breakers import CircuitBreakers
from trefoilhitch.pooler.peer_client import PeerClient


class GatewayBreakers(Protocol):
    """Tell which gateways a statement may be sent to."""

    def may_attempt(self, gateway: MemberBeat) -> bool:
        """Return whether a statement may be sent to a gateway.

        Args:
            gateway: the gateway.

        """

    def is_blocked(self, gateway: MemberBeat) -> bool:
        """Return whether no statement may be sent, without starting a trial.

        Args:
            gateway: the gateway.

        """

    def record_failure(self, gateway: MemberBeat) -> None:
        """Record that a gateway accepted no connection.

        Args:
            gateway: the gateway.

        """

    def record_success(self, gateway: MemberBeat) -> None:
        """Record that a gateway answered.

        Args:
            gateway: the gateway.

        """


class CountingBreakers:
    """Count the statements that could not be sent; some serve as trials."""

    def __init__(self) -> None:
        """Start without failures."""
        self._circuits = CircuitBreakers()

    def may_attempt(self, gateway: MemberBeat) -> bool:
        """Return whether the gateway may be tried; see `GatewayBreakers`."""
        return self._circuits.may_attempt(gateway.node, current_time())

    def is_blocked(self, gateway: MemberBeat) -> bool:
        """Return whether no trial is due; see `GatewayBreakers`."""
        return self._circuits.is_blocked(gateway.node, current_time())

    def record_failure(self, gateway: MemberBeat) -> None:
        """Count a failure; see `GatewayBreakers`."""
        self._circuits.record_failure(gateway.node, current_time())

    def record_success(self, gateway: MemberBeat) -> None:
        """Forget the failures; see `GatewayBreakers`."""
        self._circuits.record_success(gateway.node)


class SharedBreakers:
    """Follow what all requests of this node found out about a gateway.

    A gateway that accepts no new connections is left, even if some are open:
    behind a partition, statements on these would wait until their deadlines.

    Args:
        client: sends requests to other nodes.

    """

    def __init__(self, client: PeerClient) -> None:
        """Store the client."""
        self._client = client

    def may_attempt(self, gateway: MemberBeat) -> bool:
        """Return whether the gateway may be tried; see `GatewayBreakers`."""
        return not self.is_blocked(gateway)

    def is_blocked(self, gateway: MemberBeat) -> bool:
        """Return whether it accepts no connections; see `GatewayBreakers`."""
        return not self._client.accepts_connections(gateway.address)

    def record_failure(self, gateway: MemberBeat) -> None:
        """Ignore a failure, which the client records itself."""

    def record_success(self, gateway: MemberBeat) -> None:
        """Ignore a success, which the client records itself."""
