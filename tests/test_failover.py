"""Tests of failover: lost primaries, partitions and promotion races."""

import pytest
from trio import current_time, open_nursery, sleep

from tests.support import (
    SERVICE,
    count_fields,
    create_table,
    order_fields,
    primary_of,
    session_client,
    stored_count,
    with_virtual_clock,
)
from trefoilhitch._generated.endpoint import (
    FenceRequest,
    GroupMember,
    PromoteRequest,
)
from trefoilhitch._generated.peer import SwitchOrder
from trefoilhitch._generated.record import Sighting
from trefoilhitch.clock import deadline_after_ms
from trefoilhitch.errors import RefusalError
from trefoilhitch.promoter import Promoter
from trefoilhitch_lab.deployment import SMALL
from trefoilhitch_lab.endpoint_server import (
    EndpointRefusalError,
    EndpointServer,
)
from trefoilhitch_lab.session_client import SessionClient
from trefoilhitch_lab.stack import Stack, running_stack

FAILOVER_BOUND_S = 11


def _isolate(stack: Stack, *names: str) -> None:
    everyone = {*stack.endpoints, *stack.nodes, 'store'}
    stack.network.cut(names, everyone - set(names))


async def _until_written(session: SessionClient, mark: str) -> float:
    """Retry a write with the same key until it is acknowledged."""
    began = current_time()
    while True:
        try:
            await session.run_statement(SERVICE, order_fields(mark))
        except RefusalError:
            await sleep(0.1)
        else:
            return current_time() - began


@with_virtual_clock
async def test_a_primary_cut_off_with_a_node_acknowledges_nothing() -> None:
    """Clients still reach the primary through the node in its partition."""
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        old = primary_of(stack)
        isolated_node = stack.node_in_same_data_centre(old.name)
        others = [name for name in stack.nodes if name != isolated_node]
        _isolate(stack, old.name, isolated_node)
        isolated_client = session_client(stack, isolated_node)
        with pytest.raises(RefusalError) as caught:
            await isolated_client.run_statement(SERVICE, order_fields('inside'))
        assert caught.value.run == 'unknown'
        assert (
            await _until_written(session_client(stack, *others), 'outside')
            < FAILOVER_BOUND_S
        )
        assert not stack.nodes[isolated_node].node.is_ready()
        assert any(
            entry.request == 'orders:inside' for entry in old.database.log
        )
        stack.network.heal()
        await sleep(3)
        assert old.role == 'replica'
        assert stored_count(stack, 'outside') == 1
        assert stored_count(stack, 'inside') == 0
        assert (
            await session_client(stack, isolated_node).read_outcome(
                'orders:inside'
            )
        ).state == 'absent'


@with_virtual_clock
async def test_an_unconfirmed_tail_is_discarded_and_the_rest_is_kept() -> None:
    """The old primary returns with a longer log of an older term."""
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        await session_client(stack).run_statement(SERVICE, order_fields('kept'))
        old = primary_of(stack)
        stack.network.cut([old.name], set(stack.endpoints) - {old.name})
        for number in range(5):
            with pytest.raises(RefusalError):
                await session_client(stack).run_statement(
                    SERVICE,
                    order_fields(f'tail-{number}', timeout_ms=300),
                )
        longest = len(old.database.log)
        await _until_written(session_client(stack), 'after')
        assert len(primary_of(stack).database.log) < longest
        stack.network.heal()
        await sleep(3)
        logs = [server.database.log for server in stack.group(SERVICE)]
        assert logs[0] == logs[1] == logs[2]
        assert [stored_count(stack, mark) for mark in ('kept', 'after')] == [
            1,
            1,
        ]


@with_virtual_clock
async def test_only_one_of_two_claimants_wins_a_term() -> None:
    """Two promotions run at once, and one claimant resumes too late."""
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        servers = stack.group(SERVICE)
        term = max(server.term for server in servers) + 1
        for server in servers[:2]:
            assert server.fence(
                FenceRequest(term=term, claimant='first')
            ).accepted
        assert not any(
            server.fence(FenceRequest(term=term, claimant='second')).accepted
            for server in servers[:2]
        )
        await _until_written(session_client(stack), 'between')
        late = PromoteRequest(
            term=term,
            claimant='first',
            members=[
                GroupMember(name=each.name, control='') for each in servers
            ],
        )
        with pytest.raises(EndpointRefusalError):
            servers[0].promote(late)
        assert sum(server.role == 'primary' for server in servers) == 1
        assert stored_count(stack, 'between') == 1


@with_virtual_clock
async def test_a_term_is_never_promoted_twice() -> None:
    """The response to a promotion is lost, and it is retried on old state."""
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        ctx = stack.nodes['n1'].ctx
        declared = ctx.config.current.groups[SERVICE]
        promoter = Promoter(
            membership=ctx.membership,
            connector=ctx.platform.endpoints,
            store=ctx.platform.store,
            log=ctx.log,
        )
        stack.network.cut(stack.endpoints, stack.endpoints)
        before = [_sighting(server) for server in stack.group(SERVICE)]
        assert await promoter.promote(SERVICE, declared, before)
        first = primary_of(stack)
        assert not await promoter.promote(SERVICE, declared, before)
        promoted = [
            server.name
            for server in stack.group(SERVICE)
            if server.role == 'primary' and server.term == first.term
        ]
        assert promoted == [first.name]


def _sighting(server: EndpointServer) -> Sighting:
    return Sighting(
        name=server.name,
        role=server.role,
        term=server.term,
        last_term=server.database.end.term,
        last_position=server.database.end.position,
        reachable=True,
        silent_ms=0,
    )


@with_virtual_clock
async def test_an_abandoned_fence_is_resolved() -> None:
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        replica = next(
            server
            for server in stack.group(SERVICE)
            if server.role == 'replica'
        )
        replica.fence(FenceRequest(term=replica.term + 1, claimant='gone'))
        await sleep(5)
        roles = sorted(server.role for server in stack.group(SERVICE))
        assert roles == ['primary', 'replica', 'replica']
        assert await _until_written(session_client(stack), 'after') < 1


@with_virtual_clock
async def test_packet_loss_causes_no_promotion() -> None:
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        terms = [server.term for server in stack.group(SERVICE)]
        stack.network.loss = 0.05
        session = session_client(stack)
        for number in range(60):
            await _until_written(session, f'o{number}')
            await sleep(1)
        assert [server.term for server in stack.group(SERVICE)] == terms
        assert all(
            stored_count(stack, f'o{number}') == 1 for number in range(60)
        )


@with_virtual_clock
async def test_a_primary_unreachable_only_from_the_nodes_is_kept() -> None:
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        primary = primary_of(stack)
        term = primary.term
        stack.network.cut(stack.nodes, [primary.name])
        await sleep(8)
        assert (primary.role, primary.term) == ('primary', term)
        stack.network.heal()
        assert (
            await _until_written(session_client(stack), 'after')
            < FAILOVER_BOUND_S
        )


@with_virtual_clock
async def test_a_promotion_needs_no_store_and_is_published_later() -> None:
    """The primary fails while the store is down."""
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        await sleep(2)
        stack.store.faults.outage = True
        _isolate(stack, primary_of(stack).name)
        gap_s = await _until_written(session_client(stack), 'during')
        assert gap_s < FAILOVER_BOUND_S
        newcomer = stack.start_node('n1')
        await newcomer.node.started.wait()
        await sleep(1)
        assert newcomer.node.is_ready()
        stack.store.faults.outage = False
        await sleep(2)
        published = stack.store.read_object(f'groups/{SERVICE}').body
        assert f'"{primary_of(stack).name}"' in published
        assert f'"term":{primary_of(stack).term}' in published


@with_virtual_clock
async def test_a_planned_switchover_refuses_no_request() -> None:
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        target = next(
            server
            for server in stack.group(SERVICE)
            if server.role == 'replica'
        )
        async with open_nursery() as nursery:
            for number in range(20):
                nursery.start_soon(_write_at, stack, number * 0.1, f'o{number}')
            await sleep(0.5)
            membership = stack.nodes['n1'].ctx.membership
            monitor = membership.monitors_of(SERVICE)[0]
            await _switch(stack, monitor, target.name)
        assert target.role == 'primary'
        assert all(
            stored_count(stack, f'o{number}') == 1 for number in range(20)
        )


async def _write_at(stack: Stack, delay_s: float, mark: str) -> None:
    await sleep(delay_s)
    await session_client(stack).run_statement(SERVICE, order_fields(mark))


async def _switch(stack: Stack, monitor: str, primary: str) -> None:
    ctx = stack.nodes['n1'].ctx
    address = ctx.membership.address_of(monitor)
    assert address is not None
    await ctx.peers.at(address).request(
        '/peer/v1/switch',
        SwitchOrder(service=SERVICE, primary=primary),
        SwitchOrder,
        deadline_after_ms(1000),
    )


@with_virtual_clock
async def test_a_write_with_a_lost_response_runs_once() -> None:
    """The write ran at the primary, but its response did not arrive."""
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        primary = primary_of(stack)
        for number in range(5):
            primary.faults.drop_responses = 1
            mark = f'o{number}'
            await session_client(stack).run_statement(
                SERVICE, order_fields(mark)
            )
            assert stored_count(stack, mark) == 1
            assert primary.faults.drop_responses == 0
        reply = await session_client(stack).run_statement(
            SERVICE, count_fields('o0')
        )
        assert reply.rows == [[1]]


@with_virtual_clock
async def test_a_paused_primary_that_resumes_is_harmless() -> None:
    """The primary pauses until replaced, then resumes pending requests."""
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        old = primary_of(stack)
        old.faults.frozen = True
        stack.network.cut([old.name], set(stack.endpoints) - {old.name})
        session = session_client(stack)
        assert await _until_written(session, 'after') < FAILOVER_BOUND_S
        stack.network.heal()
        old.faults.frozen = False
        strict = count_fields('after', freshness='strict')
        assert (
            await session_client(stack).run_statement(SERVICE, strict)
        ).rows == [[1]]
        await sleep(3)
        assert sum(each.role == 'primary' for each in stack.group(SERVICE)) == 1
        assert stored_count(stack, 'after') == 1


@with_virtual_clock
async def test_strict_reads_of_a_cut_off_primary_are_refused() -> None:
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        old = primary_of(stack)
        isolated_node = stack.node_in_same_data_centre(old.name)
        _isolate(stack, old.name, isolated_node)
        for freshness in (
            {'freshness': 'strict'},
            {'freshness': 'max_age', 'max_age_ms': 100},
        ):
            await sleep(1)
            with pytest.raises(RefusalError):
                await session_client(stack, isolated_node).run_statement(
                    SERVICE,
                    count_fields('x', timeout_ms=2000, **freshness),
                )


@with_virtual_clock
async def test_a_region_cut_off_serves_what_it_can() -> None:
    """One side keeps the majority; the other refuses writes."""
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        await session_client(stack).run_statement(
            SERVICE, order_fields('before')
        )
        await sleep(1)
        west = [
            name
            for name, place in stack.network.locations.items()
            if place.region == 'west'
        ]
        rest = {*stack.endpoints, *stack.nodes, 'store'} - set(west)
        stack.network.cut(west, rest)
        east = session_client(stack, 'n1', 'n2')
        assert await _until_written(east, 'east') < FAILOVER_BOUND_S
        with pytest.raises(RefusalError):
            await session_client(stack, 'n3').run_statement(
                SERVICE, order_fields('west')
            )
        local = await session_client(stack, 'n3').run_statement(
            SERVICE,
            count_fields('before', timeout_ms=20_000),
        )
        assert local.rows == [[1]]
        stack.network.heal()
        await sleep(4)
        assert (
            await session_client(stack, 'n3').run_statement(
                SERVICE, order_fields('west')
            )
        ).changed
        assert [stored_count(stack, mark) for mark in ('east', 'west')] == [
            1,
            1,
        ]
