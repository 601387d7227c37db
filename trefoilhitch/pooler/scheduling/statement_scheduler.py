"""Lets statements wait for their turn at an endpoint."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from trio import Event, current_time, move_on_at

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.fair_queue import QueuedRequest
from trefoilhitch.metrics import Gauge, Metrics
from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.ports import (
    EndpointConnectionError,
    EndpointOverloadedError,
)
from trefoilhitch.pooler.scheduling.concurrency_limit import SlotBounds
from trefoilhitch.pooler.scheduling.endpoint_turns import (
    EndedTurn,
    EndpointTurns,
)
from trefoilhitch.pooler.scheduling.turn import (
    CountedTurn,
    Turn,
    UncountedTurn,
)

# The turn of a statement that was cancelled before it was sent.
UNUSED_TURN = EndedTurn(is_limited=True, duration_s=0)


@dataclass(frozen=True, slots=True)
class TurnRequest:
    """A statement that needs a turn.

    Args:
        endpoint: endpoint id.
        organisation: organisation that it runs for.
        priority: priority, of which 0 is the highest.
        kind: kind of the statement; those of a kind take about as long.
        deadline: monotonic time.

    """

    endpoint: str
    organisation: str
    priority: int
    kind: str
    deadline: float


@dataclass(frozen=True, slots=True)
class TurnCounts:
    """Statements of this node at an endpoint.

    Args:
        waiting: number of statements that wait for their turn.
        in_flight: number of turns that have begun and not ended.
        limit: how many statements may be in flight.

    """

    waiting: int
    in_flight: int
    limit: int


class StatementScheduler(Protocol):
    """Decides when statements are sent to endpoints."""

    def check(self, request: TurnRequest) -> None:
        """Check whether a statement could wait for its turn.

        Raises:
            EndpointOverloadedError: it would be refused now.

        """

    async def acquire(self, request: TurnRequest) -> Turn:
        """Wait for the turn of the first statement of an operation.

        Args:
            request: the statement.

        Returns:
            The turn; it has to be entered, and ends with its context.

        Raises:
            EndpointOverloadedError: the wait would exceed the deadline, or a
                more urgent statement took its place; nothing was sent.
            EndpointConnectionError: the endpoint is unreachable; nothing was
                sent.

        """

    def begin_in_transaction(self, endpoint: str, kind: str) -> Turn:
        """Begin the turn of a statement of an open transaction.

        Args:
            endpoint: endpoint id.
            kind: kind of the statement.

        Returns:
            The turn; it has to be entered, and ends with its context.

        """

    def reject_waiters(self, endpoint: str) -> None:
        """Reject all statements that wait for a turn.

        Args:
            endpoint: id of an unreachable endpoint.

        """

    def counts(self, endpoint: str) -> TurnCounts | None:
        """Return the statements of this node at an endpoint.

        Args:
            endpoint: endpoint id.

        Returns:
            Their numbers, None if statements are not limited.

        """


class PassThroughScheduler:
    """Sends every statement at once."""

    def check(self, request: TurnRequest) -> None:
        """Accept every statement."""

    async def acquire(self, request: TurnRequest) -> Turn:
        """Return a turn without a wait."""
        return UncountedTurn()

    def begin_in_transaction(self, endpoint: str, kind: str) -> Turn:
        """Return a turn that is not counted."""
        return UncountedTurn()

    def reject_waiters(self, endpoint: str) -> None:
        """Reject nothing, since no statement waits."""

    def counts(self, endpoint: str) -> None:
        """Return nothing, since statements are not limited."""


@dataclass(slots=True)
class _Waiter:
    """A statement that waits.

    Args:
        done: set when its turn begins or it is refused.
        refusal: why it is refused, None if its turn begins.

    """

    done: Event = field(default_factory=Event)
    refusal: EndpointConnectionError | None = None

    @property
    def has_turn(self) -> bool:
        """Whether its turn has begun."""
        return self.done.is_set() and self.refusal is None

    def refuse(self, exc: EndpointConnectionError) -> None:
        self.refusal = exc
        self.done.set()


class PriorityScheduler:
    """Sends statements by priority, as many at a time as an endpoint bears.

    Args:
        bounds: returns what this node may use of an endpoint.
        readiness: returns which organisations have an idle connection to an
            endpoint.
        log: records displaced statements.
        metrics: counts refused and displaced statements.

    """

    def __init__(
        self,
        *,
        bounds: Callable[[str], SlotBounds],
        readiness: Callable[[str], Callable[[str], bool]],
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        """Start without turns."""
        self._bounds = bounds
        self._readiness = readiness
        self._log = log
        self._metrics = metrics
        self._turns: dict[str, EndpointTurns] = {}
        self._waiters: dict[QueuedRequest, _Waiter] = {}
        metrics.add_gauges(self._gauges)

    def check(self, request: TurnRequest) -> None:
        """Check whether a statement could wait for its turn."""
        turns = self._turns_of(request.endpoint)
        queued = _make_queued(turns, request)
        bounds = self._bounds(request.endpoint)
        if turns.would_refuse(queued, bounds, current_time()):
            raise self._overloaded(request.endpoint)

    async def acquire(self, request: TurnRequest) -> Turn:
        """Wait for the turn of the first statement of an operation."""
        turns = self._turns_of(request.endpoint)
        queued = _make_queued(turns, request)
        waiter = _Waiter()
        self._waiters[queued] = waiter
        try:
            self._arrive(turns, request.endpoint, queued)
            await _wait(waiter, queued.deadline)
        except BaseException:
            if waiter.has_turn:
                self._end(request.endpoint, UNUSED_TURN)
            raise
        finally:
            self._waiters.pop(queued)
            turns.cancel(queued)
        if not waiter.has_turn:
            raise waiter.refusal or self._overloaded(request.endpoint)
        return self._begin(request.endpoint, request.kind, is_limited=True)

    def begin_in_transaction(self, endpoint: str, kind: str) -> Turn:
        """Begin the turn of a statement of an open transaction."""
        self._turns_of(endpoint).begin_in_transaction()
        return self._begin(endpoint, kind, is_limited=False)

    def reject_waiters(self, endpoint: str) -> None:
        """Reject all statements that wait for a turn."""
        for queued in self._turns_of(endpoint).cancel_all():
            self._waiters[queued].refuse(
                EndpointConnectionError(
                    ResponseLoss.NOT_SENT, 'the endpoint is unreachable'
                )
            )

    def counts(self, endpoint: str) -> TurnCounts | None:
        """Return the statements of this node at an endpoint."""
        # An endpoint without statements so far is not added.
        turns = self._turns.get(endpoint) or EndpointTurns()
        return TurnCounts(
            sum(turns.waiting().values()),
            turns.in_flight,
            turns.limit.current(self._bounds(endpoint)),
        )

    def _arrive(
        self, turns: EndpointTurns, endpoint: str, queued: QueuedRequest
    ) -> None:
        arrival = turns.arrive(queued, self._bounds(endpoint), current_time())
        if arrival.refused:
            raise self._overloaded(endpoint)
        self._start(arrival.started)
        for victim in arrival.displaced:
            self._displace(endpoint, victim, queued)

    def _displace(
        self, endpoint: str, victim: QueuedRequest, by: QueuedRequest
    ) -> None:
        self._metrics.count('statements_displaced', str(victim.priority))
        self._log.event(
            'statement_displaced',
            endpoint=endpoint,
            organisation=victim.organisation,
            priority=victim.priority,
            by=by.priority,
        )
        self._waiters[victim].refuse(
            EndpointOverloadedError(
                ResponseLoss.NOT_SENT, 'more urgent statements go first'
            )
        )

    def _begin(self, endpoint: str, kind: str, *, is_limited: bool) -> Turn:
        return CountedTurn(
            kind,
            self._turns_of(endpoint).in_flight,
            is_limited=is_limited,
            end=partial(self._end, endpoint),
        )

    def _end(self, endpoint: str, turn: EndedTurn) -> None:
        bounds = self._bounds(endpoint)
        turns = self._turns_of(endpoint)
        self._start(turns.end(turn, bounds, current_time()))

    def _start(self, started: Iterable[QueuedRequest]) -> None:
        for queued in started:
            self._waiters[queued].done.set()

    def _overloaded(self, endpoint: str) -> EndpointOverloadedError:
        self._metrics.count('waits_refused', endpoint)
        return EndpointOverloadedError(
            ResponseLoss.NOT_SENT, 'the wait exceeds the deadline'
        )

    def _turns_of(self, endpoint: str) -> EndpointTurns:
        turns = self._turns.get(endpoint)
        if turns is None:
            turns = EndpointTurns(readiness=partial(self._readiness, endpoint))
            self._turns[endpoint] = turns
        return turns

    def _gauges(self) -> Iterator[Gauge]:
        waiting: Counter[int] = Counter()
        for endpoint, turns in self._turns.items():
            waiting.update(turns.waiting())
            limit = turns.limit.current(self._bounds(endpoint))
            yield Gauge('concurrency_limit', limit, 'endpoint', endpoint)
        for priority, number in waiting.items():
            yield Gauge('statements_waiting', number, 'priority', str(priority))


def _make_queued(turns: EndpointTurns, request: TurnRequest) -> QueuedRequest:
    """Describe a statement by the time at which it has to be sent."""
    latest_start = turns.latest_start(
        request.kind, request.deadline, current_time()
    )
    return QueuedRequest(request.organisation, latest_start, request.priority)


async def _wait(waiter: _Waiter, deadline: float) -> None:
    if not waiter.done.is_set():
        with move_on_at(deadline):
            await waiter.done.wait()
