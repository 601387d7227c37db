"""Nodes that accept no connections: requests go elsewhere in time."""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from http import HTTPStatus
from random import Random

import pytest
from trio import current_time, open_nursery, sleep

from tests.support import run_virtual, with_virtual_clock
from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.decision_log import NullLog
from trefoilhitch.errors import UnreachableError
from trefoilhitch.http_client import HttpConnection
from trefoilhitch.http_message import HttpRequest, HttpResponse
from trefoilhitch.pooler.control.connection_guard import (
    CONNECT_TIMEOUT_S,
    MAX_TRIALS_S,
    ConnectionGuard,
)
from trefoilhitch.pooler.control.failure_backoff import (
    FIRST_PAUSE_S,
    MAX_PAUSE_S,
    FailureBackoff,
    pause_s,
)
from trefoilhitch.pooler.control.gateway_breakers import (
    CountingBreakers,
    GatewayBreakers,
    SharedBreakers,
)
from trefoilhitch.pooler.gateway_client import GatewayExecutor
from trefoilhitch.pooler.peer_client import (
    CONNECT_TIMEOUT_S as UNGUARDED_TIMEOUT_S,
)
from trefoilhitch.pooler.peer_client import PeerClient
from trefoilhitch.pooler.statement import Statement, Verb
from trefoilhitch.pooler.statement_executor import (
    GatewayUnavailableError,
    StatementJob,
)
from trefoilhitch.pooler.statement_request import StatementRequest

FIRST = '10.0.0.1:1'
SECOND = '10.0.0.2:1'
ANSWER = HttpResponse(HTTPStatus.OK, b'{"outcome":"answered"}')
RESPONSE_S = 0.01


class Answering(HttpConnection):
    """A connection to a node that answers each request.

    Args:
        served: counts the answers.
        address: address of the node.

    """

    def __init__(self, served: Counter[str], address: str) -> None:
        """Start open."""
        self.closed = False
        self._served = served
        self._address = address

    async def exchange(self, req: HttpRequest, deadline: float) -> HttpResponse:
        """Return the answer."""
        await sleep(RESPONSE_S)
        self._served[self._address] += 1
        return ANSWER

    def close(self) -> None:
        """Close the connection."""
        self.closed = True

    def is_stale(self) -> bool:
        """Return whether it is closed."""
        return self.closed


class Network:
    """Nodes that may stop accepting connections."""

    def __init__(self) -> None:
        """Start with nodes that accept connections."""
        self.refusing: set[str] = set()
        # Processes that do not run: their VMs refuse connections at once.
        self.stopped: set[str] = set()
        self.attempts: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.attempted_at: list[float] = []

    async def open(self, address: str, deadline: float) -> HttpConnection:
        """Open a connection, or wait until the deadline."""
        self.attempts[address] += 1
        self.attempted_at.append(current_time())
        if address in self.stopped:
            await sleep(0.001)
            raise UnreachableError(f'{address}: connection refused')
        if address not in self.refusing:
            await sleep(0.001)
            return Answering(self.served, address)
        await sleep(deadline - current_time())
        raise UnreachableError(f'{address}: no connection before the deadline')


def beat(address: str) -> MemberBeat:
    """Return the state of a gateway."""
    return MemberBeat(
        node=f'edge-{address}',
        address=address,
        region='region',
        data_centre='dc',
        incarnation=1,
        counter=1,
        state='live',
    )


class Entry:
    """A node that sends statements to two gateways."""

    def __init__(self, network: Network, *, guarded: bool = True) -> None:
        """Connect the parts of the node."""
        self.network = network
        self.guard = ConnectionGuard(
            random=Random(0),
            log=NullLog(),
            open_connection=self.network.open,
        )
        self.client = PeerClient(
            NullLog(), guard=self.guard if guarded else None
        )
        self.durations_s: list[float] = []
        self.failures = 0
        breakers: GatewayBreakers = CountingBreakers()
        if guarded:
            breakers = SharedBreakers(self.client)
        self._executor = GatewayExecutor(
            client=self.client,
            rank=lambda endpoint, organisation: (beat(FIRST), beat(SECOND)),
            breakers=breakers,
            apply_load=lambda *_: None,
        )

    async def run_statement(self, at: float) -> None:
        """Run a statement, and record how long it took."""
        await sleep(at)
        started_at = current_time()
        statement = Statement('r1', Verb.READ, 'READ a1')
        job = StatementJob(
            endpoint='ledger-0',
            organisation='himal',
            variables={},
            request=StatementRequest(
                statement, None, None, requires_primary_proof=False
            ),
            deadline=current_time() + 2,
            keeps_connection=False,
            is_admitted=False,
            on_admitted=lambda: None,
        )
        try:
            await self._executor.start(job)
        except GatewayUnavailableError:
            self.failures += 1
        self.durations_s.append(current_time() - started_at)


@asynccontextmanager
async def running(entry: Entry) -> AsyncIterator[None]:
    """Run a node's client."""
    async with open_nursery() as nursery:
        nursery.start_soon(entry.client.run)
        await sleep(0.1)
        yield
        nursery.cancel_scope.cancel()


def waits_of(entry: Entry) -> list[float]:
    """Return the durations of statements that waited for a connection."""
    return [each for each in entry.durations_s if each > 2 * RESPONSE_S]


async def run_statements(entry: Entry, count: int, within_s: float) -> None:
    """Run statements that arrive evenly."""
    async with open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(entry.run_statement, within_s * number / count)


@with_virtual_clock
async def test_all_waiting_statements_leave_together() -> None:
    entry = Entry(Network())
    async with running(entry):
        entry.network.refusing.add(FIRST)
        await run_statements(entry, 60, 2)
    assert not entry.failures
    assert max(entry.durations_s) < 0.5
    # The failure of the first ended the wait of all others.
    assert sum(entry.durations_s) < 60 * 2 * RESPONSE_S + 1
    assert min(waits_of(entry)) < CONNECT_TIMEOUT_S / 2
    # Only those of the first moment waited at all.
    assert len(waits_of(entry)) <= 60 * CONNECT_TIMEOUT_S / 2 + 1


def test_statements_wait_one_by_one_without_the_guard(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    network = Network()
    monkeypatch.setattr(HttpConnection, 'open', network.open)
    entry = Entry(network, guarded=False)

    async def scenario() -> None:
        async with running(entry):
            network.refusing.add(FIRST)
            await run_statements(entry, 10, 10)

    run_virtual(scenario)
    assert min(entry.durations_s) > UNGUARDED_TIMEOUT_S


@with_virtual_clock
async def test_only_the_first_of_few_statements_waits() -> None:
    entry = Entry(Network())
    async with running(entry):
        entry.network.refusing.add(FIRST)
        await run_statements(entry, 10, 10)
    waits_s = sorted(entry.durations_s)
    assert waits_s[-1] < 0.5
    assert waits_s[-2] < 0.05


@with_virtual_clock
async def test_statements_leave_open_connections_too() -> None:
    # Behind a partition, nothing is answered on them, until a deadline passes.
    entry = Entry(Network())
    async with running(entry):
        await entry.run_statement(0)
        entry.network.refusing.add(FIRST)
        # More at once than there are connections, then one after the other.
        await run_statements(entry, 6, 0.001)
        entry.network.attempts.clear()
        entry.durations_s.clear()
        for _ in range(10):
            await entry.run_statement(0.01)
    assert not entry.failures
    assert max(entry.durations_s) < 2 * RESPONSE_S
    assert entry.network.served[SECOND] >= 10


@with_virtual_clock
async def test_gateway_is_used_again_when_it_accepts() -> None:
    entry = Entry(Network())
    async with running(entry):
        entry.network.refusing.add(FIRST)
        await run_statements(entry, 20, 1)
        entry.network.refusing.clear()
        await sleep(MAX_PAUSE_S + CONNECT_TIMEOUT_S)
        entry.network.attempts.clear()
        await run_statements(entry, 20, 1)
    assert entry.network.attempts[SECOND] == 0
    assert not entry.failures


@with_virtual_clock
async def test_one_trial_at_a_time_after_growing_pauses() -> None:
    entry = Entry(Network())
    async with running(entry):
        entry.network.refusing.add(FIRST)
        await run_statements(entry, 200, 10)
        attempts = entry.network.attempts[FIRST]
    # Those that waited at first, then trials at pauses of up to MAX_PAUSE_S.
    waited = 200 * CONNECT_TIMEOUT_S / 10 + 1
    assert attempts <= waited + 15


@with_virtual_clock
async def test_node_that_never_returns_is_tried_by_requests_again() -> None:
    entry = Entry(Network())
    async with running(entry):
        entry.network.refusing.add(FIRST)
        await entry.run_statement(0)
        assert not entry.guard.accepts(FIRST)
        await sleep(MAX_TRIALS_S + MAX_PAUSE_S + 1)
        assert entry.guard.accepts(FIRST)


@with_virtual_clock
async def test_refused_statements_fail_at_once_without_a_stand_in() -> None:
    entry = Entry(Network())
    async with running(entry):
        entry.network.refusing.update((FIRST, SECOND))
        await entry.run_statement(0)
        entry.durations_s.clear()
        await run_statements(entry, 20, 0.3)
    assert entry.failures == 21
    assert max(entry.durations_s) < 0.01


@with_virtual_clock
async def test_restarted_node_is_used_as_soon_as_it_listens() -> None:
    entry = Entry(Network())
    async with running(entry):
        entry.network.stopped.add(FIRST)
        await run_statements(entry, 20, 0.5)
        assert max(entry.durations_s) < 3 * RESPONSE_S
        entry.network.stopped.clear()
        entry.network.attempts.clear()
        await run_statements(entry, 20, 0.5)
    assert not entry.failures
    assert not entry.network.attempts[SECOND]


@with_virtual_clock
async def test_request_with_little_time_proves_nothing() -> None:
    entry = Entry(Network())
    async with running(entry):
        entry.network.refusing.add(FIRST)
        with pytest.raises(UnreachableError):
            await entry.guard.open(FIRST, current_time() + 0.01)
        assert entry.guard.accepts(FIRST)


def test_pauses_grow_to_a_limit() -> None:
    longest = [pause_s(failures, 1) for failures in range(1, 50)]
    assert longest[0] == FIRST_PAUSE_S
    assert longest == sorted(longest)
    assert longest[-1] == MAX_PAUSE_S
    assert pause_s(1, 0) == FIRST_PAUSE_S / 2


def test_node_that_failed_gets_one_trial_at_a_time() -> None:
    backoff = FailureBackoff(trial_s=0.5)
    assert backoff.may_ask('a', 0)
    backoff.record_failure('a', 0, 1)
    assert backoff.has_failed('a')
    assert not backoff.may_ask('a', FIRST_PAUSE_S / 2)
    trials = [backoff.may_ask('a', FIRST_PAUSE_S) for _ in range(3)]
    assert trials == [True, False, False]
    # A trial that recorded nothing is over after its time.
    assert backoff.may_ask('a', FIRST_PAUSE_S + 0.5)
    assert backoff.may_ask('b', 0)
    backoff.record_success('a')
    assert not backoff.has_failed('a')
    assert backoff.may_ask('a', FIRST_PAUSE_S)
