"""What one node knows of the load of all endpoints.

Load pattern: each node sees a few statements of many, so that what it knows of
most endpoints is old. Nodes share what they observed on messages that they send
anyway.
"""

import math
from collections import Counter
from dataclasses import dataclass, field

from msgspec import structs

from trefoilhitch._generated.peer import EndpointLoad
from trefoilhitch.pooler.balancing.load_estimate import (
    LoadEstimate,
    RefusalLevel,
)
from trefoilhitch.pooler.balancing.usual_delay import UsualDelay

# Age from which an observation of this node or of its gateway does not count.
OBSERVATION_VALID_S = 3.0
# Age from which a report of another node does not count.
REPORT_VALID_S = 2.0
# Maximum number of endpoints in one message.
MAX_REPORTS = 16
_MS_PER_S = 1000


def _observed() -> LoadEstimate:
    return LoadEstimate(OBSERVATION_VALID_S)


def _heard() -> LoadEstimate:
    return LoadEstimate(REPORT_VALID_S)


@dataclass(slots=True)
class _Load:
    """Load of one endpoint.

    Args:
        observed: from this node's statements, on its own connections or
            through a gateway.
        heard: from other nodes of the data centre.
        refusals: refusals of this node's statements.
        queues: newest report of each gateway to the endpoint, by its name.

    """

    observed: LoadEstimate = field(default_factory=_observed)
    heard: LoadEstimate = field(default_factory=_heard)
    refusals: RefusalLevel = field(default_factory=RefusalLevel)
    queues: dict[str, LoadEstimate] = field(default_factory=dict)

    @property
    def newest_at(self) -> float:
        """Monotonic time of this node's newest observation."""
        return max(self.observed.observed_at, self.refusals.recorded_at)

    def record_queue(
        self, gateway: str, reported: LoadEstimate, now: float
    ) -> None:
        """Store a gateway's report, and drop those that are outdated.

        Args:
            gateway: name of the gateway.
            reported: its report.
            now: monotonic time.

        """
        if gateway not in self.queues:
            self.queues = {
                name: each
                for name, each in self.queues.items()
                if each.freshness(now)
            }
        self.queues[gateway] = reported

    def in_flight(self, now: float) -> float:
        """Return how many statements at least are in flight.

        It shows a queue before the statements in it have been answered.

        Args:
            now: monotonic time.

        """
        known = sum(
            each.in_flight * each.freshness(now)
            for each in self.queues.values()
        )
        return max(known, self.heard.in_flight * self.heard.freshness(now))

    def delay_s(self, usual_s: float, now: float) -> float:
        """Return the average delay; the older it is, the nearer to the usual.

        Args:
            usual_s: usual delay of the service, in seconds.
            now: monotonic time.

        """
        observed = self.observed.freshness(now)
        heard = self.heard.freshness(now)
        if not observed + heard:
            return usual_s
        total_s = observed * self.observed.delay_s + heard * self.heard.delay_s
        mean_s = total_s / (observed + heard)
        return usual_s + max(observed, heard) * (mean_s - usual_s)


class EndpointLoads:
    """Load of the endpoints.

    Args:
        attempts: number of this node's clients' statements that are in flight
            to each endpoint.
        running: number of statements on this node's connections, also of other
            nodes' clients, that wait for a response or for a connection.

    """

    def __init__(self) -> None:
        """Start without observations."""
        self.attempts: Counter[str] = Counter()
        self.running: Counter[str] = Counter()
        self._loads: dict[str, _Load] = {}
        self._usual: dict[str, UsualDelay] = {}

    def observe(
        self,
        service: str,
        endpoint: str,
        wait_s: float,
        response_s: float,
        now: float,
    ) -> None:
        """Record what a read on this node's connections experienced.

        Args:
            service: service name.
            endpoint: endpoint id.
            wait_s: wait before it was sent, in seconds.
            response_s: time until its response, in seconds, without the
                network's.
            now: monotonic time.

        """
        self._load(endpoint).observed.observe(wait_s, response_s, now)
        self._usual_of(service).observe(wait_s + response_s, now)

    def record_refusal(self, endpoint: str, now: float) -> None:
        """Record that an endpoint refused a statement or lost one.

        Args:
            endpoint: endpoint id.
            now: monotonic time.

        """
        self._load(endpoint).refusals.record(now)

    def apply_gateway_report(
        self, service: str, gateway: str, report: EndpointLoad, now: float
    ) -> None:
        """Apply what the gateway observed that ran a statement of this node.

        Args:
            service: service name.
            gateway: name of the gateway.
            report: its report.
            now: monotonic time.

        """
        reported = _read_report(report, now)
        if not reported.freshness(now):
            # It states only a position.
            return
        load = self._load(report.endpoint)
        load.record_queue(gateway, reported, now)
        if load.observed.merge(reported):
            self._usual_of(service).observe(reported.delay_s, now)

    def apply_peer_report(self, report: EndpointLoad, sent_at: float) -> None:
        """Apply what another node of the data centre observed.

        Args:
            report: the node's report.
            sent_at: monotonic time from which its age counts back.

        """
        reported = _read_report(report, sent_at)
        if reported.freshness(sent_at):
            self._load(report.endpoint).heard.merge(reported)

    def report(self, endpoint: str, now: float) -> EndpointLoad | None:
        """Return what this node observed at an endpoint.

        Args:
            endpoint: endpoint id.
            now: monotonic time.

        Returns:
            The report, None if nothing was observed lately.

        """
        load = self._loads.get(endpoint)
        age_s = math.inf if load is None else now - load.newest_at
        if load is None or age_s >= REPORT_VALID_S:
            return None
        return EndpointLoad(
            endpoint=endpoint,
            wait_ms=_ms(load.observed.wait_s + load.refusals.cost_s(now)),
            response_ms=_ms(load.observed.response_s),
            in_flight=self.running[endpoint],
            age_ms=_ms(age_s),
        )

    def reports(self, now: float) -> list[EndpointLoad]:
        """Return what this node observed lately, for another node.

        Args:
            now: monotonic time.

        Returns:
            The newest reports, each with all statements that this node knows
            to be in flight.

        """
        recent = [
            structs.replace(report, in_flight=self._known_in_flight(name, now))
            for name in self._loads
            if (report := self.report(name, now)) is not None
        ]
        recent.sort(key=lambda report: report.age_ms)
        return recent[:MAX_REPORTS]

    def expected_delay_s(
        self, service: str, endpoint: str, slots: int, now: float
    ) -> float:
        """Return how long a read would wait and run at an endpoint.

        Args:
            service: service name.
            endpoint: endpoint id.
            slots: number of statements that it runs concurrently.
            now: monotonic time.

        Returns:
            Time in seconds, 0 if nothing is known of the service.

        """
        usual = self._usual.get(service)
        usual_s = usual.delay_s if usual else 0
        turn_s = usual_s / max(1, slots)
        own_s = turn_s * self.attempts[endpoint]
        load = self._loads.get(endpoint)
        if load is None:
            return usual_s + own_s
        others = self.running[endpoint] - self.attempts[endpoint]
        queue_s = turn_s * max(others, load.in_flight(now))
        delay_s = max(load.delay_s(usual_s, now), queue_s)
        return delay_s + own_s + load.refusals.cost_s(now)

    def newest_at(self, endpoint: str) -> float | None:
        """Return when the load of an endpoint was last observed.

        Args:
            endpoint: endpoint id.

        Returns:
            Monotonic time of the newest observation or report, None if there
            is none.

        """
        load = self._loads.get(endpoint)
        if load is None:
            return None
        newest_at = max(load.newest_at, load.heard.observed_at)
        return newest_at if math.isfinite(newest_at) else None

    def _known_in_flight(self, endpoint: str, now: float) -> int:
        known = self._load(endpoint).in_flight(now)
        return max(self.running[endpoint], round(known))

    def _load(self, endpoint: str) -> _Load:
        return self._loads.setdefault(endpoint, _Load())

    def _usual_of(self, service: str) -> UsualDelay:
        return self._usual.setdefault(service, UsualDelay())


def _read_report(report: EndpointLoad, sent_at: float) -> LoadEstimate:
    return LoadEstimate(
        REPORT_VALID_S,
        wait_s=report.wait_ms / _MS_PER_S,
        response_s=report.response_ms / _MS_PER_S,
        in_flight=report.in_flight,
        observed_at=sent_at - report.age_ms / _MS_PER_S,
    )


def _ms(duration_s: float) -> int:
    return max(0, round(duration_s * _MS_PER_S))
