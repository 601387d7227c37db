"""The relays of this node's data centre, computed when the members change."""

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.pooler.control.status_relays import rank_relays
from trefoilhitch.pooler.membership_view import MembershipView


class RelayDirectory:
    """Tells which nodes request the status of an endpoint.

    Args:
        membership: the known nodes.

    """

    def __init__(self, membership: MembershipView) -> None:
        """Start without rankings."""
        self._membership = membership
        self._version = -1
        self._ranked: dict[str, list[MemberBeat]] = {}

    def rank(self, endpoint: str) -> list[MemberBeat]:
        """Return the relays for an endpoint.

        Args:
            endpoint: id of the endpoint.

        Returns:
            Nodes of the data centre of this node, the first choice first.

        """
        if self._version != self._membership.version:
            self._version = self._membership.version
            self._ranked = {}
        ranked = self._ranked.get(endpoint)
        if ranked is None:
            own = self._membership.heartbeat
            ranked = rank_relays(endpoint, own, self._membership.live())
            self._ranked[endpoint] = ranked
        return ranked
