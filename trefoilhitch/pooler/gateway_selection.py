"""The gateways of all data centres, chosen among the same nodes."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.pooler.control.capacity_ranking import are_capacities_known
from trefoilhitch.pooler.gateway_placement import (
    GatewaySet,
    choose_gateways,
    choose_strong_gateways,
)

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


class GatewaySelection:
    """Chooses the gateways, and remembers them while others may differ.

    Args:
        data_centres: names of all data centres of the deployment.

    """

    def __init__(self, data_centres: tuple[str, ...]) -> None:
        """Start without gateways."""
        # Number that increases with each choice.
        self.version = 0
        self._data_centres = data_centres
        self._by_capacity: bool | None = None
        self._gateways: Mapping[str, GatewaySet] = {}
        self._ranked: dict[tuple[str, str], tuple[MemberBeat, ...]] = {}
        self._transition: GatewayTransition | None = None

    def choose(
        self, nodes: Sequence[MemberBeat], connections: int, now: float
    ) -> None:
        """Choose the gateways.

        Args:
            nodes: nodes of all data centres.
            connections: connections that the most limited endpoint accepts.
            now: time in seconds.

        """
        by_capacity = are_capacities_known(nodes)
        if self._by_capacity not in {None, by_capacity}:
            self._transition = GatewayTransition(
                self._gateways, now + TRANSITION_S
            )
        self._by_capacity = by_capacity
        choose = choose_strong_gateways if by_capacity else choose_gateways
        self._gateways = {
            name: choose(name, nodes, connections)
            for name in self._data_centres
        }
        self._ranked = {}
        self.version += 1

    def of(self, data_centre: str) -> GatewaySet:
        """Return the gateways of a data centre.

        Args:
            data_centre: name of the data centre.

        """
        return self._gateways.get(data_centre, GatewaySet())

    def former(self, data_centre: str, now: float) -> GatewaySet | None:
        """Return the gateways that other nodes may still choose.

        Args:
            data_centre: name of the data centre.
            now: time in seconds.

        Returns:
            The gateways before a transition, None outside of one.

        """
        if self._transition is None or not self.is_in_transition(now):
            return None
        return self._transition.former.get(data_centre, GatewaySet())

    def is_in_transition(self, now: float) -> bool:
        """Return whether other nodes may still choose differently.

        Args:
            now: time in seconds.

        """
        if self._transition and now >= self._transition.ends_at:
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
        key = data_centre, organisation
        ranked = self._ranked.get(key)
        if ranked is None:
            ranked = self.of(data_centre).rank(organisation)
            self._ranked[key] = ranked
        return ranked
