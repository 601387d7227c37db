"""State of the endpoints and primaries, as one node knows it."""

import math
from collections.abc import Callable, Collection, Sequence
from dataclasses import replace
from functools import partial

from trio import Event

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.pooler.acknowledged_positions import AcknowledgedPositions
from trefoilhitch.pooler.balancing.endpoint_loads import EndpointLoads
from trefoilhitch.pooler.balancing.lag_ranking import rank_with_trials
from trefoilhitch.pooler.balancing.log_positions import LogPositions
from trefoilhitch.pooler.balancing.position_observer import (
    PositionObserver,
)
from trefoilhitch.pooler.balancing.read_balancer import (
    ReadBalancer,
)
from trefoilhitch.pooler.balancing.trial_turn import TrialTurn
from trefoilhitch.pooler.circuit_breakers import CircuitBreakers
from trefoilhitch.pooler.commit_tracker import CommitTracker
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.endpoint_registry import (
    DEFAULT_DRAIN_TIMEOUT_S,
    EndpointRegistry,
)
from trefoilhitch.pooler.endpoint_selection import (
    OTHER_REGION,
    EndpointSelector,
    ReadRequirements,
    Target,
    choose_begin_target,
    choose_read_target,
    position_needed,
)
from trefoilhitch.pooler.evacuation.evacuated_data_centres import (
    EvacuatedDataCentres,
)
from trefoilhitch.pooler.evacuation.evacuated_endpoints import (
    EvacuatedEndpoints,
)
from trefoilhitch.pooler.failover_decision import PrimaryEvidence
from trefoilhitch.pooler.observations import (
    ObservationHistory,
    PrimaryObservation,
)
from trefoilhitch.pooler.primary_tracker import Primary, PrimaryTracker
from trefoilhitch.pooler.suspension_check import SuspensionCheck

# How long an endpoint is avoided that did not respond or was unreachable.
AVOID_SILENT_S = 2.0
# How long an endpoint is avoided that closed a connection.
AVOID_CLOSED_S = 0.5
# How long a replica is avoided after it refused a read because of its position,
# unless its log is known to be behind: then reads are chosen by its position.
AVOID_LAGGING_S = 0.4
# A planned change of the primary is complete within this time.
PLANNED_CHANGE_S = 1.0


class ClusterState:
    """Combines directory entries, proofs, failures and commits.

    Args:
        selector: ranks endpoints for reads.
        log: receives changes of primaries.
        clock: returns seconds on a clock that includes suspended time.
        drain_timeout_s: how long a leaving endpoint serves, in seconds.
        evacuation_timeout_s: time after which no statement may reach an
            evacuated data centre, in seconds; None without evacuations.
        draw: returns a random number from 0 to 1, by which reads are divided
            among endpoints; None to send all to the nearest one.
        breakers: circuit breakers of the endpoints, None for new ones.
        turn: returns the turn of this node in trying replicas that are
            expected to lag; None to take no account of their positions.

    """

    def __init__(
        self,
        *,
        selector: EndpointSelector,
        log: DecisionLog,
        clock: Callable[[], float],
        drain_timeout_s: float = DEFAULT_DRAIN_TIMEOUT_S,
        evacuation_timeout_s: float | None = None,
        draw: Callable[[], float] | None = None,
        breakers: CircuitBreakers | None = None,
        turn: Callable[[], TrialTurn] | None = None,
    ) -> None:
        """Create an empty state."""
        data_centres = EvacuatedDataCentres(evacuation_timeout_s or math.inf)
        self.endpoints = EndpointRegistry(drain_timeout_s, data_centres)
        self.evacuated = EvacuatedEndpoints(
            data_centres=data_centres, find=self.find, clock=clock
        )
        self.observations = ObservationHistory()
        self.positions = PositionObserver(
            _make_positions(self, turn),
            self.find,
            clock,
        )
        self.commits = CommitTracker()
        self._acknowledged = AcknowledgedPositions()
        self.selector = selector
        self.loads = EndpointLoads()
        self.breakers = breakers or CircuitBreakers()
        self.clock = clock
        self._primaries = PrimaryTracker()
        self.balancer = ReadBalancer(selector, self.loads, draw)
        self._log = log
        self._changed = Event()
        self._suspension = SuspensionCheck(clock, log)
        self._unanswered: dict[str, float] = {}
        self._no_primary_since: dict[str, float] = {}

    @property
    def acknowledged(self) -> AcknowledgedPositions:
        """Commits whose acknowledgements this node passed on."""
        return self._acknowledged

    def primary(self, service: str) -> str | None:
        """Return the endpoint to use as the primary of a service.

        Args:
            service: service name.

        Returns:
            Endpoint id, None if no primary is known.

        """
        primary = self.known_primary(service)
        if primary is None:
            self._no_primary_since.setdefault(service, self.clock())
        else:
            self._no_primary_since.pop(service, None)
        return primary

    def known_primary(self, service: str) -> str | None:
        """Return the primary without recording since when there is none.

        Args:
            service: service name.

        Returns:
            Endpoint id, None if no primary is known.

        """
        holders = self.endpoints.log_holders(service)
        return self._primaries.current(service, holders)

    def needed_position(
        self, service: str, endpoint: str
    ) -> LogPosition | None:
        """Return the position that an endpoint needs to count as a holder.

        Args:
            service: service name.
            endpoint: endpoint id.

        Returns:
            The position, None unless it started again under its id.

        """
        history = self.observations.history(service)
        return self.endpoints.restarted.needed_position(endpoint, history)

    def expects_primary(self, service: str) -> bool:
        """Return whether a service is expected to have a primary soon.

        Args:
            service: service name.

        Returns:
            True if it has no known primary, but had one a moment ago.

        """
        since = self._no_primary_since.get(service)
        if since is None:
            return False
        return self.clock() - since < PLANNED_CHANGE_S

    def proved_term(self, service: str) -> int:
        """Return the latest proved term of a service.

        Args:
            service: service name.

        Returns:
            The term, 0 if nothing was proved.

        """
        return self._primaries.term(service)

    def record_proof(
        self,
        primary: Primary,
        position: LogPosition,
        sent_at: float,
        source: str,
    ) -> None:
        """Record a proof that an endpoint is the primary.

        Args:
            primary: endpoint and its term.
            position: end of its log.
            sent_at: when the request was sent.
            source: source of the proof, for the log.

        """
        observation = PrimaryObservation(
            primary.service, primary.endpoint, primary.term, position, sent_at
        )
        if primary.term >= self.proved_term(primary.service):
            is_first = self.observations.newest(primary.service) is None
            self.observations.add(observation)
            self._acknowledged.observe(observation)
            self.endpoints.restarted.observe(observation, self.clock())
            self.record_answered(primary.service, sent_at)
            if is_first:
                self.notify_change()
        self.record_primary(primary, source)

    def record_answered(self, service: str, sent_at: float) -> None:
        """Record that the primary responded, without proof that it still is.

        Args:
            service: service name.
            sent_at: when the request was sent.

        """
        since = self._unanswered.get(service)
        if since is not None and since <= sent_at:
            self._unanswered.pop(service)

    def record_primary(self, primary: Primary, source: str) -> None:
        """Record a primary without a proof of a time.

        Args:
            primary: endpoint and its term.
            source: source of the statement, for the log.

        """
        if self._primaries.record_proof(primary):
            self._log.event(
                'lead_changed',
                service=primary.service,
                endpoint=primary.endpoint,
                term=primary.term,
                source=source,
            )
            self.notify_change()

    def record_not_primary(
        self, service: str, endpoint: str, source: str
    ) -> None:
        """Record that an endpoint responded that it is not the primary.

        Args:
            service: service name.
            endpoint: endpoint id.
            source: request that it refused, for the log.

        """
        if self._primaries.record_not_primary(service, endpoint):
            self._log.event(
                'lead_lost', service=service, endpoint=endpoint, source=source
            )
            self.notify_change()

    def record_unanswered(
        self, service: str, sent_at: float, timeout_s: float = 0
    ) -> None:
        """Record that the primary did not respond to a request.

        Args:
            service: service name.
            sent_at: when the request was sent.
            timeout_s: timeout of the request in seconds; 0 skips the check
                whether this process was suspended.

        """
        if self._suspension.was_suspended(service, sent_at, timeout_s):
            return
        newest = self.observations.newest(service)
        if newest is not None and newest.sent_at >= sent_at:
            return
        self._unanswered.setdefault(service, sent_at)

    def record_commit_overdue(
        self, service: str, endpoint: str, sent_at: float, timeout_s: float
    ) -> None:
        """Record that the primary did not acknowledge a commit.

        Args:
            service: service name.
            endpoint: endpoint id.
            sent_at: when the commit was sent.
            timeout_s: how long the response was awaited, in seconds.

        """
        if not self._suspension.was_suspended(service, sent_at, timeout_s):
            self.commits.record_overdue(service, endpoint, sent_at)

    def evidence(self, service: str, primary: str | None) -> PrimaryEvidence:
        """Return what is known about failures of a service's primary.

        Args:
            service: service name.
            primary: id of the known primary, None if there is none.

        Returns:
            The evidence.

        """
        progress = self.commits.progress(service, primary or '')
        return PrimaryEvidence(
            unanswered_since=self._unanswered.get(service),
            unacknowledged_since=progress.first_overdue_sent_at,
        )

    def choose_read_target(
        self, requirements: ReadRequirements, now: float, tried: Collection[str]
    ) -> Target | None:
        """Choose the target of a read.

        Args:
            requirements: requirements of the read.
            now: monotonic time.
            tried: endpoints that could not run it.

        Returns:
            The target, None if no endpoint can run the read now.

        """
        service = requirements.route.service
        primary = self.evacuated.unless_excluded(self.primary(service))
        untried = usable_untried(self.endpoints, service, tried)
        drawn = self.balancer.draw()
        ranking, handling = rank_with_trials(
            partial(self.balancer.rank, untried, primary, now, drawn),
            expected_to_lag(self, untried, primary, requirements),
            # A read that was refused once does not try another replica.
            lambda endpoint: (
                not tried
                and self.positions.may_try(endpoint, requirements.sent_at)
            ),
        )
        target = choose_read_target(
            requirements, ranking.records, primary, self.observations, tried
        )
        if target is None or target.requires_primary_proof:
            return target
        return replace(target, choice=ranking.kind, lag_handling=handling)

    def choose_begin_target(
        self, requirements: ReadRequirements
    ) -> Target | None:
        """Choose the target of a transaction that may write.

        Args:
            requirements: requirements of the transaction's reads.

        Returns:
            The target, None if no primary is known.

        """
        primary = self.primary(requirements.route.service)
        permitted = self.evacuated.unless_excluded(primary)
        return choose_begin_target(requirements, permitted, self.observations)

    def find(self, endpoint: str) -> EndpointRecord | None:
        """Return the entry of an endpoint.

        Args:
            endpoint: endpoint id.

        Returns:
            The entry, None if there is none.

        """
        return self.endpoints.get(endpoint)

    def record_reached(self, endpoint: str) -> None:
        """Record that an endpoint responded to this node.

        Args:
            endpoint: endpoint id.

        """
        self.selector.clear_failure(endpoint)
        if self.breakers.record_success(endpoint):
            self.notify_change()

    def notify_change(self) -> None:
        """Wake all tasks that wait for a change."""
        self._changed.set()
        self._changed = Event()

    async def wait_for_change(self) -> None:
        """Wait until a change may allow a waiting statement to run."""
        await self._changed.wait()


def primary_data_centre(cluster: ClusterState, service: str) -> str:
    """Return the data centre of a service's primary.

    Args:
        cluster: state of this node.
        service: service name.

    Returns:
        The data centre, empty if it is unknown.

    """
    primary = cluster.primary(service)
    record = cluster.find(primary) if primary else None
    return record.data_centre if record else ''


def usable_untried(
    endpoints: EndpointRegistry, service: str, tried: Collection[str]
) -> list[EndpointRecord]:
    """Return the usable endpoints of a service that were not tried.

    Args:
        endpoints: the known endpoints.
        service: service name.
        tried: ids of endpoints to leave out.

    """
    return [
        record
        for record in endpoints.usable(service)
        if record.endpoint not in tried
    ]


def expected_to_lag(
    cluster: ClusterState,
    records: Sequence[EndpointRecord],
    primary: str | None,
    requirements: ReadRequirements,
) -> Collection[str]:
    """Return which replicas are not expected to have what a read requires.

    Args:
        cluster: state of this node.
        records: usable endpoints.
        primary: id of the known primary, None if there is none.
        requirements: requirements of the read.

    Returns:
        Endpoint ids.

    """
    return cluster.positions.expected_to_lag(
        [record for record in records if record.endpoint != primary],
        position_needed(requirements, cluster.observations),
        requirements.sent_at,
    )


def record_lagging(cluster: ClusterState, endpoint: str, now: float) -> None:
    """Record that a replica did not have the position of a read.

    If its log is known to be behind, endpoints are chosen by that. It may also
    lack a commit of a moment ago.

    Args:
        cluster: state of this node.
        endpoint: endpoint id.
        now: monotonic time.

    """
    if not cluster.positions.is_lagging(endpoint):
        cluster.selector.mark_lagging(endpoint, now + AVOID_LAGGING_S)


def _make_positions(
    cluster: ClusterState, turn: Callable[[], TrialTurn] | None
) -> LogPositions | None:
    if turn is None:
        return None
    return LogPositions(cluster.observations, turn, partial(_is_far, cluster))


def _is_far(cluster: ClusterState, endpoint: str) -> bool:
    record = cluster.find(endpoint)
    return record is None or (
        cluster.selector.distance(record.data_centre) == OTHER_REGION
    )
