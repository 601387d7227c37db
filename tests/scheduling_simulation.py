"""Simulation of nodes that send statements to one endpoint, without a network.

The endpoint runs a few statements at a time in the order of arrival, as real
ones do. The nodes decide with the product's own modules.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from itertools import count
from math import exp
from random import Random

from trefoilhitch.fair_queue import QueuedRequest
from trefoilhitch.pooler.scheduling.concurrency_limit import (
    MeasuredResponse,
    SlotBounds,
)
from trefoilhitch.pooler.scheduling.endpoint_turns import (
    EndedTurn,
    EndpointTurns,
)

# Spread of the logarithm of a statement's work.
WORK_SIGMA = 0.6


@dataclass(frozen=True)
class Load:
    """Statements of one kind that arrive at random.

    Args:
        name: name of the load, also the statements' kind.
        priority: priority of the statements.
        per_s: statements per second.
        work_s: mean work of a statement.
        timeout_s: time until a statement's deadline.
        node: number of the node that gets them, None for all in turn.
        organisations: organisations that send them in turn.
        begin_s: when the load begins.
        end_s: when it ends.

    """

    name: str
    priority: int
    per_s: float
    work_s: float
    timeout_s: float
    node: int | None = None
    organisations: tuple[str, ...] = ('org',)
    begin_s: float = 0
    end_s: float = 10


@dataclass(eq=False)
class SimulatedStatement:
    """A statement and what became of it."""

    load: Load
    organisation: str
    node: int
    arrived_at: float
    work_s: float
    queued: QueuedRequest
    sent_at: float = -1
    in_flight: int = 0
    outcome: str = ''
    ended_at: float = 0


@dataclass
class Simulation:
    """Some nodes and one endpoint.

    Args:
        slots: statements that the endpoint runs at a time.
        nodes: number of nodes that send to it.
        connections: connections of each node.
        slowness: returns how many times slower the endpoint is at a time.
        is_scheduled: False if nodes only limit their connections.
        seed: seed of arrivals and work.

    """

    slots: int = 4
    nodes: int = 3
    connections: int = 20
    slowness: Callable[[float], float] = lambda _now: 1
    is_scheduled: bool = True
    seed: int = 1
    statements: list[SimulatedStatement] = field(default_factory=list)
    now: float = 0
    max_queue: int = 0

    def __post_init__(self) -> None:
        """Start idle."""
        share = -(-self.slots // self.nodes)
        if not self.is_scheduled:
            share = self.connections
        self.bounds = SlotBounds(share, self.connections)
        self.random = Random(self.seed)
        self.turns = [EndpointTurns() for _ in range(self.nodes)]
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = count()
        self.running = 0
        self.endpoint_queue: deque[SimulatedStatement] = deque()
        self.by_queued: dict[QueuedRequest, SimulatedStatement] = {}

    def run(self, loads: Iterable[Load]) -> None:
        """Run until all statements have ended."""
        for load in loads:
            self._schedule_arrivals(load)
        while self.events:
            now, _, event = heappop(self.events)
            self.now = now
            event()

    def of(self, name: str) -> list[SimulatedStatement]:
        """Return the statements of a load."""
        return [each for each in self.statements if each.load.name == name]

    def outcomes(self, name: str) -> Counter[str]:
        """Return how often each outcome occurred."""
        return Counter(each.outcome for each in self.of(name))

    def served_fraction(self, name: str) -> float:
        """Return the fraction of a load's statements that were served."""
        return self.outcomes(name)['served'] / len(self.of(name))

    def served_per_s(self, begin_s: float, end_s: float) -> float:
        """Return the statements served per second in a period."""
        served = [
            each
            for each in self.statements
            if each.outcome == 'served' and begin_s <= each.ended_at < end_s
        ]
        return len(served) / (end_s - begin_s)

    def _at(self, time: float, event: Callable[[], None]) -> None:
        heappush(self.events, (time, next(self.numbers), event))

    def _schedule_arrivals(self, load: Load) -> None:
        time = load.begin_s
        for number in count():
            time += self.random.expovariate(load.per_s)
            if time >= load.end_s:
                return
            node = number % self.nodes if load.node is None else load.node
            organisation = load.organisations[number % len(load.organisations)]
            draw = exp(self.random.gauss(-(WORK_SIGMA**2) / 2, WORK_SIGMA))
            statement = SimulatedStatement(
                load,
                organisation,
                node,
                time,
                load.work_s * draw,
                QueuedRequest(organisation, 0),
            )
            self.statements.append(statement)
            self._at(time, partial(self._arrive, statement))

    def _arrive(self, statement: SimulatedStatement) -> None:
        turns = self.turns[statement.node]
        load = statement.load
        deadline = self.now + load.timeout_s
        queued = QueuedRequest(
            statement.organisation,
            turns.latest_start(load.name, deadline, self.now),
            load.priority if self.is_scheduled else 0,
        )
        statement.queued = queued
        self.by_queued[queued] = statement
        arrival = turns.arrive(queued, self.bounds, self.now)
        if arrival.refused:
            self._end(statement, 'refused')
            return
        for victim in arrival.displaced:
            self._end(self.by_queued[victim], 'displaced')
        self._at(queued.deadline, partial(self._expire, statement))
        self._start(arrival.started)

    def _expire(self, statement: SimulatedStatement) -> None:
        if not statement.outcome and statement.sent_at < 0:
            self.turns[statement.node].cancel(statement.queued)
            self._end(statement, 'expired')

    def _start(self, started: Iterable[QueuedRequest]) -> None:
        for queued in started:
            statement = self.by_queued[queued]
            statement.sent_at = self.now
            statement.in_flight = self.turns[statement.node].in_flight
            self.endpoint_queue.append(statement)
            deadline = statement.arrived_at + statement.load.timeout_s
            self._at(deadline, partial(self._lose, statement))
        self._run_next()

    def _lose(self, statement: SimulatedStatement) -> None:
        """End a statement whose response did not arrive in time."""
        if not statement.outcome:
            self._end(statement, 'late')
            self._end_turn(statement)

    def _run_next(self) -> None:
        while self.running < self.slots and self.endpoint_queue:
            statement = self.endpoint_queue.popleft()
            self.running += 1
            duration_s = statement.work_s * self.slowness(self.now)
            self._at(
                self.now + duration_s,
                partial(self._complete, statement),
            )
        self.max_queue = max(self.max_queue, len(self.endpoint_queue))

    def _complete(self, statement: SimulatedStatement) -> None:
        self.running -= 1
        if not statement.outcome:
            self._end(statement, 'served')
            self._end_turn(statement)
        self._run_next()

    def _end(self, statement: SimulatedStatement, outcome: str) -> None:
        statement.outcome = outcome
        statement.ended_at = self.now

    def _end_turn(self, statement: SimulatedStatement) -> None:
        latency_s = self.now - statement.sent_at
        response = MeasuredResponse(
            statement.load.name,
            latency_s,
            statement.in_flight,
            failed=statement.outcome == 'late',
        )
        turn = EndedTurn(
            is_limited=True, duration_s=latency_s, response=response
        )
        if not self.is_scheduled:
            turn = EndedTurn(is_limited=True, duration_s=latency_s)
        self._start(self.turns[statement.node].end(turn, self.bounds, self.now))
