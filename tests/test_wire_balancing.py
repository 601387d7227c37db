"""Reads and retries on nodes of the wire protocol, on a virtual clock."""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
from msgspec.json import encode
from msgspec.structs import replace
from trio import current_time, open_nursery, sleep

from tests.support import run_virtual, with_virtual_clock
from tests.test_gateways import declaration
from trefoilhitch._generated.options import (
    BalancingOptions,
    PoolerOptions,
    RetryOptions,
    SchedulingOptions,
)
from trefoilhitch._generated.peer import Exchange, MemberBeat
from trefoilhitch.decision_log import NullLog
from trefoilhitch.http_client import HttpClient
from trefoilhitch.http_message import HttpRequest
from trefoilhitch.json_decoding import decode_json
from trefoilhitch.pooler.options import default_options
from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_endpoint import WireEndpoint
from trefoilhitch_lab.wire_stack import WireStack, running_wire_stack

KEY = 'key-himal'
READS = 100
SLOW_S = 0.3


class EventLog(NullLog):
    """Keeps events in memory."""

    def __init__(self) -> None:
        """Start without events."""
        self.events: list[tuple[str, dict[str, Any]]] = []

    def event(self, kind: str, **fields: Any) -> None:
        """Keep an event."""
        self.events.append((kind, fields))


def without_parts() -> PoolerOptions:
    """Return options without balancing and backoff."""
    return PoolerOptions(
        **{
            **{
                name: getattr(default_options(), name)
                for name in PoolerOptions.__annotations__
            },
            'balancing': BalancingOptions(reads_by_load=False),
            'retries': RetryOptions(with_backoff=False),
        }
    )


def replica_near(stack: WireStack, node: str) -> WireEndpoint:
    """Return the replica in the data centre of a node."""
    data_centre = stack.nodes[node].cfg.data_centre
    found = next(
        each
        for each in stack.group.endpoints.values()
        if each.data_centre == data_centre
    )
    assert not found.is_primary
    return found


async def read_often(
    stack: WireStack, node: str, key: str = KEY, count: int = READS
) -> Counter[str]:
    """Send reads one after the other; return how often each code came."""
    codes: Counter[str] = Counter()
    async with wire_client(stack.nodes[node].address) as client:
        await client.start('stock', key)
        for _ in range(count):
            codes[(await client.query('READ a1')).code] += 1
            await sleep(0.01)
    return codes


def counter(stack: WireStack, node: str, name: str) -> int:
    """Return a counter of a node, over all labels."""
    return stack.nodes[node].metrics.total(name)


async def reads_at_slow_replica(options: PoolerOptions) -> int:
    """Return how many of 100 reads a slow replica got."""
    async with running_wire_stack(options=options) as stack:
        await sleep(2)
        replica = replica_near(stack, 'node-1')
        assert not (await read_often(stack, 'node-1', count=20))['BUSY']
        replica.faults.read_delay_s = SLOW_S
        before = replica.request_counts['READ']
        codes = await read_often(stack, 'node-1')
        assert codes == {'': READS}
        return replica.request_counts['READ'] - before


def test_slow_replica_is_left_for_another_region() -> None:
    """Without the part, the nearest endpoint gets all reads."""
    former = run_virtual(lambda: reads_at_slow_replica(without_parts()))
    assert former == READS
    assert run_virtual(lambda: reads_at_slow_replica(default_options())) < 40


async def reads_at_busy_replica(options: PoolerOptions) -> int:
    """Return how many of 100 reads a replica refused."""
    async with running_wire_stack(options=options) as stack:
        await sleep(2)
        replica = replica_near(stack, 'node-1')
        await read_often(stack, 'node-1', count=20)
        replica.faults.busy = True
        before = replica.request_counts['READ']
        codes = await read_often(stack, 'node-1')
        assert codes == {'': READS}
        assert counter(stack, 'node-1', 'endpoint_refusals')
        return replica.request_counts['READ'] - before


def test_refusal_affects_the_next_reads_of_all_sessions() -> None:
    """Without the part, each read is refused once before it goes elsewhere."""
    former = run_virtual(lambda: reads_at_busy_replica(without_parts()))
    assert former == READS
    assert run_virtual(lambda: reads_at_busy_replica(default_options())) < 20


@with_virtual_clock
async def test_refused_connection_counts_and_reads_go_elsewhere() -> None:
    async with running_wire_stack() as stack:
        await sleep(2)
        replica = replica_near(stack, 'node-1')
        replica.faults.max_connections = 0
        assert await read_often(stack, 'node-1') == {'': READS}
        rendered = stack.nodes['node-1'].metrics.render()
    assert 'endpoint_refusals_total{kind="connection_refused"}' in rendered


@with_virtual_clock
async def test_reads_are_refused_at_once_when_no_endpoint_has_budget() -> None:
    """A retry storm: all endpoints refuse, and so does the node."""
    async with running_wire_stack() as stack:
        await sleep(2)
        for endpoint in stack.group.endpoints.values():
            endpoint.faults.busy = True
        before = _read_count(stack)
        codes = await read_often(stack, 'node-1')
        sent = _read_count(stack) - before
        assert codes == {'BUSY': READS}
        assert counter(stack, 'node-1', 'retries_refused') > READS / 2
        assert sent <= 1.25 * READS + 30


def _read_count(stack: WireStack) -> int:
    return sum(
        endpoint.request_counts['READ']
        for endpoint in stack.group.endpoints.values()
    )


async def write_while_busy(options: PoolerOptions) -> str:
    """Write while the primary refuses everything for 0.4 s."""
    async with running_wire_stack(options=options) as stack:
        await sleep(2)
        primary = stack.group.primary
        assert primary is not None
        primary.faults.busy = True
        codes: list[str] = []

        async def write() -> None:
            async with wire_client(stack.nodes['node-1'].address) as client:
                await client.start('orders', KEY)
                codes.append((await client.query('WRITE a1 x')).code)

        async with open_nursery() as nursery:
            nursery.start_soon(write)
            await sleep(0.4)
            primary.faults.busy = False
        return codes[0]


def test_write_keeps_trying_the_primary_with_backoff() -> None:
    """With a fixed pause, its attempts are used up after 0.24 s."""
    assert run_virtual(lambda: write_while_busy(without_parts())) == 'BUSY'
    assert not run_virtual(lambda: write_while_busy(default_options()))


@with_virtual_clock
async def test_statement_without_time_for_a_pause_is_refused_before_it() -> (
    None
):
    """A statement is not held until its deadline only to be refused."""
    async with running_wire_stack() as stack:
        await sleep(2)
        primary = stack.group.primary
        assert primary is not None
        primary.faults.busy = True
        async with wire_client(stack.nodes['node-1'].address) as client:
            await client.start('orders', KEY)
            started_at = current_time()
            answer = await client.query('WRITE a1 x')
            took_s = current_time() - started_at
    assert answer.code == 'BUSY'
    assert 0.3 < took_s < 1


@with_virtual_clock
async def test_log_and_metrics_tell_reads_from_writes() -> None:
    log = EventLog()
    async with running_wire_stack(log=log) as stack:
        await sleep(2)
        await read_often(stack, 'node-1', count=10)
        async with wire_client(stack.nodes['node-1'].address) as client:
            await client.start('orders', KEY)
            await client.query('WRITE a1 x')
        replica_near(stack, 'node-1').faults.busy = True
        await read_often(stack, 'node-1', count=10)
        rendered = stack.nodes['node-1'].metrics.render()
    lines = [fields for kind, fields in log.events if kind == 'statement']
    choices = Counter((each['access'], each['choice']) for each in lines)
    assert choices['read', 'nearest'] >= 10
    assert choices['read', 'retry'] >= 1
    assert choices['read', 'weighted'] >= 1
    assert choices['write', 'only'] == 1
    assert 'writes_sent_total{kind="ledger-0"} 1\n' in rendered
    assert 'reads_sent_total{kind="ledger-1"}' in rendered
    assert 'read_choices_total{kind="retry"}' in rendered


@pytest.mark.parametrize('waits_s', [0.2, 1.5])
def test_flapping_endpoint_fails_few_reads(waits_s: float) -> None:
    """The nearest endpoint resets its connections every 1.5 s."""

    async def scenario() -> None:
        async with running_wire_stack() as stack:
            await sleep(waits_s)
            replica = replica_near(stack, 'node-1')
            codes: list[Counter[str]] = []

            async def read() -> None:
                codes.append(await read_often(stack, 'node-1', count=600))

            async with open_nursery() as nursery:
                nursery.start_soon(read)
                for _ in range(4):
                    await sleep(1.4)
                    replica.crash()
                    await sleep(0.1)
                    replica.faults.down = False
            assert codes == [{'': 600}]

    run_virtual(scenario)


@with_virtual_clock
async def test_one_read_tries_an_unreachable_endpoint_and_no_other_waits() -> (
    None
):
    """While one read tries it, the others go elsewhere at once.

    They chose it as well and were refused when it did not answer.
    """
    async with running_wire_stack() as stack:
        await sleep(2)
        node = stack.nodes['node-1']
        node.cut_endpoints.add(replica_near(stack, 'node-1').endpoint)
        # Reads find out twice; the endpoint is avoided for two seconds then.
        for _ in range(3):
            await read_often(stack, 'node-1', count=3)
            await sleep(4)
        before = counter(stack, 'node-1', 'connections_not_opened')
        codes: list[Counter[str]] = []

        async def read() -> None:
            codes.append(await read_often(stack, 'node-1', count=1))

        async with open_nursery() as nursery:
            for _ in range(20):
                nursery.start_soon(read)
        failures = counter(stack, 'node-1', 'connections_not_opened') - before
    assert codes == [{'': 1} for _ in range(20)]
    assert failures == 1


# Between nodes


@asynccontextmanager
async def slow_gateway_stack(
    options: PoolerOptions,
) -> AsyncIterator[tuple[WireStack, WireEndpoint]]:
    """Run nine nodes with gateways; the replica near node-1 is slow."""
    async with running_wire_stack(nodes=9, options=options) as stack:
        stack.store_state.put('config', 'main', declaration(2))
        await sleep(5)
        replica = replica_near(stack, 'node-1')
        async with open_nursery() as nursery:
            for node in ('node-1', 'node-4', 'node-7'):
                nursery.start_soon(read_often, stack, node, 'key-org-1', 20)
        replica.faults.read_delay_s = SLOW_S
        yield stack, replica


async def reads_through_gateways(options: PoolerOptions) -> int:
    """Return how many of 300 reads a slow replica got from three nodes."""
    async with slow_gateway_stack(options) as (stack, replica):
        before = replica.request_counts['READ']
        async with open_nursery() as nursery:
            for node in ('node-1', 'node-4', 'node-7'):
                nursery.start_soon(read_often, stack, node, 'key-org-1')
        return replica.request_counts['READ'] - before


def test_nodes_learn_the_load_from_their_gateway() -> None:
    former = run_virtual(lambda: reads_through_gateways(without_parts()))
    assert former > 0.9 * 3 * READS
    assert run_virtual(lambda: reads_through_gateways(default_options())) < 100


async def reads_of_a_second_node(options: PoolerOptions) -> int:
    """Return how many of its first ten reads a node sends to a slow replica.

    Another node of its data centre has found out that the replica is slow. What
    waits on a gateway does not reach the replica, so nothing waits there.
    """
    unscheduled = replace(
        options, scheduling=SchedulingOptions(statements_by_priority=False)
    )
    async with slow_gateway_stack(unscheduled) as (stack, replica):
        await read_often(stack, 'node-4', 'key-org-1')
        async with open_nursery() as nursery:
            nursery.start_soon(
                read_often, stack, 'node-4', 'key-org-1', READS // 2
            )
            await sleep(0.4)
            before = replica.request_counts['READ']
            async with open_nursery() as readers:
                for _ in range(10):
                    readers.start_soon(
                        read_often, stack, 'node-7', 'key-org-1', 1
                    )
            return replica.request_counts['READ'] - before


def test_nodes_of_a_data_centre_share_what_they_observed() -> None:
    former = run_virtual(lambda: reads_of_a_second_node(without_parts()))
    assert former >= 10
    assert run_virtual(lambda: reads_of_a_second_node(default_options())) < 5


async def exchange_as(stack: WireStack, data_centre: str) -> Exchange:
    """Send an exchange to node-1 as a new node of a data centre."""
    beat = MemberBeat(
        node='node-x',
        address='127.0.0.1:9',
        region=data_centre,
        data_centre=data_centre,
        incarnation=1,
        counter=1,
        state='live',
    )
    client = HttpClient(stack.nodes['node-1'].cfg.peer_address)
    body = encode(Exchange(beats=[beat]))
    req = HttpRequest('POST', '/v1/pooler/exchange', body=body)
    answer = await client.request(req, current_time() + 5)
    return decode_json(answer.body, Exchange)


@with_virtual_clock
async def test_loads_stay_inside_the_data_centre() -> None:
    """Bytes between data centres have a price."""
    async with running_wire_stack() as stack:
        await sleep(2)
        await read_often(stack, 'node-1')
        near = stack.nodes['node-1'].cfg.data_centre
        far = stack.nodes['node-0'].cfg.data_centre
        assert not (await exchange_as(stack, far)).loads
    async with running_wire_stack() as stack:
        await sleep(2)
        await read_often(stack, 'node-1')
        loads = (await exchange_as(stack, near)).loads
        assert [load.endpoint for load in loads] == ['ledger-1']


# Replicas that lag


async def reads_answered_with_lagging(options: PoolerOptions) -> int:
    """Return how many of 1800 reads a replica refused that is 3 s behind.

    Three nodes of its data centre read through gateways while another one
    writes.
    """
    async with running_wire_stack(nodes=9, options=options) as stack:
        stack.store_state.put('config', 'main', declaration(2))
        await sleep(5)
        replica = replica_near(stack, 'node-1')
        async with open_nursery() as nursery:
            nursery.start_soon(write_often, stack)
            await sleep(2)
            replica.faults.apply_lag_s = 3
            await sleep(2)
            async with open_nursery() as readers:
                for node in ('node-1', 'node-4', 'node-7'):
                    readers.start_soon(
                        read_often, stack, node, 'key-org-1', 6 * READS
                    )
            nursery.cancel_scope.cancel()
        return sum(
            counter(stack, node, 'endpoint_refusals') for node in stack.nodes
        )


async def write_often(stack: WireStack) -> None:
    """Write until cancelled."""
    async with wire_client(stack.nodes['node-0'].address) as client:
        await client.start('orders', 'key-org-1')
        while True:
            await client.query('WRITE a1 x')
            await sleep(0.05)


def without_positions() -> PoolerOptions:
    """Return options with which positions of logs do not count."""
    return replace(
        default_options(), balancing=BalancingOptions(reads_by_position=False)
    )


def test_nodes_share_the_positions_of_a_replica_that_lags() -> None:
    """Without the part, each node tries it 0.4 s after each refusal."""
    former = run_virtual(
        lambda: reads_answered_with_lagging(without_positions())
    )
    now = run_virtual(lambda: reads_answered_with_lagging(default_options()))
    assert former >= 30
    assert now <= former / 2
