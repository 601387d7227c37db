"""Routes statements by this node's view of a group; logs each decision."""

from collections import Counter
from collections.abc import Collection
from random import Random
from typing import Literal, TypeAlias

from trio import current_time

from trefoilhitch._generated.messages import LogPosition, StatementRequest
from trefoilhitch._generated.peer import EndpointView
from trefoilhitch._generated.record import Candidate, RouteRecord
from trefoilhitch.config import ConfigHolder, location_of
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.group_state import GroupState
from trefoilhitch.membership import Membership
from trefoilhitch.placement import distance
from trefoilhitch.position import ORIGIN
from trefoilhitch.routing import Route, RouteCriteria, choose_route

Role: TypeAlias = Literal['primary', 'replica', 'fenced']
MAX_EXPECTED_LAG_MS = 600
STALE_READ_COOLDOWN_S = 0.05
_MS_PER_S = 1000


class Router:
    """Chooses endpoints for statements.

    Args:
        membership: provides the location of this node.
        config: provides the locations of the endpoints.
        log: records routing decisions.
        random: breaks ties between equal endpoints.

    """

    def __init__(
        self,
        *,
        membership: Membership,
        config: ConfigHolder,
        log: DecisionLog,
        random: Random,
    ) -> None:
        """Start with no requests in progress."""
        self._membership = membership
        self._config = config
        self._log = log
        self._random = random
        self._load: Counter[str] = Counter()
        self._cooldown_until: dict[str, float] = {}

    def request_started(self, endpoint: str) -> None:
        """Add a request to the load of an endpoint.

        Args:
            endpoint: name of the endpoint.

        """
        self._load[endpoint] += 1

    def request_finished(self, endpoint: str) -> None:
        """Remove a request from the load of an endpoint.

        Args:
            endpoint: name of the endpoint.

        """
        self._load[endpoint] -= 1

    def record_stale_read(self, endpoint: str) -> None:
        """Record that a replica returned rows older than expected.

        For a short time, it is chosen only if it is known to be fresh.

        Args:
            endpoint: name of the replica.

        """
        self._cooldown_until[endpoint] = current_time() + STALE_READ_COOLDOWN_S

    def criteria(
        self,
        req: StatementRequest,
        seen: LogPosition,
        state: GroupState,
        excluded: Collection[str],
    ) -> RouteCriteria:
        """Return the criteria that an endpoint must meet for a statement.

        Args:
            req: the statement.
            seen: latest position that the client's session has seen.
            state: known state of the group.
            excluded: endpoints on which an attempt has failed.

        Returns:
            The criteria; a maximum age that cannot be proved becomes strict.

        """
        if req.freshness != 'max_age':
            minimum = seen if req.freshness == 'session' else ORIGIN
            return RouteCriteria(req.access, req.freshness, minimum, excluded)
        since = current_time() - req.max_age_ms / _MS_PER_S
        proved = state.minimum_position_since(since)
        if proved is None:
            return RouteCriteria(req.access, 'strict', ORIGIN, excluded)
        return RouteCriteria(req.access, 'max_age', proved, excluded)

    def route(
        self, service: str, criteria: RouteCriteria, state: GroupState
    ) -> Route:
        """Choose an endpoint and log the decision with its inputs.

        Args:
            service: name of the service.
            criteria: what the statement requires of an endpoint.
            state: known state of the group.

        Returns:
            The route.

        """
        candidates = self._candidates(state)
        draw = self._random.random()
        route = choose_route(criteria, candidates, draw)
        self._log.decision(
            RouteRecord(
                kind='route',
                at=current_time(),
                service=service,
                term=state.term,
                access=criteria.access,
                freshness=criteria.freshness,
                minimum_term=criteria.minimum.term,
                minimum_position=criteria.minimum.position,
                candidates=candidates,
                excluded=list(criteria.excluded),
                draw=draw,
                endpoint=route.endpoint,
                reason=route.reason,
            ),
        )
        return route

    def _candidates(self, state: GroupState) -> list[Candidate]:
        declared = self._config.current.endpoints
        own_location = self._membership.identity.location
        primary = declared.get(state.primary)
        primary_location = location_of(primary) if primary else own_location
        return [
            Candidate(
                name=view.name,
                role=_role(view, state.primary),
                applied_term=view.applied_term,
                applied_position=view.applied_position,
                reachable=view.reachable,
                leaving=view.leaving,
                expected=self._is_expected(view),
                primary_distance=distance(
                    primary_location, location_of(declared[view.name])
                ),
                distance=distance(
                    own_location, location_of(declared[view.name])
                ),
                load=self._load[view.name],
            )
            for view in state.endpoints
            if view.name in declared
        ]

    def _is_expected(self, view: EndpointView) -> bool:
        if view.lag_ms is None or view.lag_ms > MAX_EXPECTED_LAG_MS:
            return False
        return self._cooldown_until.get(view.name, 0) <= current_time()


def _role(view: EndpointView, primary: str) -> Role:
    """Return the role in the newest known term, which the view may predate."""
    if view.name == primary:
        return 'primary'
    return 'fenced' if view.role == 'fenced' else 'replica'
