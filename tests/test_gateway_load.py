"""Gateways state the load of endpoints, and nodes apply it."""

import pytest
from trio import current_time, sleep

from tests.support import with_virtual_clock
from trefoilhitch._generated.peer import (
    EndpointLoad,
    MemberBeat,
    RunReply,
    RunRequest,
)
from trefoilhitch.decision_log import NullLog
from trefoilhitch.pooler.balancing.endpoint_loads import EndpointLoads
from trefoilhitch.pooler.balancing.load_observer import LoadObserver
from trefoilhitch.pooler.balancing.position_observer import (
    PositionObserver,
)
from trefoilhitch.pooler.control.gateway_breakers import CountingBreakers
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.endpoint_selection import EndpointSelector
from trefoilhitch.pooler.gateway_client import GatewayExecutor
from trefoilhitch.pooler.gateway_server import GatewayServer
from trefoilhitch.pooler.response import Refusal, Response, refusal_response
from trefoilhitch.pooler.statement import Statement, Verb
from trefoilhitch.pooler.statement_executor import (
    ConnectionNotOpenedError,
    StartedStatement,
    StatementJob,
)
from trefoilhitch.pooler.statement_request import (
    StatementRequest,
    StatementResult,
)

ENDPOINT = 'ledger-0'
SERVICE = 'ledger'
WAIT_S = 0.01
RESPONSE_S = 0.03
RECORD = EndpointRecord(
    ENDPOINT, SERVICE, '127.0.0.1:1', 'patan', 1, False, 'replica', 4
)


class ObservedExecutor:
    """Runs statements in a known time, as seen by an observer.

    Args:
        observer: observes the statements.
        response: response to each statement, None to open no connection.

    """

    def __init__(
        self, observer: LoadObserver, response: Response | None
    ) -> None:
        """Store the outcome."""
        self._observer = observer
        self._response = response

    async def start(self, job: StatementJob) -> StartedStatement:
        """Wait for a connection, then run the statement."""
        with self._observer.running(job.endpoint) as times:
            await sleep(WAIT_S)
            times.mark_sent()
            if self._response is None:
                raise ConnectionNotOpenedError('connlimit', refused=True)
            await sleep(RESPONSE_S)
            if self._response.ok:
                self._observer.record_answer(job.endpoint, job.request, times)
        return StartedStatement(StatementResult(self._response, None))


def make_observer(loads: EndpointLoads) -> LoadObserver:
    """Return an observer that knows one endpoint."""
    selector = EndpointSelector(data_centre='patan', regions={'patan': 'east'})
    return LoadObserver(
        loads,
        selector,
        {ENDPOINT: RECORD}.get,
        PositionObserver(None, {ENDPOINT: RECORD}.get, current_time),
    )


async def run_at_gateway(
    response: Response | None, *, verb: str = 'read', shares: bool = True
) -> RunReply:
    """Return the reply of a gateway to one statement."""
    observer = make_observer(EndpointLoads())
    server = GatewayServer(
        executor=ObservedExecutor(observer, response),
        accepts=lambda _endpoint: True,
        idle_limit_s=lambda: 1,
        log=NullLog(),
        loads=observer if shares else None,
    )
    return await server.run(
        RunRequest(
            organisation='org-1',
            verb=verb,
            text='',
            timeout_ms=1000,
            endpoint=ENDPOINT,
        )
    )


@with_virtual_clock
async def test_reply_states_wait_and_response_time_of_reads() -> None:
    reply = await run_at_gateway(Response())
    assert reply.load is not None
    assert reply.load.endpoint == ENDPOINT
    assert reply.load.wait_ms == 10
    assert reply.load.response_ms == pytest.approx(30, abs=1)
    assert reply.load.in_flight == 0


@with_virtual_clock
async def test_time_of_writes_says_nothing_about_the_load() -> None:
    """A write waits for replicas in other regions."""
    assert (await run_at_gateway(Response(), verb='write')).load is None


@with_virtual_clock
async def test_reply_states_nothing_if_the_part_is_turned_off() -> None:
    assert (await run_at_gateway(Response(), shares=False)).load is None


@pytest.mark.parametrize(
    'response', [refusal_response(Refusal.BUSY, 'full'), None]
)
def test_refusal_reaches_other_nodes(response: Response | None) -> None:
    """A node that has sent nothing yet must not find out by itself."""

    @with_virtual_clock
    async def scenario() -> None:
        reply = await run_at_gateway(response)
        assert reply.load is not None
        assert reply.load.wait_ms > 50

    scenario()


class ReplyingClient:
    """Replies to each request with the load of an endpoint.

    Args:
        load: the load.

    """

    def __init__(self, load: EndpointLoad) -> None:
        """Store the load."""
        self._load = load

    async def call(self, *_: object, **_options: object) -> RunReply:
        """Return a reply of a gateway."""
        return RunReply(load=self._load)


@with_virtual_clock
async def test_node_applies_the_load_that_its_gateway_states() -> None:
    """Between data centres, replies are the only source."""
    loads = EndpointLoads()
    observer = make_observer(loads)
    gateway = MemberBeat(
        node='node-1',
        address='127.0.0.1:1',
        region='east',
        data_centre='patan',
        incarnation=1,
        counter=1,
        state='live',
    )

    def rank(_endpoint: str, _organisation: str) -> tuple[MemberBeat, ...]:
        return (gateway,)

    for endpoint in (ENDPOINT, 'unknown'):
        load = EndpointLoad(endpoint=endpoint, wait_ms=500, in_flight=8)
        executor = GatewayExecutor(
            client=ReplyingClient(load),  # type: ignore[arg-type]
            rank=rank,
            breakers=CountingBreakers(),
            apply_load=observer.apply_gateway_report,
        )
        await executor.start(_job())
    now = current_time()
    assert loads.expected_delay_s(SERVICE, ENDPOINT, 4, now) >= 0.5
    assert [each.endpoint for each in loads.reports(now)] == [ENDPOINT]


def _job() -> StatementJob:
    return StatementJob(
        endpoint=ENDPOINT,
        organisation='org-1',
        variables={},
        request=StatementRequest(Statement('r1', Verb.READ, 'READ a')),
        deadline=current_time() + 1,
        keeps_connection=False,
        is_admitted=True,
        on_admitted=lambda: None,
    )
