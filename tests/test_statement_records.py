"""The log tells which connection held which prepared statement, and for whom.

Without these records, issue 48 could not be traced: endpoints ran prepared
statements that nobody had prepared, and no line named a connection or a name.
"""

from collections.abc import Sequence
from functools import partial
from typing import Any

import pytest
from msgspec.json import decode, encode
from trio import sleep

from tests.support import make_cluster, run_virtual, with_virtual_clock
from tests.test_gateways import ORGANISATIONS, gateway_stack
from tests.test_wire_balancing import KEY, EventLog
from trefoilhitch._generated.peer import RunReply
from trefoilhitch.loggable import MAX_SHOWN_CHARS
from trefoilhitch.metrics import Metrics
from trefoilhitch.platform.endpoint_connection import WireConnector
from trefoilhitch.pooler.connection_runner import ConnectionRunner
from trefoilhitch.pooler.evacuation.send_guard import SendGuard
from trefoilhitch.pooler.gateway_messages import read_reply
from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.pooled_connection import PooledConnection
from trefoilhitch.pooler.ports import Command, EndpointConnectionError
from trefoilhitch.pooler.response import (
    Refusal,
    Response,
    SessionState,
    refusal_response,
)
from trefoilhitch.pooler.statement import PreparedStatement, Statement, Verb
from trefoilhitch.pooler.statement_records import StatementRecords
from trefoilhitch.pooler.statement_request import StatementRequest
from trefoilhitch_lab.wire_client import WireClient, wire_client
from trefoilhitch_lab.wire_stack import WireStack, running_wire_stack

Fields = dict[str, Any]

RUNS = 3


def events(log: EventLog, kind: str) -> list[Fields]:
    """Return the fields of all events of a kind."""
    return [fields for logged, fields in log.events if logged == kind]


def only_event(log: EventLog, kind: str) -> Fields:
    """Return the fields of the only event of a kind."""
    found = events(log, kind)
    assert len(found) == 1
    return found[0]


def executions(log: EventLog) -> list[Fields]:
    """Return the events of executed statements."""
    return [
        fields
        for fields in events(log, 'statement')
        if fields['verb'] == 'execute'
    ]


async def query_all(client: WireClient, *texts: str) -> None:
    """Run statements that have to succeed."""
    for text in texts:
        assert not (await client.query(text)).code


@with_virtual_clock
async def test_a_preparation_is_logged_with_the_request_that_caused_it() -> (
    None
):
    # Guards against a name on a pooled connection of unknown origin, and
    # against a line for each execution.
    log = EventLog()
    async with (
        running_wire_stack(nodes=1, log=log) as stack,
        wire_client(stack.nodes['node-0'].address) as client,
    ):
        await client.start('visits', KEY)
        await query_all(client, 'PREPARE s1 WRITE q1')
        for _ in range(RUNS):
            await query_all(client, 'EXECUTE s1 a1 red')
    prepared = events(log, 'statement_prepared')
    runs = executions(log)
    assert len(prepared) == 1
    assert prepared[0] == {
        'request': runs[0]['request'],
        'endpoint': runs[0]['endpoint'],
        'connection': runs[0]['connection'],
        'organisation': 'himal',
        'pooled_name': runs[0]['pooled_name'],
        'access': 'write',
        'body': 'q1',
        'body_chars': 2,
        'refusal': '',
    }
    assert len(runs) == RUNS
    assert {run['name'] for run in runs} == {'s1'}
    assert {run['connection'] for run in runs} == {prepared[0]['connection']}
    assert prepared[0]['connection'].startswith('node-0/')


@with_virtual_clock
async def test_statements_name_the_connection_of_their_gateway() -> None:
    # Guards against statements through a gateway whose connection is unknown.
    log = EventLog()
    async with gateway_stack(log) as stack:
        for node in stack.nodes:
            await execute_in_transaction(stack, node)
    runs = executions(log)
    assert len(runs) == len(stack.nodes)
    prepared = {
        (each['connection'], each['pooled_name'])
        for each in events(log, 'statement_prepared')
    }
    assert {(run['connection'], run['pooled_name']) for run in runs} == prepared
    assert len({run['connection'].split('/')[0] for run in runs}) == 1


async def execute_in_transaction(stack: WireStack, node: str) -> None:
    """Execute a prepared statement in a transaction."""
    async with wire_client(stack.nodes[node].address) as client:
        await client.start('visits', f'key-{ORGANISATIONS[0]}')
        await query_all(
            client,
            'PREPARE s1 WRITE q1',
            'BEGIN',
            f'EXECUTE s1 {node} red',
            'COMMIT',
        )


@with_virtual_clock
async def test_a_lost_response_names_its_connection() -> None:
    # Guards against statements in doubt whose connection is unknown, also if
    # it was lost between a gateway and the endpoint.
    log = EventLog()
    async with gateway_stack(log) as stack:
        for node, running in stack.nodes.items():
            async with wire_client(running.address) as client:
                await client.start('visits', f'key-{ORGANISATIONS[0]}')
                for endpoint in stack.group.endpoints.values():
                    endpoint.faults.drop_responses = 1
                lost = await client.query(f'WRITE {node} red')
                assert lost.code == 'INDOUBT'
    holders = {
        fields['connection'].split('/')[0]
        for fields in events(log, 'statement')
    }
    assert len(holders) == 1
    assert holders < set(stack.nodes)


@with_virtual_clock
async def test_a_reset_that_drops_names_is_logged() -> None:
    # Guards against names that seem to be held after a reset.
    log = EventLog()
    async with running_wire_stack(nodes=1, log=log) as stack:
        address = stack.nodes['node-0'].address
        async with wire_client(address) as client:
            await client.start('orders', KEY)
            await query_all(client, 'SET colour red', 'PREPARE s1 WRITE q1')
            await query_all(client, 'EXECUTE s1 a1 red')
        async with wire_client(address) as client:
            await client.start('orders', KEY)
            await query_all(client, 'WRITE a2 blue')
    prepared = only_event(log, 'statement_prepared')
    reset = only_event(log, 'connection_reset')
    last = events(log, 'statement')[-1]
    assert reset['connection'] == prepared['connection'] == last['connection']
    assert (reset['names'], reset['request']) == (1, last['request'])


@with_virtual_clock
async def test_statements_that_are_not_sent_name_no_connection() -> None:
    # Guards against a connection of an earlier statement.
    log = EventLog()
    async with (
        running_wire_stack(nodes=1, log=log) as stack,
        wire_client(stack.nodes['node-0'].address) as client,
    ):
        await client.start('orders', KEY)
        await query_all(client, 'WRITE a1 red')
        await client.query('EXECUTE s1 a1')
    written, refused = events(log, 'statement')
    assert written['connection']
    assert 'connection' not in refused
    assert (refused['name'], refused['pooled_name']) == ('s1', '')


class Connection:
    """A connection that gives one answer to each statement, or fails."""

    endpoint = 'ledger-0'
    organisation = 'himal'
    state = SessionState.IDLE

    def __init__(self, answer: Response | EndpointConnectionError) -> None:
        """Store the answer."""
        self._answer = answer

    async def run(
        self, commands: Sequence[Command], deadline: float
    ) -> list[Response]:
        """Return the same answer to all statements."""
        if isinstance(self._answer, EndpointConnectionError):
            raise self._answer
        return [self._answer for _ in commands]

    def is_usable(self) -> bool:
        """Return whether it is open."""
        return True

    def close(self) -> None:
        """Close nothing."""


async def run_prepared(
    answer: Response | EndpointConnectionError,
    body: str = 'q1',
    *,
    metrics: Metrics | None = None,
) -> EventLog:
    """Run a prepared statement; return what was logged."""
    log = EventLog()
    runner = ConnectionRunner(
        connector=WireConnector(lambda endpoint: None),
        metrics=Metrics(),
        guard=SendGuard(make_cluster().evacuated),
        records=StatementRecords('node-1', log, metrics or Metrics()),
    )
    request = StatementRequest(
        Statement('r-1', Verb.EXECUTE, 'EXECUTE s1 a', 's1', 'a'),
        PreparedStatement('read', body),
    )
    pooled = PooledConnection(Connection(answer), 7)
    try:
        await runner.run(pooled, {}, request, 1)
    except EndpointConnectionError as exc:
        was_sent = exc.loss != ResponseLoss.NOT_SENT
        assert exc.connection == was_sent * 'node-1/7'
    return log


@with_virtual_clock
async def test_a_refused_preparation_is_logged() -> None:
    # Guards against a name that seems to be held though it was refused.
    answer = refusal_response(Refusal.MALFORMED, 'no')
    fields = only_event(await run_prepared(answer), 'statement_prepared')
    assert fields['refusal'] == 'malformed'
    assert fields['connection'] == 'node-1/7'


@pytest.mark.parametrize('loss', ResponseLoss)
def test_a_preparation_whose_response_is_lost_is_logged(
    loss: ResponseLoss,
) -> None:
    # Guards against a name that may be held, and a line for one that is not.
    failure = EndpointConnectionError(loss, 'closed')
    log = run_virtual(partial(run_prepared, failure))
    if loss == ResponseLoss.NOT_SENT:
        assert not log.events
    else:
        fields = only_event(log, 'statement_prepared')
        assert fields['refusal'] == loss.value


@with_virtual_clock
async def test_long_bodies_are_shortened() -> None:
    # Guards against log lines of 1 MiB, the longest body of a client.
    log = await run_prepared(Response(), 'q' * 2**20)
    fields = only_event(log, 'statement_prepared')
    assert fields['body_chars'] == 2**20
    assert fields['body'].startswith('q' * MAX_SHOWN_CHARS)
    assert len(encode(fields)) < 500


def test_replies_of_earlier_nodes_name_no_connection() -> None:
    # Guards against replies that a node of this version cannot read.
    reply = decode(b'{"outcome":"answered"}', type=RunReply)
    assert not read_reply(reply).connection


def metric(stack: WireStack, name: str) -> int:
    """Return a number that a node shows, 0 for a counter that it lacks."""
    rendered = stack.nodes['node-0'].metrics.render()
    found = [
        line.rpartition(' ')[2]
        for line in rendered.splitlines()
        if line.startswith(f'trefoilhitch_{name} ')
    ]
    return int(found[0]) if found else 0


@with_virtual_clock
async def test_preparations_resets_and_held_names_are_measured() -> None:
    # Guards against names that pile up on connections unseen.
    async with running_wire_stack(nodes=1) as stack:
        address = stack.nodes['node-0'].address
        async with wire_client(address) as client:
            await client.start('orders', KEY)
            await query_all(client, 'SET colour red')
            for body in ('q1', 'q2'):
                await query_all(client, f'PREPARE {body} WRITE {body}')
                await query_all(client, f'EXECUTE {body} a1 red')
        assert metric(stack, 'prepared_names') == 2
        assert metric(stack, 'prepared_chars') == 2 * len('q1')
        async with wire_client(address) as client:
            await client.start('orders', KEY)
            await query_all(client, 'WRITE a2 blue')
        assert metric(stack, 'prepared_names') == 0
        assert metric(stack, 'connections_reset_total') == 1
        assert metric(stack, 'preparations_total{kind="accepted"}') == 2


@with_virtual_clock
async def test_names_of_closed_connections_are_not_measured() -> None:
    # Guards against numbers that only grow.
    async with running_wire_stack(nodes=1) as stack:
        async with wire_client(stack.nodes['node-0'].address) as client:
            await client.start('orders', KEY)
            await query_all(
                client, 'PREPARE s1 WRITE q1', 'BEGIN', 'EXECUTE s1 a1 red'
            )
            assert metric(stack, 'prepared_names') == 1
        await sleep(1)
        assert metric(stack, 'prepared_names') == 0


@pytest.mark.parametrize(
    ('answer', 'kind'),
    [
        (refusal_response(Refusal.MALFORMED, 'no'), 'refused'),
        (
            EndpointConnectionError(ResponseLoss.DEADLINE_PASSED, 'late'),
            'lost',
        ),
    ],
)
def test_preparations_that_fail_are_counted_apart(
    answer: Response | EndpointConnectionError, kind: str
) -> None:
    # Guards against failures that look like preparations.
    metrics = Metrics()
    run_virtual(partial(run_prepared, answer, metrics=metrics))
    line = f'trefoilhitch_preparations_total{{kind="{kind}"}} 1'
    assert line in metrics.render()
    assert metrics.total('preparations') == 1
