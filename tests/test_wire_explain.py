"""Nodes explain where requests would go, and send nothing for that."""

from collections.abc import Iterator

import pytest
from msgspec.json import decode, encode
from trio import current_time, open_nursery, sleep
from trio.lowlevel import Task, current_root_task
from trio.testing import assert_no_checkpoints

from tests.fingerprint import fingerprint
from tests.support import with_virtual_clock
from tests.test_gateways import ORGANISATIONS, gateway_stack
from trefoilhitch._generated.peer import ExplainReply, ExplainRequest
from trefoilhitch.errors import (
    NotFoundError,
    NotReadyError,
    RefusalError,
    UnauthorisedError,
)
from trefoilhitch.explain_route_command import ask_node
from trefoilhitch.http_message import HttpRequest
from trefoilhitch.pooler.peer_dependencies import PEER_PREFIX
from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_stack import (
    DATA_CENTRES,
    SERVICE,
    WireNode,
    WireStack,
    make_declaration,
    running_wire_stack,
)

# Other nodes learn of a lost gateway within this time.
SETTLE_S = 5


def make_request(
    database: str = 'stock', organisation: str = 'himal', access: str = 'read'
) -> ExplainRequest:
    """Return a request to explain."""
    return ExplainRequest(
        database=database,
        organisation=organisation,
        access='write' if access == 'write' else 'read',
    )


async def ask(
    stack: WireStack, node: str, request: ExplainRequest
) -> ExplainReply:
    """Ask a node over its interface for other nodes, as the command does."""
    return await ask_node(stack.nodes[node].cfg.peer_address, request)


async def explain_directly(
    running: WireNode, request: ExplainRequest
) -> ExplainReply:
    """Let a node answer without a connection."""
    response = await running.node.peer_handler.respond(
        HttpRequest('POST', f'{PEER_PREFIX}/explain', body=encode(request))
    )
    return decode(response.body, type=ExplainReply)


def tasks() -> list[Task]:
    """Return all tasks that run."""
    root = current_root_task()
    assert root is not None
    return list(_descendants(root))


def _descendants(task: Task) -> Iterator[Task]:
    yield task
    for nursery in task.child_nurseries:
        for child in nursery.child_tasks:
            yield from _descendants(child)


def received(stack: WireStack) -> list[tuple[int, dict[str, int]]]:
    """Return how many connections and requests the endpoints have had."""
    return [
        (endpoint.connection_count, dict(endpoint.request_counts))
        for endpoint in stack.group.endpoints.values()
    ]


async def expect_no_effect(stack: WireStack, request: ExplainRequest) -> None:
    """Check that explanations by all nodes leave everything as it was.

    Without a checkpoint no other task runs, so that what differs afterwards
    is an effect of the explanation.
    """
    for running in stack.nodes.values():
        before = fingerprint(running.node), received(stack), tasks()
        with assert_no_checkpoints():
            await explain_directly(running, request)
        assert fingerprint(running.node) == before[0]
        assert (received(stack), tasks()) == before[1:]


async def run_statements(stack: WireStack, node: str, key: str) -> None:
    """Write and read on all databases, as a client of a node."""
    for database in ('orders', 'stock', 'visits'):
        async with wire_client(stack.nodes[node].address) as client:
            await client.start(database, key)
            await client.query(f'WRITE {database} x')
            await client.query(f'READ {database}')


@with_virtual_clock
async def test_a_node_explains_a_read() -> None:
    # Guards against an answer that contradicts what the node knows.
    async with running_wire_stack() as stack:
        await run_statements(stack, 'node-0', 'key-himal')
        reply = await ask(stack, 'node-0', make_request())
        primary = stack.group.primary
        assert primary is not None
        assert reply.primary == primary.endpoint
    assert (reply.node, reply.data_centre) == ('node-0', 'patan')
    assert (reply.service, reply.freshness) == (SERVICE, 'bounded')
    assert (reply.max_age_ms, reply.revision) == (1500, 1)
    assert reply.term
    assert reply.proof_age_ms is not None
    assert not reply.primary_must_prove
    assert sum(each.share for each in reply.candidates) == pytest.approx(1)
    first, *others = reply.candidates
    assert first.distance == 'same_data_centre'
    assert len(others) == 2
    assert {each.gateway for each in reply.candidates} == {'node-0'}
    assert all(each.queue for each in reply.candidates)
    assert reply.rate is not None
    assert reply.rate.suffices
    assert not reply.rate.asks_others


@with_virtual_clock
async def test_latest_reads_and_writes_go_to_the_primary() -> None:
    # Guards against replicas in the explanation of what only a primary runs.
    async with running_wire_stack() as stack:
        for node in stack.nodes:
            await run_statements(stack, node, 'key-himal')
            read = await ask(stack, node, make_request('orders'))
            assert read.primary_must_prove
            assert read.candidates[0].endpoint == read.primary
            assert [each.share for each in read.candidates] == [1, 0, 0]
            write = await ask(stack, node, make_request(access='write'))
            assert not write.primary_must_prove
            assert [each.endpoint for each in write.candidates] == [
                read.primary
            ]


@pytest.mark.parametrize(
    ('asked', 'error'),
    [
        (make_request('odrers'), NotFoundError),
        (make_request(organisation='hmial'), NotFoundError),
        (make_request(organisation=''), UnauthorisedError),
    ],
)
def test_unknown_names_are_refused(
    asked: ExplainRequest, error: type[RefusalError]
) -> None:
    # Guards against a failure that the command cannot tell from others.
    @with_virtual_clock
    async def ask_stack() -> None:
        async with running_wire_stack(nodes=1) as stack:
            with pytest.raises(error):
                await ask(stack, 'node-0', asked)

    ask_stack()


@with_virtual_clock
async def test_a_public_route_needs_no_organisation() -> None:
    # Guards against a command that cannot explain requests without a key.
    declaration = make_declaration(2)
    for route in declaration['routes']:
        route['public'] = True
    async with running_wire_stack(nodes=1) as stack:
        stack.store_state.put('config', 'main', declaration)
        await sleep(SETTLE_S)
        reply = await ask(stack, 'node-0', make_request(organisation=''))
    assert reply.organisation == 'public'
    assert reply.rate is None


@with_virtual_clock
async def test_a_node_without_a_declaration_says_so() -> None:
    # Guards against an internal error of a node that has just started.
    async with running_wire_stack(nodes=1) as stack:
        stack.store_state.objects_by_kind.pop('config')
        await stack.start_node('node-1')
        stack.peers_cut = True
        with pytest.raises(NotReadyError):
            await explain_directly(stack.nodes['node-1'], make_request())


@with_virtual_clock
async def test_routes_are_explained_while_the_store_is_away() -> None:
    # Guards against a request to the store.
    async with running_wire_stack() as stack:
        for running in stack.nodes.values():
            running.store.faults.outage = True
        await sleep(SETTLE_S)
        began_at = current_time()
        reply = await ask(stack, 'node-1', make_request())
        assert current_time() - began_at < 0.1
    assert len(reply.candidates) == 3


@with_virtual_clock
async def test_an_explanation_has_no_effect() -> None:
    # Guards against an explanation that sends, spends, draws or records
    # anything, also one that starts a task to do so later.
    async with running_wire_stack() as stack:
        for node in stack.nodes:
            await run_statements(stack, node, 'key-himal')
        for database in ('orders', 'stock', 'visits'):
            await expect_no_effect(stack, make_request(database))
            await expect_no_effect(
                stack, make_request(database, access='write')
            )


@with_virtual_clock
async def test_an_explanation_during_failures_has_no_effect() -> None:
    # Guards against the use of a trial of a circuit breaker, and against the
    # start of the wait for a new primary.
    async with running_wire_stack() as stack:
        for running in stack.nodes.values():
            running.cut_endpoints.update(stack.group.endpoints)
        for _ in range(3):
            await run_statements(stack, 'node-0', 'key-himal')
            await sleep(0.5)
            await expect_no_effect(stack, make_request())
            await expect_no_effect(stack, make_request(access='write'))
        reply = await ask(stack, 'node-0', make_request())
    assert any(each.failed_recently for each in reply.candidates)


async def read(stack: WireStack, node: str, organisation: str) -> None:
    """Read as a client of an organisation."""
    async with wire_client(stack.nodes[node].address) as client:
        await client.start('orders', f'key-{organisation}')
        assert not (await client.query('READ a')).code


def set_read_delay(stack: WireStack, delay_s: float) -> None:
    """Let reads take some time at all endpoints."""
    for endpoint in stack.group.endpoints.values():
        endpoint.faults.read_delay_s = delay_s


async def nodes_in_flight(
    stack: WireStack, request: ExplainRequest
) -> list[str]:
    """Return which nodes say that they run a read on their connections."""
    running = []
    for node in stack.nodes:
        reply = await ask(stack, node, request)
        queue = reply.candidates[0].queue
        if queue is not None and queue.in_flight:
            running.append(node)
    return running


@with_virtual_clock
async def test_gateways_are_explained() -> None:
    # Guards against another gateway than the one that runs the statement.
    async with gateway_stack() as stack:
        for node in ('node-0', 'node-1', 'node-8'):
            request = make_request('orders', ORGANISATIONS[0])
            await expect_no_effect(stack, request)
            reply = await ask(stack, node, request)
            gateways = [each.gateway for each in reply.candidates]
            assert len(set(gateways)) == 3
            for candidate in reply.candidates:
                assert bool(candidate.queue) == (candidate.gateway == node)
            set_read_delay(stack, 0.3)
            async with open_nursery() as nursery:
                nursery.start_soon(read, stack, node, ORGANISATIONS[0])
                await sleep(0.1)
                assert await nodes_in_flight(stack, request) == gateways[:1]
            set_read_delay(stack, 0)


@with_virtual_clock
async def test_endpoints_that_may_not_be_used_come_last() -> None:
    # Guards against reads that seem to go to endpoints which leave or whose
    # data centres are evacuated.
    async with running_wire_stack(evacuation_timeout_s=5) as stack:
        entry = stack.endpoint_entry('ledger-1', state='draining')
        stack.store_state.put('servers', 'ledger-1', entry)
        stack.store_state.put('evacuations', DATA_CENTRES[2], {})
        await sleep(1)
        await run_statements(stack, 'node-1', 'key-himal')
        reply = await ask(stack, 'node-1', make_request())
    first, *others = reply.candidates
    assert (first.endpoint, first.share) == ('ledger-0', 1)
    assert not (first.leaving or first.evacuated)
    assert [(each.endpoint, each.share) for each in others] == [
        ('ledger-1', 0),
        ('ledger-2', 0),
    ]
    assert [(each.leaving, each.evacuated) for each in others] == [
        (True, False),
        (False, True),
    ]


@with_virtual_clock
async def test_a_write_does_not_go_to_an_evacuated_primary() -> None:
    # Guards against a write that seems to go to an evacuated primary.
    async with running_wire_stack(evacuation_timeout_s=5) as stack:
        for replica in stack.group.replicas():
            replica.faults.silent = True
        stack.store_state.put('evacuations', DATA_CENTRES[0], {})
        await sleep(4)
        reply = await ask(stack, 'node-0', make_request(access='write'))
    primary = reply.candidates[0]
    assert primary.endpoint == reply.primary == 'ledger-0'
    assert primary.evacuated
    assert not primary.share
