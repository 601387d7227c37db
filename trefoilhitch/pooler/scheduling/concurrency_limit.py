"""Limits the statements that one node has in flight to an endpoint.

Load pattern: an endpoint accepts many more connections than it runs statements
at a time, so that work queues in the endpoint, where it is served in the order
of arrival. Several nodes send to an endpoint, unevenly, and its speed changes.
The limit starts at the node's part of the endpoint's slots. It grows while it
is reached and responses take hardly longer than usual for their kind, since the
endpoint then has free slots, and shrinks when they take much longer.

What is usual for a kind of statement is the average of those that were sent
while this node had no more in flight than its part of the slots. From the
others it is learnt only if they are faster: otherwise a queue that this node
itself causes would become usual. The limit never falls below the node's part,
so that all nodes together always fill the slots.
"""

from dataclasses import dataclass, field

# Ratio of the response times to the usual ones up to which the limit grows.
FAST_RATIO = 1.5
# Ratio above which the limit shrinks: statements wait in the endpoint as long
# as they run.
SLOW_RATIO = 2.0
# Smallest factor of one decrease.
MIN_DECREASE = 0.5
# Factor of the decrease after the endpoint rejected a statement as busy, or did
# not answer it in time.
FAILED_DECREASE = 0.7
# Responses between two decreases, so that the second one is decided by
# statements that were sent after the first.
MIN_RESPONSES_BETWEEN_DECREASES = 8
# Weight of the newest response in the averages.
SMOOTHING = 0.1
# Weight of the newest response in the usual time of its kind. It is small since
# other nodes may have caused a queue meanwhile.
LEARNING = 0.02
# Responses of a kind that are averaged regardless of what was in flight.
FIRST_RESPONSES = 10
# Kinds whose usual response times are kept. A node serves some dozen routes.
MAX_KINDS = 256


@dataclass(frozen=True, slots=True)
class SlotBounds:
    """What a node may use of an endpoint.

    Args:
        share: its part of the statements that the endpoint runs at a time.
        connections: how many connections it may hold.

    """

    share: int
    connections: int


@dataclass(frozen=True, slots=True)
class MeasuredResponse:
    """A response of an endpoint.

    Args:
        kind: kind of the statement; those of a kind take about as long.
        latency_s: time from its request to its response, in seconds.
        in_flight: statements in flight when it was sent, with itself.
        failed: whether the endpoint rejected it as busy, or did not answer it
            by its deadline.

    """

    kind: str
    latency_s: float
    in_flight: int
    failed: bool = False


@dataclass(slots=True)
class _KindLatency:
    """Response times of a kind of statement.

    Args:
        usual_s: usual time in seconds.
        recent_s: average of the last times, in seconds.
        responses: number of responses.

    """

    usual_s: float = 0
    recent_s: float = 0
    responses: int = 0

    def record(self, latency_s: float, *, is_unqueued: bool) -> None:
        """Record a response.

        Args:
            latency_s: its time in seconds.
            is_unqueued: whether this node caused no queue in the endpoint.

        """
        self.responses += 1
        weight = max(SMOOTHING, 1 / self.responses)
        self.recent_s += weight * (latency_s - self.recent_s)
        if self.responses <= FIRST_RESPONSES:
            self.usual_s = self.recent_s
        elif is_unqueued or self.recent_s < self.usual_s:
            self.usual_s += LEARNING * (self.recent_s - self.usual_s)


@dataclass(slots=True)
class ConcurrencyLimit:
    """Adaptive limit of the statements in flight from this node.

    Args:
        wanted: the limit before it is bounded by the node's part of the slots
            and by its connections.

    """

    wanted: float = 0
    _kinds: dict[str, _KindLatency] = field(default_factory=dict)
    _measured_s: float = 0
    _expected_s: float = 0
    _until_decrease: int = 0

    @property
    def ratio(self) -> float:
        """Response times in relation to the usual ones."""
        if not self._expected_s:
            return 1
        return self._measured_s / self._expected_s

    def current(self, bounds: SlotBounds) -> int:
        """Return how many statements may be in flight.

        Args:
            bounds: what this node may use of the endpoint.

        Returns:
            The number, at least 1.

        """
        wanted = max(self.wanted, bounds.share)
        return max(1, min(int(wanted), bounds.connections))

    def expected_latency_s(self, kind: str) -> float:
        """Return how long a statement is expected to take once it is sent.

        Args:
            kind: kind of the statement.

        Returns:
            Time in seconds, 0 if it is unknown.

        """
        latency = self._kinds.get(kind)
        return latency.usual_s * max(1, self.ratio) if latency else 0

    def record(
        self, response: MeasuredResponse, bounds: SlotBounds, *, reached: bool
    ) -> None:
        """Adapt the limit to a response.

        Args:
            response: the response.
            bounds: what this node may use of the endpoint.
            reached: whether as many statements were in flight as permitted.

        """
        self._until_decrease -= 1
        if response.failed:
            self._decrease(FAILED_DECREASE, bounds)
            return
        self._average(response, bounds)
        if self.ratio > SLOW_RATIO:
            self._decrease(SLOW_RATIO / self.ratio, bounds)
        elif self.ratio < FAST_RATIO and reached:
            current = self.current(bounds)
            grown = max(self.wanted, current) + 1 / current
            self.wanted = min(grown, max(current, bounds.connections))

    def _average(self, response: MeasuredResponse, bounds: SlotBounds) -> None:
        kind = self._kinds.get(response.kind)
        if kind is None:
            if len(self._kinds) >= MAX_KINDS:
                self._kinds.pop(next(iter(self._kinds)))
            kind = self._kinds.setdefault(response.kind, _KindLatency())
        is_unqueued = response.in_flight <= bounds.share
        kind.record(response.latency_s, is_unqueued=is_unqueued)
        self._measured_s += SMOOTHING * (response.latency_s - self._measured_s)
        self._expected_s += SMOOTHING * (kind.usual_s - self._expected_s)

    def _decrease(self, factor: float, bounds: SlotBounds) -> None:
        if self._until_decrease > 0:
            return
        current = self.current(bounds)
        self._until_decrease = max(MIN_RESPONSES_BETWEEN_DECREASES, current)
        self.wanted = current * max(MIN_DECREASE, factor)
