"""What an open transaction may still do after the declaration has changed."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from itertools import product
from typing import Any

import pytest
from trio import open_nursery, sleep

from tests.support import run_virtual
from tests.test_gateways import MAX_CONNECTIONS, NODES
from tests.test_wire_failover import primary_of
from trefoilhitch.pooler.authorisation import (
    PUBLIC_ORGANISATION,
    Access,
    authorise,
)
from trefoilhitch.pooler.catalogue import Catalogue, Freshness, Route
from trefoilhitch.pooler.response import Refusal
from trefoilhitch.pooler.statement import SessionStart
from trefoilhitch_lab.wire_client import WireClient, WireResponse, wire_client
from trefoilhitch_lab.wire_stack import (
    SERVICE,
    WireStack,
    make_declaration,
    running_wire_stack,
)

KEY = 'key-himal'
DATABASE = 'orders'
# A change is in force everywhere after this time.
APPLIED_S = 1.5
SHORT_S = 0.3
# All nodes know each other and have closed what they may not hold.
SETTLE_S = 5
LIMITS = {'header_timeout_ms': 3000, 'tx_idle_ms': 30000}
FIRST = make_declaration(1)
TENANTS = FIRST['tenants']
ROUTES = FIRST['routes']
OTHER_ROUTES = [each for each in ROUTES if each['host'] != DATABASE]


def tenants(own: list[str], other: list[str]) -> dict[str, Any]:
    """Return tenants with the keys of the caller's organisation and another."""
    keys = (own, ['key-hanbit', *other])
    changed = [
        {**tenant, 'api_keys': each}
        for tenant, each in zip(TENANTS, keys, strict=True)
    ]
    return {'tenants': changed}


def changed_route(**changes: Any) -> dict[str, Any]:
    """Return routes of which the caller's has changed."""
    own = next(each for each in ROUTES if each['host'] == DATABASE)
    return {'routes': [*OTHER_ROUTES, {**own, **changes}]}


# After each of these, the key doesn't stand for the caller's organisation.
IDENTITIES = {
    'dropped': tenants([], []),
    'replaced': tenants(['key-new'], []),
    'moved': tenants(['key-new'], [KEY]),
    'organisation-dropped': {'tenants': TENANTS[1:]},
}
# None of these ends a transaction that has begun.
PLACES = {
    'kept': {},
    'dropped': {'routes': OTHER_ROUTES},
    'public': changed_route(public=True),
    'other-type': changed_route(type='bounded_staleness'),
    'service-dropped': {'routes': [], 'services': []},
    'elsewhere': {
        **changed_route(service='elsewhere'),
        'services': [
            *FIRST['services'],
            {**FIRST['services'][0], 'name': 'elsewhere'},
        ],
    },
}
FEW_CONNECTIONS = [{**FIRST['services'][0], 'max_connections': MAX_CONNECTIONS}]
STATEMENTS = ('READ row', 'WRITE row 2', 'EXECUTE p row 3', 'COMMIT')
ORDERS = ('together', 'place-first', 'identity-first')


async def declare(stack: WireStack, revision: int, **changes: Any) -> None:
    """Write a version of the declaration and wait until it is in force."""
    changed = make_declaration(revision, limits=LIMITS, **changes)
    stack.store_state.put('config', 'main', changed)
    await sleep(APPLIED_S)


async def begin(client: WireClient) -> None:
    """Begin a transaction that has written a row."""
    assert await client.start(DATABASE, KEY) == 'READY I -'
    for text in ('PREPARE p WRITE shape', 'BEGIN', 'WRITE row 1'):
        assert (await client.query(text)).code == ''


async def run_each(
    stack: WireStack, changes: list[dict[str, Any]], **before: Any
) -> dict[str, WireResponse]:
    """Run each kind of statement in a transaction that is open meanwhile."""
    await declare(stack, 2, **before)
    answers: dict[str, WireResponse] = {}
    async with AsyncExitStack() as exits:
        clients = []
        for text in STATEMENTS:
            node = stack.nodes[f'node-{len(clients) % len(stack.nodes)}']
            client = await exits.enter_async_context(wire_client(node.address))
            await begin(client)
            clients.append((client, text))
        relays = [each.node.serves_other_nodes for each in stack.nodes.values()]
        assert any(relays) is bool(before)
        for revision, each in enumerate(changes, start=3):
            await declare(stack, revision, **{**before, **each})
        for client, text in clients:
            answers[text] = await client.query(text)
    return answers


@asynccontextmanager
async def few_connections() -> AsyncIterator[WireStack]:
    """Run more nodes than there are connections: most go through others."""
    async with running_wire_stack(nodes=NODES) as stack:
        for endpoint in stack.group.endpoints.values():
            endpoint.faults.max_connections = MAX_CONNECTIONS
        await sleep(SETTLE_S)
        yield stack


def steps(identity: str, place: str, order: str) -> list[dict[str, Any]]:
    """Return the versions that change both, together or in turn."""
    who, where = IDENTITIES[identity], PLACES[place]
    before = {'place-first': [where], 'identity-first': [who], 'together': []}
    return [*before[order], {**where, **who}]


async def play_refused(changes: list[dict[str, Any]]) -> None:
    """Check that a caller who has changed runs and keeps nothing."""
    async with running_wire_stack() as stack:
        answers = await run_each(stack, changes)
        assert {each.code for each in answers.values()} == {'AUTHFAIL'}
        await sleep(APPLIED_S)
        assert not stack.group.acknowledged_entries


@pytest.mark.parametrize('identity', IDENTITIES)
@pytest.mark.parametrize(
    ('place', 'order'),
    [
        ('kept', 'together'),
        *product([each for each in PLACES if each != 'kept'], ORDERS),
    ],
)
def test_withdrawn_key_goes_on_in_an_open_transaction(
    identity: str, place: str, order: str
) -> None:
    """Guards against statements that run for a key after it was dropped."""
    run_virtual(partial(play_refused, steps(identity, place, order)))


async def play_allowed(place: dict[str, Any]) -> None:
    """Check that a transaction ends as it began."""
    async with running_wire_stack() as stack:
        answers = await run_each(stack, [place])
        assert not any(each.code for each in answers.values())
        assert len(stack.group.acknowledged_entries) == 1


@pytest.mark.parametrize('place', PLACES)
def test_transaction_ends_as_it_began_whatever_becomes_of_its_route(
    place: str,
) -> None:
    """Guards against transactions that a change of their route breaks off."""
    run_virtual(partial(play_allowed, PLACES[place]))


async def play_behind_gateways(identity: str) -> None:
    """Change the caller and drop the route, with nodes behind gateways."""
    async with few_connections() as stack:
        changes = steps(identity, 'dropped', 'together')
        answers = await run_each(stack, changes, services=FEW_CONNECTIONS)
        assert {each.code for each in answers.values()} == {'AUTHFAIL'}
        await sleep(APPLIED_S)
        assert not stack.group.acknowledged_entries


@pytest.mark.parametrize('identity', IDENTITIES)
def test_withdrawn_key_goes_on_behind_a_gateway(identity: str) -> None:
    """Guards against the same through a node that holds the connections."""
    run_virtual(partial(play_behind_gateways, identity))


async def play_waiting() -> None:
    """Drop the key and the route while a statement of it waits."""
    async with running_wire_stack() as stack, open_nursery() as nursery:
        await declare(stack, 2)
        async with wire_client(stack.nodes['node-0'].address) as client:
            await begin(client)
            primary_of(stack).faults.silent = True
            nursery.start_soon(client.query, 'READ row')
            await sleep(SHORT_S)
            changes = {**PLACES['dropped'], **IDENTITIES['dropped']}
            await declare(stack, 3, **changes)
            primary_of(stack).faults.silent = False
            assert (await client.query('COMMIT')).code
        await sleep(APPLIED_S)
        assert not stack.group.acknowledged_entries
        nursery.cancel_scope.cancel()


def test_withdrawn_key_commits_after_a_statement_that_waited() -> None:
    """Guards against a commit that a slow statement lets through."""
    run_virtual(play_waiting)


def route(*, public: bool = False, service: str = SERVICE) -> Route:
    """Return a route of the database."""
    return Route(
        database=DATABASE,
        service=service,
        freshness=Freshness.LATEST,
        max_age_s=0,
        timeout_s=1,
        target_latency_s=1,
        public=public,
    )


@pytest.mark.parametrize('begun', [route(), route(service='elsewhere')])
@pytest.mark.parametrize('declared', [None, route(), route(public=True)])
def test_route_that_began_never_identifies_the_caller(
    begun: Route, declared: Route | None
) -> None:
    routes = {DATABASE: declared} if declared else {}
    caller = SessionStart(DATABASE, KEY)
    known = Catalogue(1, routes=routes, keys={KEY: 'himal'})
    assert authorise(known, caller, begun) == Access(begun, 'himal')
    unknown = Catalogue(1, routes=routes)
    assert authorise(unknown, caller, begun) == Refusal.UNAUTHORISED


def test_public_route_needs_no_key_until_the_transaction_ends() -> None:
    begun = route(public=True)
    declared = Catalogue(1, routes={DATABASE: route()})
    caller = SessionStart(DATABASE, '')
    permitted = authorise(declared, caller, begun)
    assert permitted == Access(begun, PUBLIC_ORGANISATION)
    assert authorise(declared, caller) == Refusal.UNAUTHORISED
