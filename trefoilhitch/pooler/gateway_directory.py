"""The gateways as this node sees them, computed when the members change."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from trio import current_time

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.pooler.catalogue import Catalogue
from trefoilhitch.pooler.control.capacity_ranking import are_capacities_known
from trefoilhitch.pooler.current_declaration import CurrentDeclaration
from trefoilhitch.pooler.gateway_placement import (
    BACKUP_CONNECTIONS,
    Capacity,
    GatewaySet,
    choose_gateways,
    choose_strong_gateways,
    uses_gateways,
)
from trefoilhitch.pooler.membership_view import MembershipView

# A change of the members reaches all nodes within some 2 s.
TRANSITION_S = 2.0


@dataclass(frozen=True, slots=True)
class GatewayTransition:
    """A change of the way in which all gateways are chosen.

    It happens when the first or the last node without a known capacity joins
    or leaves. It changes the gateways of all data centres at once, and other
    nodes learn of it at other times. Until all have, a new gateway takes over
    neither rates nor connections that a former one may still use.

    Args:
        former: the gateways before, by data centre.
        ends_at: when all nodes choose alike.

    """

    former: Mapping[str, GatewaySet]
    ends_at: float


@dataclass(frozen=True, slots=True)
class _Version:
    """What the gateways were computed from."""

    members: int
    revision: int


class GatewayDirectory:
    """Tells which nodes hold connections, and for which organisations.

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
        self._transition: GatewayTransition | None = None
        self._by_capacity: bool | None = None
        self._membership = membership
        self._declaration = declaration
        self._data_centres = data_centres
        self._window_s = window_s
        self._version = _Version(-1, -1)
        self._active = False
        self._gateways: Mapping[str, GatewaySet] = {}
        self._ranked: dict[tuple[str, str], tuple[MemberBeat, ...]] = {}

    @property
    def is_active(self) -> bool:
        """Whether gateways hold the connections."""
        self._refresh()
        return self._active

    @property
    def is_in_transition(self) -> bool:
        """Whether other nodes may still choose the gateways differently."""
        self._refresh()
        if self._transition and self._clock() >= self._transition.ends_at:
            self._transition = None
        return self._transition is not None

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
        key = data_centre, organisation
        ranked = self._ranked.get(key)
        if ranked is None:
            ranked = self._gateway_set(data_centre).rank(organisation)
            self._ranked[key] = ranked
        return ranked

    def holds_rate(self, organisation: str) -> bool:
        """Return whether this node holds a part of an organisation's rate.

        Args:
            organisation: name of the organisation.

        Returns:
            True on each node without gateways, else on the first gateway of
            the organisation in its data centre.

        """
        if not self.is_active:
            return True
        own = self._membership.heartbeat
        ranked = self.rank(own.data_centre, organisation)
        if not ranked or ranked[0].node != own.node:
            return False
        return not self.is_in_transition or self._held_before(organisation)

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
            One gateway of each data centre but this node.

        """
        first = [
            self.rank(name, organisation)[:1] for name in self._data_centres
        ]
        own = self._membership.heartbeat.node
        return [
            node for holders in first for node in holders if node.node != own
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
        cap = self._gateway_set(data_centre).connection_cap(own, connections)
        if self._transition is not None and self.is_in_transition:
            former = self._transition.former.get(data_centre, GatewaySet())
            held = former.connection_cap(own, connections)
            return min(cap, max(held, BACKUP_CONNECTIONS))
        return cap

    def _held_before(self, organisation: str) -> bool:
        """Return whether this node was the first gateway before a change."""
        if self._transition is None:
            return True
        own = self._membership.heartbeat
        former = self._transition.former.get(own.data_centre, GatewaySet())
        first = former.rank(organisation)[:1]
        return own.node in {each.node for each in first}

    def _gateway_set(self, data_centre: str) -> GatewaySet:
        return self._gateways.get(data_centre, GatewaySet())

    def _refresh(self) -> None:
        version = _Version(self._membership.version, self._declaration.revision)
        if version == self._version:
            return
        self._version = version
        self._ranked = {}
        catalogue = self._declaration.catalogue
        if catalogue is not None:
            self._compute(catalogue)

    def _compute(self, catalogue: Catalogue) -> None:
        capacity = Capacity.from_catalogue(catalogue, self._window_s)
        node_count = len(self._membership.possibly_active())
        self._active = uses_gateways(capacity, node_count)
        live = self._membership.live()
        self._apply_selection_mode(by_capacity=are_capacities_known(live))
        choose = (
            choose_strong_gateways if self._by_capacity else choose_gateways
        )
        self._gateways = {
            name: choose(name, live, capacity.connections)
            for name in self._data_centres
        }

    def _apply_selection_mode(self, *, by_capacity: bool) -> None:
        """Begin a transition if all gateways are chosen in another way."""
        if self._by_capacity not in {None, by_capacity}:
            self._transition = GatewayTransition(
                self._gateways, self._clock() + TRANSITION_S
            )
        self._by_capacity = by_capacity
