"""The gateways and the holders of rates, as this node sees the members."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from trio import current_time

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.pooler.catalogue import Catalogue
from trefoilhitch.pooler.current_declaration import CurrentDeclaration
from trefoilhitch.pooler.gateway_placement import (
    BACKUP_CONNECTIONS,
    Capacity,
    uses_gateways,
)
from trefoilhitch.pooler.gateway_selection import GatewaySelection
from trefoilhitch.pooler.membership_view import MembershipView


@dataclass(frozen=True, slots=True)
class _Version:
    """What the gateways were computed from."""

    members: int
    revision: int


@dataclass(frozen=True, slots=True)
class _Candidates:
    """What the holders of rates were chosen from.

    Members often change their state without any effect on the choice, as when
    many are found failed in a partition.
    """

    nodes: tuple[tuple[str, str, str, int], ...]
    connections: int

    @classmethod
    def of(cls, nodes: Sequence[MemberBeat], connections: int) -> '_Candidates':
        """Return what the choice among nodes follows from."""
        return cls(
            tuple(
                (each.node, each.address, each.data_centre, each.capacity)
                for each in nodes
            ),
            connections,
        )


@dataclass(frozen=True, slots=True)
class RateHolderVersion:
    """What the holders of rates follow from.

    Args:
        choice: number of the choice among the nodes that may be active; without
            gateways, that of the change of the members.
        is_active: whether gateways hold the rates.
        in_transition: whether other nodes may still choose other holders.

    """

    choice: int
    is_active: bool
    in_transition: bool


class GatewayDirectory:
    """Tells which nodes hold connections and rates of which organisations.

    Connections are held by gateways that are live. A part of a rate must have
    one holder on all nodes together, also in a partition, in which each side
    takes the other for failed. So its holder is chosen in the same way among
    all nodes that may be active. While it is failed, its part is not used.

    Args:
        membership: the known nodes.
        declaration: declaration in force.
        data_centres: names of all data centres of the deployment.
        window_s: length of the window in which operations are counted.
        clock: returns seconds on a clock that includes suspended time.

    """

    def __init__(
        self,
        *,
        membership: MembershipView,
        declaration: CurrentDeclaration,
        data_centres: tuple[str, ...],
        window_s: float,
        clock: Callable[[], float] = current_time,
    ) -> None:
        """Start without gateways."""
        self._clock = clock
        self._membership = membership
        self._declaration = declaration
        self._data_centres = data_centres
        self._window_s = window_s
        self._version = _Version(-1, -1)
        self._active = False
        self._live_names: frozenset[str] = frozenset()
        self._serving = GatewaySelection(data_centres)
        self._holding = GatewaySelection(data_centres)
        self._chosen_from: _Candidates | None = None

    @property
    def is_active(self) -> bool:
        """Whether gateways hold the connections."""
        self._refresh()
        return self._active

    @property
    def is_in_transition(self) -> bool:
        """Whether other nodes may still choose the gateways differently."""
        self._refresh()
        return self._serving.is_in_transition(self._clock())

    @property
    def rate_holder_version(self) -> RateHolderVersion:
        """Value that changes whenever the holders of rates may change."""
        is_active = self.is_active
        choice = self._holding.version if is_active else self._version.members
        return RateHolderVersion(
            choice, is_active, self._holding.is_in_transition(self._clock())
        )

    def rank(
        self, data_centre: str, organisation: str
    ) -> tuple[MemberBeat, ...]:
        """Return the gateways of an organisation to a data centre's endpoints.

        Args:
            data_centre: data centre of the endpoints.
            organisation: name of the organisation.

        Returns:
            Gateways, the first choice first, and the backup last.

        """
        self._refresh()
        return self._serving.rank(data_centre, organisation)

    def holds_rate(self, organisation: str) -> bool:
        """Return whether this node holds a part of an organisation's rate.

        Args:
            organisation: name of the organisation.

        Returns:
            True on each node without gateways, else on the first choice of
            the organisation among the nodes of its data centre that may be
            active.

        """
        if not self.is_active:
            return True
        data_centre = self._membership.heartbeat.data_centre
        ranked = self._holding.rank(data_centre, organisation)
        former = self._holding.former(data_centre, self._clock())
        if former is None or not self._is_first(ranked):
            return self._is_first(ranked)
        return self._is_first(former.rank(organisation))

    def rate_holder_count(self) -> int:
        """Return among how many nodes each rate is divided.

        The number does not depend on which nodes are reachable, so that the
        parts never add up to more than the rate.
        """
        if self.is_active:
            return len(self._data_centres)
        return len(self._membership.possibly_active())

    def rate_holders(self, organisation: str) -> list[MemberBeat]:
        """Return the other nodes that hold parts of an organisation's rate.

        Args:
            organisation: name of the organisation.

        Returns:
            One node of each data centre but this node and failed ones, which
            do not respond.

        """
        self._refresh()
        first = [
            self._holding.rank(name, organisation)[:1]
            for name in self._data_centres
        ]
        askable = self._live_names - {self._membership.heartbeat.node}
        return [
            node
            for holders in first
            for node in holders
            if node.node in askable
        ]

    def connection_cap(self, data_centre: str, connections: int) -> int:
        """Return how many connections this node may hold to an endpoint.

        Args:
            data_centre: data centre of the endpoint.
            connections: connections that the endpoint accepts.

        Returns:
            The number; 0 if this node is not a gateway to it.

        """
        self._refresh()
        own = self._membership.heartbeat.node
        cap = self._serving.of(data_centre).connection_cap(own, connections)
        former = self._serving.former(data_centre, self._clock())
        if former is None:
            return cap
        held = former.connection_cap(own, connections)
        return min(cap, max(held, BACKUP_CONNECTIONS))

    def _is_first(self, ranked: Sequence[MemberBeat]) -> bool:
        own = self._membership.heartbeat.node
        return bool(ranked) and ranked[0].node == own

    def _refresh(self) -> None:
        version = _Version(self._membership.version, self._declaration.revision)
        if version == self._version:
            return
        self._version = version
        catalogue = self._declaration.catalogue
        if catalogue is not None:
            self._choose(catalogue)

    def _choose(self, catalogue: Catalogue) -> None:
        capacity = Capacity.from_catalogue(catalogue, self._window_s)
        live = self._membership.live()
        possibly_active = self._membership.possibly_active()
        now = self._clock()
        self._active = uses_gateways(capacity, len(possibly_active))
        self._live_names = frozenset(node.node for node in live)
        self._serving.choose(live, capacity.connections, now)
        candidates = _Candidates.of(possibly_active, capacity.connections)
        if candidates != self._chosen_from:
            self._chosen_from = candidates
            self._holding.choose(possibly_active, capacity.connections, now)
