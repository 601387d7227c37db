"""Decides which statements are sent to an endpoint, wait or are refused.

Load pattern: more statements arrive than an endpoint can run. Statements wait
on this node, where their order can still be changed, instead of in the
endpoint. One that cannot be answered by its deadline is refused when this is
known, the least urgent first, so that its client may go elsewhere. None is
refused while another may be sent.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from trefoilhitch.fair_queue import QueuedRequest
from trefoilhitch.pooler.scheduling.concurrency_limit import (
    ConcurrencyLimit,
    MeasuredResponse,
    SlotBounds,
)
from trefoilhitch.pooler.scheduling.priority_queue import (
    PriorityQueue,
    RequestsAhead,
)
from trefoilhitch.pooler.scheduling.turn_estimate import TurnEstimate

# A statement has to be sent this many times its expected response time before
# its deadline, since the work of statements varies.
RESPONSE_MARGIN = 3
# It may wait for at least this fraction of the time until its deadline, so that
# an estimate that is too long does not refuse everything.
MIN_WAIT_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class Arrival:
    """What becomes of statements when another one arrives.

    Args:
        refused: whether the arriving statement is refused.
        started: statements that may be sent now.
        displaced: waiting statements that are refused in its favour.

    """

    refused: bool = False
    started: tuple[QueuedRequest, ...] = ()
    displaced: tuple[QueuedRequest, ...] = ()


@dataclass(frozen=True, slots=True)
class EndedTurn:
    """A turn that has ended.

    Args:
        is_limited: whether it was subject to the limit.
        duration_s: time since it began, in seconds.
        response: the response of the endpoint, None if there was none.

    """

    is_limited: bool
    duration_s: float
    response: MeasuredResponse | None = None


@dataclass(slots=True)
class EndpointTurns:
    """The turns of statements at one endpoint.

    Args:
        limit: limits the statements in flight.
        in_flight: number of turns that have begun and not ended.
        unlimited: those of them that belong to open transactions.
        readiness: returns which organisations have an idle connection, None if
            that does not matter.

    """

    readiness: Callable[[], Callable[[str], bool]] | None = None
    limit: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    in_flight: int = 0
    unlimited: int = 0
    _queue: PriorityQueue = field(
        default_factory=lambda: PriorityQueue(by_deadline=True)
    )
    _estimate: TurnEstimate = field(default_factory=TurnEstimate)

    def waiting(self) -> dict[int, int]:
        """Return the number of waiting statements by priority."""
        return self._queue.lengths()

    def latest_start(self, kind: str, deadline: float, now: float) -> float:
        """Return when a statement has to be sent to be answered in time.

        Args:
            kind: kind of the statement.
            deadline: monotonic time by which it has to be answered.
            now: monotonic time.

        Returns:
            Monotonic time.

        """
        response_s = self.limit.expected_latency_s(kind) * RESPONSE_MARGIN
        min_wait_s = (deadline - now) * MIN_WAIT_FRACTION
        return max(now + min_wait_s, deadline - response_s)

    def would_refuse(
        self, queued: QueuedRequest, bounds: SlotBounds, now: float
    ) -> bool:
        """Return whether a statement would be refused if it arrived now.

        Args:
            queued: the statement; its deadline is the latest time to send it.
            bounds: what this node may use of the endpoint.
            now: monotonic time.

        Returns:
            False if it would be sent or wait.

        """
        if self.in_flight < self.limit.current(bounds):
            return False
        ahead = self._queue.ahead_of(queued.organisation, queued.priority)
        return self._start_at(queued, ahead, bounds, now) > queued.deadline

    def arrive(
        self, queued: QueuedRequest, bounds: SlotBounds, now: float
    ) -> Arrival:
        """Decide about a statement that arrives.

        Args:
            queued: the statement; its deadline is the latest time to send it.
            bounds: what this node may use of the endpoint.
            now: monotonic time.

        Returns:
            What becomes of it and of others; it waits unless it is refused or
            among those that are started.

        """
        if self.would_refuse(queued, bounds, now):
            return Arrival(refused=True)
        self._estimate.record_arrival(queued.priority, now)
        self._queue.push(queued, now)
        started = self.start_next(bounds, now)
        displaced = self._remove_late(queued.priority, bounds, now)
        return Arrival(started=tuple(started), displaced=tuple(displaced))

    def begin_in_transaction(self) -> None:
        """Begin the turn of a statement of an open transaction."""
        self.in_flight += 1
        self.unlimited += 1

    def end(
        self, turn: EndedTurn, bounds: SlotBounds, now: float
    ) -> list[QueuedRequest]:
        """End a turn.

        Args:
            turn: the turn.
            bounds: what this node may use of the endpoint.
            now: monotonic time.

        Returns:
            Waiting statements that may be sent now.

        """
        reached = self.in_flight >= self.limit.current(bounds)
        self.in_flight -= 1
        if not turn.is_limited:
            self.unlimited -= 1
        # How long a failed connection held a turn says nothing about others.
        if turn.response is not None:
            self.limit.record(turn.response, bounds, reached=reached)
            if turn.is_limited:
                self._estimate.use.record_use(turn.duration_s)
        return self.start_next(bounds, now)

    def start_next(self, bounds: SlotBounds, now: float) -> list[QueuedRequest]:
        """Begin the turns that the limit permits.

        Args:
            bounds: what this node may use of the endpoint.
            now: monotonic time.

        Returns:
            Waiting statements that may be sent now.

        """
        started = []
        while self._queue and self.in_flight < self.limit.current(bounds):
            is_ready = self.readiness() if self.readiness else None
            queued = self._queue.pop(now, is_ready)
            if queued is None:
                break
            self.in_flight += 1
            self._estimate.record_start(now, others_wait=bool(self._queue))
            started.append(queued)
        return started

    def cancel(self, queued: QueuedRequest) -> None:
        """Remove a statement that no longer waits.

        Args:
            queued: the statement; one that does not wait is ignored.

        """
        self._queue.discard(queued)

    def cancel_all(self) -> list[QueuedRequest]:
        """Remove all statements that wait.

        Returns:
            The statements.

        """
        waiting = self._queue.waiting()
        for queued in waiting:
            self._queue.discard(queued)
        return waiting

    def _remove_late(
        self, priority: int, bounds: SlotBounds, now: float
    ) -> list[QueuedRequest]:
        """Remove the less urgent statements that have become too late."""
        displaced: list[QueuedRequest] = []
        victim = self._queue.last_below(priority)
        while victim is not None:
            ahead = self._queue.ahead_of_waiting(victim)
            if self._start_at(victim, ahead, bounds, now) <= victim.deadline:
                break
            self._queue.discard(victim)
            displaced.append(victim)
            victim = self._queue.last_below(priority)
        return displaced

    def _start_at(
        self,
        queued: QueuedRequest,
        ahead: RequestsAhead,
        bounds: SlotBounds,
        now: float,
    ) -> float:
        turns = max(1, self.limit.current(bounds) - self.unlimited)
        return now + self._estimate.wait_s(queued.priority, ahead, turns, now)
