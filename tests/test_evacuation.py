"""Evacuations of data centres, as operators, clients and endpoints see them."""

from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from typing import Any

import pytest
from trio import BrokenResourceError, Nursery, current_time, open_nursery, sleep

from tests import test_wire_failover as failover
from tests.support import run_virtual, with_virtual_clock
from tests.test_gateways import MAX_CONNECTIONS, NODES
from tests.test_wire_failover import KEY, RECORDED_S, primary_of
from trefoilhitch.decision_log import NullLog
from trefoilhitch.platform.object_store import EVACUATION_KIND
from trefoilhitch.pooler.evacuation.evacuated_data_centres import (
    NEW_STATEMENT_FRACTION,
)
from trefoilhitch.pooler.object_watcher import WATCH_TIMEOUT_S
from trefoilhitch_lab.platform_store import StoreCopy
from trefoilhitch_lab.wire_client import WireClient, wire_client
from trefoilhitch_lab.wire_stack import (
    DATA_CENTRES,
    SERVICE,
    WireStack,
    make_declaration,
    running_wire_stack,
)

BOUND_S = 5.0
# How long nodes are watched after the bound.
AFTER_S = 4.0
# Connections that nodes keep for their control requests.
CONTROL = 3
# Time in which nodes learn of a withdrawal.
SOON_S = 0.5
PATAN, LAKESIDE, BIRATNAGAR = DATA_CENTRES
IN_PATAN, IN_LAKESIDE, IN_BIRATNAGAR = 'ledger-0', 'ledger-1', 'ledger-2'
CLIENT_VERBS = ('READ', 'WRITE', 'EXECUTE', 'BEGIN', 'COMMIT', 'ROLLBACK')
FEW_CONNECTIONS = [
    {'name': SERVICE, 'max_connections': MAX_CONNECTIONS, 'sync_replicas': 1}
]
# Nodes of which two in each region watch the store.
MANY_NODES = 60
SPREAD_S = 0.02
TOLD_AT_ONCE = 48
LONG_LIMITS = {'header_timeout_ms': 3000, 'tx_idle_ms': 30000}


class EventLog(NullLog):
    """Keeps the events that nodes log."""

    def __init__(self) -> None:
        """Start without events."""
        self.events: list[tuple[str, dict[str, Any]]] = []

    def event(self, kind: str, **fields: Any) -> None:
        """Keep an event."""
        self.events.append((kind, fields))

    def count(self, kind: str) -> int:
        """Return how often an event was logged."""
        return [each for each, _ in self.events].count(kind)


@dataclass
class Load:
    """Clients at all nodes, and the codes of the answers that they get."""

    stack: WireStack
    codes: list[str] = field(default_factory=list)

    async def run(self, nursery: Nursery) -> None:
        """Start clients that read, write and run transactions."""
        for node in self.stack.nodes:
            for database in ('orders', 'stock', 'visits'):
                nursery.start_soon(self._request, node, database)

    async def _request(self, node: str, database: str) -> None:
        number = 0
        while True:
            number += 1
            mark = f'{node}-{database}-{number}'
            if node in self.stack.nodes:
                await self._run_session(node, database, mark)
            await sleep(0.2)

    async def _run_session(self, node: str, database: str, mark: str) -> None:
        reads = ['READ row', 'BEGIN READ', 'READ row', 'COMMIT']
        writes = [f'WRITE {mark} x', 'BEGIN', f'WRITE {mark} y', 'COMMIT']
        running = self.stack.nodes[node]
        address = running.address
        # A node that is killed closes its connections.
        with suppress(OSError, IndexError, BrokenResourceError):
            await self._query_each(address, database, reads)
            await self._query_each(address, database, writes)

    async def _query_each(
        self, address: str, database: str, texts: list[str]
    ) -> None:
        async with wire_client(address) as client:
            await client.start(database, KEY)
            for text in texts:
                self.codes.append((await client.query(text)).code)


def evacuate(stack: WireStack, *data_centres: str, spec: Any = None) -> None:
    """Request evacuations, as operators do."""
    for name in data_centres:
        stack.store_state.put(EVACUATION_KIND, name, spec or {})


def received(stack: WireStack, endpoints: Iterable[str]) -> int:
    """Return how many statements of clients endpoints have received."""
    servers = [stack.group.endpoints[endpoint] for endpoint in endpoints]
    return sum(
        server.request_counts[verb]
        for server in servers
        for verb in CLIENT_VERBS
    )


async def expect_nothing(
    stack: WireStack, *endpoints: str, wait_s: float = AFTER_S
) -> None:
    """Check that endpoints get no statement of clients for a while."""
    before = received(stack, endpoints)
    await sleep(wait_s)
    assert received(stack, endpoints) == before


async def expect_served(stack: WireStack) -> None:
    """Check that every node reads and writes."""
    for node, running in stack.nodes.items():
        assert not await failover.write(stack, f'served-{node}', node)
        async with wire_client(running.address) as client:
            await client.start('stock', KEY)
            assert (await client.query('READ row')).code == ''


@asynccontextmanager
async def evacuating_stack(
    *, nodes: int = 3, under_load: bool = True
) -> AsyncIterator[WireStack]:
    """Run a stack whose settings hold the bound of evacuations."""
    async with (
        running_wire_stack(nodes=nodes, evacuation_timeout_s=BOUND_S) as stack,
        open_nursery() as nursery,
    ):
        await sleep(RECORDED_S)
        if under_load:
            await Load(stack).run(nursery)
            await sleep(1)
            used = [
                endpoint
                for endpoint in stack.group.endpoints
                if received(stack, [endpoint])
            ]
            assert len(used) == min(nodes, len(DATA_CENTRES))
        yield stack
        nursery.cancel_scope.cancel()
    assert not stack.group.lost_entries


@with_virtual_clock
async def test_statements_reach_an_evacuated_primary_after_the_bound() -> None:
    async with evacuating_stack() as stack:
        assert primary_of(stack).endpoint == IN_PATAN
        evacuate(stack, PATAN)
        await sleep(BOUND_S)
        await expect_nothing(stack, IN_PATAN)
        assert primary_of(stack).endpoint != IN_PATAN
        await expect_served(stack)
    assert len(stack.promotions.completed) == 1


@with_virtual_clock
async def test_statements_reach_evacuated_replicas_after_the_bound() -> None:
    async with evacuating_stack() as stack:
        evacuate(stack, LAKESIDE)
        await sleep(BOUND_S)
        await expect_nothing(stack, IN_LAKESIDE)
        replica = stack.group.endpoints[IN_LAKESIDE]
        assert replica.connection_count <= CONTROL
        await expect_served(stack)
    assert not stack.promotions.received


@pytest.mark.parametrize('kept', DATA_CENTRES)
def test_two_evacuated_data_centres_at_once_are_used(kept: str) -> None:
    """Guards against statements to either, and a promotion in the second."""

    async def play() -> None:
        async with evacuating_stack() as stack:
            others = [name for name in DATA_CENTRES if name != kept]
            evacuate(stack, *others)
            await sleep(BOUND_S)
            endpoints = [
                each.endpoint
                for each in stack.group.endpoints.values()
                if each.data_centre != kept
            ]
            await expect_nothing(stack, *endpoints)
            assert primary_of(stack).data_centre == kept
            await expect_served(stack)

    run_virtual(play)


@with_virtual_clock
async def test_writes_wait_while_no_endpoint_may_run_them() -> None:
    """Guards against requests that are held, and against promotions."""
    async with evacuating_stack() as stack:
        evacuate(stack, *DATA_CENTRES)
        await sleep(BOUND_S)
        started_at = current_time()
        assert await failover.write(stack, 'refused') == 'BUSY'
        assert current_time() - started_at < 0.05
        await expect_nothing(stack, *stack.group.endpoints)
        assert not stack.promotions.received
        stack.store_state.remove(EVACUATION_KIND, BIRATNAGAR)
        await sleep(4)
        await expect_served(stack)
        assert primary_of(stack).endpoint == IN_BIRATNAGAR


@with_virtual_clock
async def test_lagging_replica_makes_an_evacuation_lose_commits() -> None:
    """Guards against a hand-over to an endpoint that lacks commits."""
    async with evacuating_stack() as stack:
        lagging = stack.group.endpoints[IN_BIRATNAGAR]
        lagging.faults.cut_from_group = True
        await sleep(1)
        evacuate(stack, PATAN, LAKESIDE)
        await sleep(BOUND_S)
        await expect_nothing(stack, IN_PATAN, IN_LAKESIDE)
        assert primary_of(stack).endpoint == IN_PATAN
        assert not stack.promotions.received
        assert await failover.write(stack, 'refused') == 'BUSY'
        lagging.faults.cut_from_group = False
        stack.group.catch_up(lagging)
        await sleep(5)
        assert primary_of(stack) is lagging
        await expect_served(stack)


@with_virtual_clock
async def test_crashed_primary_is_replaced_in_an_evacuated_data_centre() -> (
    None
):
    async with evacuating_stack(under_load=False) as stack:
        await failover.write(stack, 'before')
        evacuate(stack, LAKESIDE)
        await sleep(BOUND_S)
        primary_of(stack).crash()
        primary_of(stack).is_primary = False
        await sleep(BOUND_S)
        assert primary_of(stack).endpoint == IN_BIRATNAGAR
        assert len(stack.promotions.completed) == 1


@with_virtual_clock
async def test_nodes_that_restart_forget_an_evacuation() -> None:
    async with evacuating_stack() as stack:
        evacuate(stack, PATAN)
        await sleep(BOUND_S)
        names = list(stack.nodes)
        before = received(stack, [IN_PATAN])
        for name in names:
            stack.kill_node(name)
        for name in names:
            await stack.start_node(name)
        await stack.wait_until_ready()
        await sleep(AFTER_S)
        assert received(stack, [IN_PATAN]) == before
        await expect_served(stack)


@with_virtual_clock
async def test_nodes_that_restart_early_count_the_time_anew() -> None:
    """Guards against statements to a primary before its hand-over."""
    async with evacuating_stack() as stack:
        names = list(stack.nodes)
        for name in names:
            stack.kill_node(name)
        evacuate(stack, PATAN)
        before = received(stack, [IN_PATAN])
        for name in names:
            await stack.start_node(name)
        await stack.wait_until_ready()
        await sleep(BOUND_S + AFTER_S)
        assert received(stack, [IN_PATAN]) == before
        await expect_served(stack)


@with_virtual_clock
async def test_node_is_ready_before_it_has_listed_the_evacuations() -> None:
    """Guards against a node that serves before it knows what is evacuated."""
    async with evacuating_stack(under_load=False) as stack:
        evacuate(stack, LAKESIDE)
        await sleep(BOUND_S)
        running = await stack.start_node('node-3')
        running.store.faults.silent_kinds = (EVACUATION_KIND,)
        before = received(stack, stack.group.endpoints)
        await sleep(3)
        assert not running.node.ready
        assert await failover.write(stack, 'early', 'node-3') == 'BUSY'
        assert received(stack, stack.group.endpoints) == before
        running.store.faults.silent_kinds = ()
        await sleep(4)
        assert running.node.ready
        assert not await failover.write(stack, 'later', 'node-3')


@asynccontextmanager
async def gateway_stack() -> AsyncIterator[WireStack]:
    """Run nodes that have to share few connections."""
    async with evacuating_stack(nodes=NODES, under_load=False) as stack:
        for endpoint in stack.group.endpoints.values():
            endpoint.faults.max_connections = MAX_CONNECTIONS
        declared = make_declaration(9, services=FEW_CONNECTIONS)
        stack.store_state.put('config', 'main', declared)
        await sleep(BOUND_S)
        yield stack


@with_virtual_clock
async def test_gateway_that_knows_no_evacuations_refuses_statements() -> None:
    """Guards against refusals while another gateway could stand in."""
    async with gateway_stack() as stack:
        names = [f'node-{number}' for number in range(6)]
        for name in names:
            stack.kill_node(name)
        for restarted in names[:3]:
            running = await stack.start_node(restarted)
            running.store.faults.silent_kinds = (EVACUATION_KIND,)
        await sleep(BOUND_S)
        for number in range(12):
            name = f'node-{6 + number % 3}'
            assert not await failover.write(stack, f'mark-{number}', name)


@with_virtual_clock
async def test_outage_of_the_store_ends_an_evacuation() -> None:
    async with evacuating_stack() as stack:
        evacuate(stack, PATAN)
        await sleep(SOON_S)
        for each in stack.nodes.values():
            each.store.faults.outage = True
        await sleep(BOUND_S)
        await expect_nothing(stack, IN_PATAN, wait_s=2 * BOUND_S)
        for each in stack.nodes.values():
            each.store.faults.outage = False
        await sleep(BOUND_S)
        await expect_nothing(stack, IN_PATAN)
        await expect_served(stack)


def older_copy(stack: WireStack) -> StoreCopy:
    """Return a copy of the store from before its evacuations."""
    copy = stack.store_state.copy()
    copy.objects_by_kind.pop(EVACUATION_KIND, None)
    return copy


@with_virtual_clock
async def test_restored_store_ends_an_evacuation_until_it_is_written() -> None:
    async with evacuating_stack() as stack:
        copy = older_copy(stack)
        evacuate(stack, PATAN)
        await sleep(BOUND_S)
        before = received(stack, [IN_PATAN])
        stack.restore_store(copy)
        await sleep(4)
        evacuate(stack, PATAN)
        await sleep(2 * BOUND_S)
        assert received(stack, [IN_PATAN]) == before
        await expect_served(stack)


@pytest.mark.parametrize('nodes', [1, 3])
def test_evacuation_that_the_store_lost_for_good_stays_in_force(
    nodes: int,
) -> None:
    """Guards against a node that keeps what nobody writes again."""

    async def play() -> None:
        async with evacuating_stack(nodes=nodes) as stack:
            copy = older_copy(stack)
            evacuate(stack, PATAN)
            await sleep(BOUND_S)
            stack.restore_store(copy)
            await sleep(2 * BOUND_S)
            before = received(stack, [IN_PATAN])
            await sleep(AFTER_S)
            assert received(stack, [IN_PATAN]) > before

    run_virtual(play)


@with_virtual_clock
async def test_transaction_goes_on_when_the_evacuation_is_withdrawn() -> None:
    """Guards against a commit of what was rolled back."""
    async with evacuating_stack(under_load=False) as stack:
        stack.store_state.put(
            'config', 'main', make_declaration(9, limits=LONG_LIMITS)
        )
        await sleep(SOON_S)
        async with wire_client(stack.nodes['node-0'].address) as client:
            await begin(client, 'orders', 'BEGIN')
            assert not (await client.query('WRITE row 1')).code
            evacuate(stack, *DATA_CENTRES)
            await sleep(BOUND_S)
            for name in DATA_CENTRES:
                stack.store_state.remove(EVACUATION_KIND, name)
            await sleep(SOON_S)
            assert (await client.query('COMMIT')).code == 'ABORTED'
            assert not (await client.query('WRITE row 2')).code
    assert len(stack.group.acknowledged_entries) == 1


@with_virtual_clock
async def test_withdrawn_evacuation_keeps_reads_away() -> None:
    async with evacuating_stack() as stack:
        evacuate(stack, LAKESIDE, PATAN)
        await sleep(BOUND_S)
        primary = primary_of(stack)
        for name in (LAKESIDE, PATAN):
            stack.store_state.remove(EVACUATION_KIND, name)
        await sleep(SOON_S)
        for endpoint in (IN_LAKESIDE, IN_PATAN):
            before = received(stack, [endpoint])
            await sleep(1)
            assert received(stack, [endpoint]) > before
        await sleep(AFTER_S)
        assert primary_of(stack) is primary
    assert len(stack.promotions.completed) == 1


@with_virtual_clock
async def test_evacuation_withdrawn_before_the_hand_over_moves_primaries() -> (
    None
):
    async with evacuating_stack() as stack:
        evacuate(stack, PATAN)
        await sleep(SOON_S)
        stack.store_state.remove(EVACUATION_KIND, PATAN)
        await sleep(BOUND_S)
        await expect_served(stack)
        assert primary_of(stack).endpoint == IN_PATAN
    assert not stack.promotions.received


@pytest.mark.parametrize('spec', [[], 'x', {'a': [1]}, 7])
def test_content_of_an_evacuation_matters(spec: Any) -> None:
    """Guards against an evacuation that is ignored for its odd content."""

    async def play() -> None:
        async with evacuating_stack() as stack:
            evacuate(stack, LAKESIDE, spec=spec)
            await sleep(BOUND_S)
            await expect_nothing(stack, IN_LAKESIDE)

    run_virtual(play)


async def begin(client: WireClient, database: str, text: str) -> None:
    """Begin a transaction."""
    assert await client.start(database, KEY) == 'READY I -'
    assert (await client.query(text)).code == ''


async def play_transaction(stack: WireStack, node: str, last: str) -> None:
    """Keep a transaction open in a data centre that is evacuated."""
    declared = make_declaration(9, limits=LONG_LIMITS)
    if len(stack.nodes) == NODES:
        declared['services'] = FEW_CONNECTIONS
        for endpoint in stack.group.endpoints.values():
            endpoint.faults.max_connections = MAX_CONNECTIONS
    stack.store_state.put('config', 'main', declared)
    await sleep(BOUND_S)
    async with wire_client(stack.nodes[node].address) as client:
        await begin(client, 'orders', 'BEGIN')
        assert (await client.query('WRITE row 1')).code == ''
        # The endpoint stays the primary, and would commit.
        evacuate(stack, *DATA_CENTRES)
        await sleep(NEW_STATEMENT_FRACTION * BOUND_S + 0.2)
        assert await failover.write(stack, 'refused', node) == 'BUSY'
        assert (await client.query('WRITE row 2')).code == ''
        await sleep(SOON_S)
        assert stack.group.endpoints[IN_PATAN].connection_count <= CONTROL
        before = received(stack, [IN_PATAN])
        answer = await client.query(last)
        expected = {'ROLLBACK': ''}.get(last, 'ABORTED')
        assert answer.code == expected
        assert received(stack, [IN_PATAN]) == before
        if answer.state != 'I':
            assert last not in {'COMMIT', 'ROLLBACK'}
            assert (await client.query('ROLLBACK')).code == ''
        assert (await client.query('WRITE row 3')).code == 'BUSY'
    assert not stack.group.acknowledged_entries


@pytest.mark.parametrize('last', ['READ row', 'WRITE row 9', 'COMMIT'])
@pytest.mark.parametrize('node', ['node-0', 'node-1'])
def test_open_transaction_goes_on_after_the_bound(node: str, last: str) -> None:
    """Guards against statements of transactions that were begun before."""

    async def play() -> None:
        async with evacuating_stack(under_load=False) as stack:
            await play_transaction(stack, node, last)

    run_virtual(play)


@pytest.mark.parametrize('last', ['READ row', 'COMMIT', 'ROLLBACK'])
@pytest.mark.parametrize('node', ['node-0', 'node-4', 'node-8'])
def test_open_transaction_goes_on_behind_a_gateway(
    node: str, last: str
) -> None:
    """Guards against a gateway that sends what it still holds."""

    async def play() -> None:
        async with evacuating_stack(nodes=NODES, under_load=False) as stack:
            await play_transaction(stack, node, last)

    run_virtual(play)


@with_virtual_clock
async def test_statements_reach_an_evacuated_endpoint_through_a_gateway() -> (
    None
):
    async with gateway_stack() as stack, open_nursery() as nursery:
        await Load(stack).run(nursery)
        await sleep(2)
        evacuate(stack, PATAN)
        await sleep(BOUND_S)
        await expect_nothing(stack, IN_PATAN)
        await expect_served(stack)
        nursery.cancel_scope.cancel()


@with_virtual_clock
async def test_evacuations_are_read_without_the_bound() -> None:
    """Guards against store calls and failovers that nobody configured."""
    log = EventLog()
    async with running_wire_stack(log=log) as stack, open_nursery() as nursery:
        evacuate(stack, PATAN)
        await Load(stack).run(nursery)
        await sleep(BOUND_S)
        before = received(stack, [IN_PATAN])
        await sleep(1)
        assert received(stack, [IN_PATAN]) > before
        assert primary_of(stack).endpoint == IN_PATAN
        nursery.cancel_scope.cancel()
    assert not stack.promotions.received
    listings = {
        fields['listing']
        for kind, fields in log.events
        if kind == 'listing_read'
    }
    assert listings == {'endpoints', 'declaration'}


@with_virtual_clock
async def test_nodes_that_do_not_watch_the_store_hear_nothing() -> None:
    """Guards against a change that only the watchers of a region know."""
    log = EventLog()
    async with running_wire_stack(
        nodes=MANY_NODES, evacuation_timeout_s=BOUND_S, log=log
    ) as stack:
        # The first watch of each node has ended.
        await sleep(WATCH_TIMEOUT_S + RECORDED_S)
        evacuate(stack, LAKESIDE)
        # Sooner than the exchanges of each node with another one.
        await sleep(SPREAD_S)
        assert log.count('evacuation_began') >= TOLD_AT_ONCE
        await sleep(SOON_S)
        assert log.count('evacuation_began') == MANY_NODES
        stack.store_state.remove(EVACUATION_KIND, LAKESIDE)
        await sleep(SOON_S)
        assert log.count('evacuation_ended') == MANY_NODES
        watches = log.count('listing_read')
        # One that restarts behind the others reads the store itself.
        evacuate(stack, PATAN)
        stack.kill_node('node-7')
        await stack.start_node('node-7')
        await sleep(SOON_S)
        assert log.count('listing_read') == watches + 3


@with_virtual_clock
async def test_operators_see_no_evacuation() -> None:
    """Guards against a metric that does not follow."""
    async with evacuating_stack(under_load=False) as stack:
        metrics = stack.nodes['node-1'].metrics
        assert 'trefoilhitch_evacuated_data_centres 0' in metrics.render()
        evacuate(stack, LAKESIDE, PATAN)
        await sleep(SOON_S)
        assert 'trefoilhitch_evacuated_data_centres 2' in metrics.render()
        stack.store_state.remove(EVACUATION_KIND, PATAN)
        await sleep(SOON_S)
        assert 'trefoilhitch_evacuated_data_centres 1' in metrics.render()
