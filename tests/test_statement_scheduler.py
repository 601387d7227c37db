"""Turns of statements on pooled connections, on the virtual clock."""

from collections import Counter
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass, field

import pytest
from trio import (
    CapacityLimiter,
    Nursery,
    current_time,
    open_nursery,
    sleep,
    sleep_until,
)
from trio.testing import wait_all_tasks_blocked

from tests.support import make_cluster, make_loads, with_virtual_clock
from tests.test_connection_pool import ENDPOINT, Connection, Connector
from trefoilhitch.decision_log import NullLog
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.admission import AdmittedOperation
from trefoilhitch.pooler.connection_pool import (
    CONNECT_TIMEOUT_S,
    ConnectionPool,
)
from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.pooled_connection import PooledConnection
from trefoilhitch.pooler.ports import (
    EndpointConnectionError,
    EndpointRefusedError,
    EndpointUnreachableError,
)
from trefoilhitch.pooler.response import Refusal, Response, SessionState
from trefoilhitch.pooler.scheduling.concurrency_limit import SlotBounds
from trefoilhitch.pooler.scheduling.statement_scheduler import (
    PassThroughScheduler,
    PriorityScheduler,
    StatementScheduler,
    TurnRequest,
)
from trefoilhitch.pooler.statement import Statement, Verb
from trefoilhitch.pooler.statement_executor import (
    ConnectionNotOpenedError,
    LocalExecutor,
    StartedStatement,
    StatementJob,
)
from trefoilhitch.pooler.statement_request import (
    StatementRequest,
    StatementResult,
)

WORK_S = 0.02
SLOTS = 4
CONNECTIONS = 20


@dataclass
class SlotConnector(Connector):
    """Opens connections in the endpoint's slots, as real endpoints do."""

    slots: CapacityLimiter = field(
        default_factory=lambda: CapacityLimiter(SLOTS)
    )
    accepts: bool = True

    async def connect(
        self,
        endpoint: str,
        organisation: str,
        *,
        connect_by: float,
        deadline: float,
    ) -> Connection:
        """Open a connection."""
        if not self.accepts:
            await sleep_until(connect_by)
            raise EndpointUnreachableError(
                ResponseLoss.NOT_SENT, 'not accepted in time'
            )
        async with self.slots:
            await sleep(self.handshake_s)
        self.connections.append(Connection(organisation))
        return self.connections[-1]


@dataclass
class Endpoint:
    """Runs a few statements at a time, in the order of arrival."""

    work_s: float = WORK_S
    slots: CapacityLimiter = field(
        default_factory=lambda: CapacityLimiter(SLOTS)
    )
    order: list[str] = field(default_factory=list)
    most_in_flight: int = 0
    in_flight: int = 0
    failure: EndpointConnectionError | None = None
    refusal: Refusal | None = None

    async def run(
        self,
        pooled: PooledConnection,
        _variables: Mapping[str, str],
        request: StatementRequest,
        _deadline: float,
    ) -> StatementResult:
        """Run a statement; BEGIN leaves a transaction open."""
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        try:
            async with self.slots:
                self.order.append(request.statement.request_id)
                await sleep(self.work_s)
        finally:
            self.in_flight -= 1
        if self.failure is not None:
            pooled.conn.close()
            raise self.failure
        if self.refusal is not None:
            return StatementResult(Response(refusal=self.refusal))
        state = SessionState.IDLE
        if request.statement.verb == Verb.BEGIN:
            state = SessionState.TRANSACTION
        return StatementResult(Response(state=state))


class OpenAdmission:
    """Admits everything and counts it."""

    def __init__(self) -> None:
        """Start without admitted operations."""
        self.admitted = 0

    async def admit(
        self, _organisation: str, _priority: int
    ) -> AdmittedOperation:
        """Admit."""
        self.admitted += 1
        return AdmittedOperation()


class Node:
    """The local executor of a node, with its pool and its scheduler."""

    def __init__(
        self, *, is_scheduled: bool = True, connections: int = CONNECTIONS
    ) -> None:
        """Start without connections."""
        self.metrics = Metrics()
        self.endpoint = Endpoint()
        self.connector = SlotConnector(slots=self.endpoint.slots)
        self.admission = OpenAdmission()
        self.left: set[str] = set()
        self.outcomes: Counter[tuple[int, str]] = Counter()
        self.pool = ConnectionPool(
            connector=self.connector,
            cap=lambda _: connections,
            metrics=self.metrics,
            by_priority=is_scheduled,
        )
        self.scheduler: StatementScheduler = PassThroughScheduler()
        if is_scheduled:
            self.scheduler = PriorityScheduler(
                bounds=lambda _: SlotBounds(SLOTS, connections),
                readiness=self.pool.readiness,
                log=NullLog(),
                metrics=self.metrics,
            )
        self.executor = LocalExecutor(
            pool=self.pool,
            runner=self.endpoint,  # type: ignore[arg-type]
            admission=self.admission,  # type: ignore[arg-type]
            scheduler=self.scheduler,
            loads=make_loads(),
            has_left=self.left.__contains__,
            evacuated=make_cluster().evacuated,
        )

    async def run(
        self,
        priority: int = 0,
        *,
        organisation: str = 'a',
        timeout_s: float = 5,
        verb: Verb = Verb.READ,
    ) -> StartedStatement:
        """Run a statement whose request id is its priority."""
        statement = Statement(str(priority), verb, 'READ 1')
        return await self.executor.start(
            StatementJob(
                endpoint=ENDPOINT,
                organisation=organisation,
                variables={},
                request=StatementRequest(statement),
                deadline=current_time() + timeout_s,
                keeps_connection=verb == Verb.BEGIN,
                is_admitted=False,
                on_admitted=lambda: None,
                priority=priority,
            )
        )

    async def try_run(self, priority: int, timeout_s: float = 5) -> None:
        """Run a statement and record what became of it."""
        try:
            await self.run(priority, timeout_s=timeout_s)
        except ConnectionNotOpenedError as exc:
            self.outcomes[priority, str(exc)] += 1
        except EndpointConnectionError:
            self.outcomes[priority, 'lost'] += 1
        else:
            self.outcomes[priority, 'served'] += 1

    def gauge(self, name: str) -> str:
        """Return the lines of a gauge."""
        lines = self.metrics.render().splitlines()
        return '\n'.join(line for line in lines if line.startswith(name))

    async def has_all_turns(self) -> bool:
        """Return whether nothing holds a turn, and new statements run."""
        started_at = current_time()
        self.endpoint.failure = None
        async with open_nursery() as nursery:
            for _ in range(SLOTS):
                nursery.start_soon(self.run)
        return current_time() - started_at < 5 * WORK_S


async def _flood(
    node: Node, nursery: Nursery, priority: int, number: int
) -> None:
    for _ in range(number):
        nursery.start_soon(node.try_run, priority)
    await wait_all_tasks_blocked()


async def _warm_up(node: Node) -> None:
    """Open connections and learn how long statements take."""
    for _ in range(3):
        async with open_nursery() as nursery:
            for _ in range(SLOTS):
                nursery.start_soon(node.run)
    node.endpoint.order.clear()


async def _position_of_urgent(node: Node) -> int:
    """Return how many of a flood ran before an urgent statement."""
    await _warm_up(node)
    async with open_nursery() as nursery:
        await _flood(node, nursery, 2, 200)
        # Otherwise the order in which tasks wake up decides without the option.
        await sleep(WORK_S / 2)
        nursery.start_soon(node.try_run, 0)
    return node.endpoint.order.index('0')


@with_virtual_clock
async def test_urgent_statement_overtakes_a_flood() -> None:
    """Guards against a queue in the endpoint, which serves by arrival."""
    assert await _position_of_urgent(Node()) <= 4 * SLOTS


@with_virtual_clock
async def test_without_the_option_the_flood_goes_first() -> None:
    node = Node(is_scheduled=False)
    assert await _position_of_urgent(node) >= 100
    assert node.endpoint.most_in_flight == CONNECTIONS


@with_virtual_clock
async def test_flood_uses_all_slots() -> None:
    node = Node()
    await _warm_up(node)
    started_at = current_time()
    async with open_nursery() as nursery:
        await _flood(node, nursery, 2, 200)
    assert node.outcomes == {(2, 'served'): 200}
    ideal_s = 200 * WORK_S / SLOTS
    assert current_time() - started_at <= 1.1 * ideal_s


@with_virtual_clock
async def test_statement_that_cannot_be_served_is_refused_unadmitted() -> None:
    """Neither time nor a token of the rate is spent on it."""
    node = Node()
    await _warm_up(node)
    async with open_nursery() as nursery:
        await _flood(node, nursery, 1, 100)
        admitted = node.admission.admitted
        started_at = current_time()
        with pytest.raises(ConnectionNotOpenedError) as caught:
            await node.run(1, timeout_s=0.2)
        assert caught.value.overloaded
        assert current_time() == started_at
        assert node.admission.admitted == admitted
        assert 'statements_waiting{priority="1"}' in node.gauge(
            'trefoilhitch_statements_waiting'
        )
    assert node.outcomes[1, 'served'] == 100
    assert 'concurrency_limit{endpoint="i-1"}' in node.gauge(
        'trefoilhitch_concurrency_limit'
    )


@with_virtual_clock
async def test_displaced_statement_is_told_that_it_was_not_sent() -> None:
    node = Node()
    await _warm_up(node)
    async with open_nursery() as nursery:
        for _ in range(40):
            nursery.start_soon(node.try_run, 2, 0.6)
        await wait_all_tasks_blocked()
        await _flood(node, nursery, 0, 100)
    assert node.outcomes[2, 'more urgent statements go first'] > 0
    assert node.outcomes[0, 'served'] == 100
    assert node.metrics.total('statements_displaced') > 0
    ran = Counter(node.endpoint.order)
    assert ran['2'] == node.outcomes[2, 'served']


@with_virtual_clock
async def test_failed_statement_returns_its_turn() -> None:
    node = Node()
    await _warm_up(node)
    node.endpoint.failure = EndpointConnectionError(
        ResponseLoss.CONNECTION_LOST, 'closed'
    )
    async with open_nursery() as nursery:
        await _flood(node, nursery, 2, 30)
    assert node.outcomes == {(2, 'lost'): 30}
    assert await node.has_all_turns()


async def _limits_before_and_after(refusal: Refusal) -> list[str]:
    """Return the limit before and after statements that are refused."""
    node = Node()
    await _warm_up(node)
    async with open_nursery() as nursery:
        await _flood(node, nursery, 1, 100)
    limits = [node.gauge('trefoilhitch_concurrency_limit')]
    node.endpoint.refusal = refusal
    node.endpoint.work_s = 0.001
    for _ in range(50):
        await node.run(1)
    return [*limits, node.gauge('trefoilhitch_concurrency_limit')]


@with_virtual_clock
async def test_only_refusals_because_of_load_lower_the_limit() -> None:
    before, after = await _limits_before_and_after(Refusal.BUSY)
    assert not before.endswith(f' {SLOTS}')
    assert after.endswith(f' {SLOTS}')
    before, after = await _limits_before_and_after(Refusal.TOO_OLD)
    assert before == after


@with_virtual_clock
async def test_failed_connection_returns_its_turn() -> None:
    node = Node()

    async def refuse(*_: object, **_fields: object) -> None:
        raise EndpointRefusedError(Refusal.CONNECTION_LIMIT)

    connect = node.connector.connect
    node.connector.connect = refuse  # type: ignore[method-assign, assignment]
    async with open_nursery() as nursery:
        for _ in range(10):
            nursery.start_soon(node.try_run, 1, 0.3)
    assert sum(node.outcomes.values()) == 10
    node.connector.connect = connect  # type: ignore[method-assign]
    await sleep(1)
    await _warm_up(node)
    assert await node.has_all_turns()


@with_virtual_clock
async def test_cancelled_statements_return_their_turns() -> None:
    """Some wait, some run and some are woken when they are cancelled."""
    node = Node()
    await _warm_up(node)
    for pause_s in (0, WORK_S / 2, WORK_S, 1.5 * WORK_S, 2 * WORK_S):
        async with open_nursery() as nursery:
            await _flood(node, nursery, 1, 30)
            await sleep(pause_s)
            nursery.cancel_scope.cancel()
        await _warm_up(node)
        assert await node.has_all_turns()
    assert not node.gauge('trefoilhitch_statements_waiting')


@with_virtual_clock
async def test_waiters_for_unreachable_endpoint_are_rejected_at_once() -> None:
    node = Node()
    await _warm_up(node)
    async with open_nursery() as nursery:
        await _flood(node, nursery, 1, 100)
        started_at = current_time()
        node.scheduler.reject_waiters(ENDPOINT)
        await wait_all_tasks_blocked()
        assert current_time() == started_at
        rejected = node.outcomes[1, 'the endpoint is unreachable']
        assert rejected >= 100 - 3 * SLOTS
    assert node.outcomes[1, 'served'] == 100 - rejected
    assert await node.has_all_turns()


@with_virtual_clock
async def test_statements_wait_together_for_an_unreachable_endpoint() -> None:
    """Guards against waits for one time-out after the other at a gateway."""
    node = Node()
    node.connector.accepts = False
    started_at = current_time()
    async with open_nursery() as nursery:
        await _flood(node, nursery, 1, 50)
    assert current_time() - started_at <= 2 * CONNECT_TIMEOUT_S
    assert not node.outcomes[1, 'served']
    node.connector.accepts = True
    await _warm_up(node)
    assert await node.has_all_turns()


@with_virtual_clock
async def test_statements_that_waited_avoid_an_endpoint_that_left() -> None:
    node = Node()
    await _warm_up(node)
    async with open_nursery() as nursery:
        await _flood(node, nursery, 1, 50)
        node.left.add(ENDPOINT)
        sent = len(node.endpoint.order)
    assert len(node.endpoint.order) <= sent + 3 * SLOTS
    assert node.outcomes[1, 'the endpoint has left'] >= 50 - 4 * SLOTS


@with_virtual_clock
async def test_transactions_go_on_during_a_flood() -> None:
    """Guards against transactions that hold a connection and wait."""
    node = Node()
    await _warm_up(node)
    started = await node.run(2, verb=Verb.BEGIN)
    conn = started.conn
    assert conn is not None
    statement = Statement('in transaction', Verb.READ, 'READ 1')
    async with open_nursery() as nursery:
        await _flood(node, nursery, 0, 200)
        began_at = current_time()
        await conn.run({}, StatementRequest(statement), began_at + 1)
        assert current_time() - began_at <= 4 * WORK_S
    assert await node.has_all_turns()


@with_virtual_clock
async def test_open_transactions_hold_no_turns() -> None:
    node = Node()
    for _ in range(3 * SLOTS):
        await node.run(1, verb=Verb.BEGIN)
    await node.run(2)
    assert await node.has_all_turns()


@with_virtual_clock
async def test_control_requests_precede_statements() -> None:
    """All connections are in use, and statements wait for them."""
    node = Node(connections=2)
    held = [
        await node.pool.acquire(ENDPOINT, 'a', {}, current_time() + 1)
        for _ in range(2)
    ]
    served: list[str] = []

    async def control() -> None:
        conn = await node.pool.acquire_any(ENDPOINT, current_time() + 1)
        served.append('control')
        node.pool.release(ENDPOINT, conn)

    async def statement() -> None:
        conn = await node.pool.acquire(ENDPOINT, 'a', {}, current_time() + 1, 0)
        served.append('statement')
        node.pool.release(ENDPOINT, conn)

    async with open_nursery() as nursery:
        for _ in range(5):
            nursery.start_soon(statement)
        await wait_all_tasks_blocked()
        nursery.start_soon(control)
        await wait_all_tasks_blocked()
        node.pool.release(ENDPOINT, held[0])
    assert served[0] == 'control'
    assert len(node.connector.connections) == 2
    node.pool.release(ENDPOINT, held[1])
    assert node.pool.readiness(ENDPOINT)('a')


async def _connections_of_many(node: Node) -> int:
    """Return how many connections 28 organisations open on 10 at a time."""

    async def use_often(organisation: str) -> None:
        for _ in range(20):
            with suppress(ConnectionNotOpenedError):
                await node.run(1, organisation=organisation)

    async with open_nursery() as nursery:
        for number in range(28):
            nursery.start_soon(use_often, f'org-{number}')
    return len(node.connector.connections)


@with_virtual_clock
async def test_more_organisations_than_connections_reuse_them() -> None:
    """Guards against turns that each close another one's connection."""
    opened = {
        is_scheduled: await _connections_of_many(
            Node(is_scheduled=is_scheduled, connections=10)
        )
        for is_scheduled in (True, False)
    }
    assert opened[True] <= opened[False] / 2


@with_virtual_clock
async def test_check_of_unlimited_scheduler_accepts_everything() -> None:
    scheduler = PassThroughScheduler()
    request = TurnRequest(ENDPOINT, 'a', 0, 'read', current_time())
    scheduler.check(request)
    scheduler.reject_waiters(ENDPOINT)
    with await scheduler.acquire(request):
        with scheduler.begin_in_transaction(ENDPOINT, 'read') as turn:
            turn.record_sent()
