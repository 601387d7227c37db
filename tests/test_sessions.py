"""Sessions across nodes, lost owners of transactions, drains, and keys."""

from unittest.mock import patch

import pytest
from trio import open_nursery, sleep

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
from trefoilhitch._generated.store import Bundle
from trefoilhitch.errors import RefusalError
from trefoilhitch.publisher import Publisher
from trefoilhitch.store import HttpObjectStore
from trefoilhitch_lab.deployment import SMALL
from trefoilhitch_lab.stack import Stack, running_stack

WITHDRAWAL_BOUND_S = 5


@with_virtual_clock
async def test_session_reads_its_writes_on_any_node() -> None:
    """A session that moves to another node could read from a stale replica.

    Replicas lag 30 s behind, so that each read must go to the primary.
    """
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        await sleep(1)
        for server in stack.group(SERVICE):
            server.faults.apply_lag_s = 30
        session = session_client(stack, 'n1')
        await session.run_statement(SERVICE, order_fields('o1'))
        for node in stack.nodes:
            moved = session_client(stack, node)
            moved.session = session.session
            reply = await moved.run_statement(SERVICE, count_fields('o1'))
            assert (reply.rows, reply.role) == ([[1]], 'primary')
        unrelated = await session_client(stack, 'n2').run_statement(
            SERVICE, count_fields('o1')
        )
        assert unrelated.role == 'replica'


@with_virtual_clock
async def test_maximum_age_is_enforced_with_lagging_replicas() -> None:
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        await sleep(1)
        for server in stack.group(SERVICE):
            server.faults.apply_lag_s = 4
        await session_client(stack).run_statement(SERVICE, order_fields('o1'))
        await sleep(2)
        old = count_fields('o1', freshness='max_age', max_age_ms=10_000)
        new = count_fields('o1', freshness='max_age', max_age_ms=1000)
        assert (
            await session_client(stack).run_statement(SERVICE, new)
        ).rows == [[1]]
        reply = await session_client(stack).run_statement(SERVICE, old)
        assert (reply.rows, reply.role) == ([[0]], 'replica')


@with_virtual_clock
async def test_transaction_of_a_killed_owner_is_rolled_back() -> None:
    """The owner is killed before the commit; another node has the outcome."""
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        client_node, transaction_id = await _open_on_other_node(stack)
        owner = transaction_id.partition('.')[0]
        stack.kill_node(owner)
        session = session_client(stack, client_node)
        with pytest.raises(RefusalError) as caught:
            await session.continue_transaction(
                SERVICE, f'{transaction_id}/commit', {}
            )
        assert caught.value.run == 'unknown'
        assert (await session.read_outcome('orders:t1')).state == 'absent'
        assert stored_count(stack, 'in-t1') == 0
        await session.run_statement(SERVICE, order_fields('after'))
        stack.start_node(owner)
        await sleep(3)
        with pytest.raises(RefusalError) as restarted:
            await session.continue_transaction(
                SERVICE, f'{transaction_id}/commit', {}
            )
        assert restarted.value.code == 'transaction_lost'


@with_virtual_clock
async def test_transaction_request_waits_for_heartbeat_of_a_new_owner() -> None:
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        client_node, transaction_id = await _open_on_other_node(stack)
        incarnation = int(transaction_id.split('.')[1])
        membership = stack.nodes[client_node].ctx.membership
        incarnations = [None, incarnation - 1, incarnation, incarnation]
        path = f'{transaction_id}/statements'
        with patch.object(
            membership, 'incarnation_of', side_effect=incarnations
        ):
            reply = await session_client(
                stack, client_node
            ).continue_transaction(
                SERVICE,
                path,
                count_fields('in-t1'),
            )
        assert reply.rows == [[1]]


@with_virtual_clock
async def test_commit_whose_response_is_lost_is_found() -> None:
    """The owner commits but cannot reach the node that forwarded the commit."""
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        client_node, transaction_id = await _open_on_other_node(stack)
        owner = transaction_id.partition('.')[0]
        async with open_nursery() as nursery:
            nursery.start_soon(_cut_responses, stack, owner, client_node)
            reply = await session_client(
                stack, client_node
            ).continue_transaction(
                SERVICE,
                f'{transaction_id}/commit',
                {'timeout_ms': 20_000},
            )
        assert reply.changed == 1
        assert stored_count(stack, 'in-t1') == 1


async def _open_on_other_node(stack: Stack) -> tuple[str, str]:
    """Open a transaction with one write, whose owner is on another node."""
    for node in stack.nodes:
        session = session_client(stack, node)
        begun = await session.begin_transaction(
            SERVICE, {'idempotency_key': 't1'}
        )
        if begun.transaction.startswith(f'{node}.'):
            path = f'{begun.transaction}/rollback'
            await session.continue_transaction(SERVICE, path, {})
            continue
        fields = order_fields('in-t1', idempotency_key='')
        path = f'{begun.transaction}/statements'
        await session.continue_transaction(SERVICE, path, fields)
        return node, begun.transaction
    raise LookupError('every node owns the primary')


async def _cut_responses(stack: Stack, owner: str, client_node: str) -> None:
    """Partition two nodes from each other after the commit was sent."""
    await sleep(SMALL.latency.data_centre_ms * 2 / 1000)
    stack.network.cut([owner], [client_node])
    await sleep(10)
    stack.network.heal()


@with_virtual_clock
async def test_idle_transaction_is_rolled_back() -> None:
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        session = session_client(stack)
        opened = await session.begin_transaction(SERVICE, {})
        path = f'{opened.transaction}/statements'
        await session.continue_transaction(
            SERVICE, path, order_fields('x', idempotency_key='')
        )
        waiting = order_fields('waits', timeout_ms=20_000)
        await session_client(stack).run_statement(SERVICE, waiting)
        assert stored_count(stack, 'x') == 0
        with pytest.raises(RefusalError) as caught:
            await session.continue_transaction(SERVICE, path, order_fields('x'))
        assert caught.value.code == 'transaction_lost'


@with_virtual_clock
async def test_drain_interrupts_no_request() -> None:
    """Each node restarts in turn while clients write."""
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        async with open_nursery() as nursery:
            for number in range(60):
                nursery.start_soon(_write_after_delay, stack, number)
            for name in sorted(stack.nodes):
                await sleep(0.5)
                await stack.stop_node(name)
                running = stack.start_node(name)
                await running.node.started.wait()
        assert all(
            stored_count(stack, f'o{number}') == 1 for number in range(60)
        )


@with_virtual_clock
async def test_transaction_being_opened_survives_a_drain() -> None:
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        primary = primary_of(stack)
        owner = await _owner_of_primary(stack)
        client_node = next(name for name in stack.nodes if name != owner)
        async with open_nursery() as nursery:
            async with primary.lock:
                nursery.start_soon(_run_slow_transaction, stack, client_node)
                await sleep(0.1)
                nursery.start_soon(stack.stop_node, owner)
                await sleep(1.5)
        assert stored_count(stack, 'slow') == 1


async def _owner_of_primary(stack: Stack) -> str:
    """Return the node that owns the primary's connections."""
    session = session_client(stack)
    opened = await session.begin_transaction(SERVICE, {})
    path = f'{opened.transaction}/rollback'
    await session.continue_transaction(SERVICE, path, {})
    return opened.transaction.partition('.')[0]


async def _run_slow_transaction(stack: Stack, client_node: str) -> None:
    """Open a transaction, which waits for the write lock, then write late."""
    session = session_client(stack, client_node)
    opened = await session.begin_transaction(SERVICE, {})
    await sleep(0.5)
    fields = order_fields('slow', idempotency_key='')
    path = f'{opened.transaction}/statements'
    await session.continue_transaction(SERVICE, path, fields)
    await session.continue_transaction(
        SERVICE, f'{opened.transaction}/commit', {}
    )


async def _write_after_delay(stack: Stack, number: int) -> None:
    await sleep(number * 0.1)
    await session_client(stack).run_statement(
        SERVICE, order_fields(f'o{number}')
    )


@with_virtual_clock
async def test_failover_during_drain_loses_nothing() -> None:
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        primary = primary_of(stack)
        nearest = stack.node_in_same_data_centre(primary.name)
        others = [name for name in stack.nodes if name != nearest]
        session = session_client(stack, *others)
        await session.run_statement(SERVICE, order_fields('before'))
        async with open_nursery() as nursery:
            nursery.start_soon(stack.stop_node, nearest)
            await sleep(0.2)
            rest = {*stack.endpoints, *stack.nodes, nearest, 'store'} - {
                primary.name
            }
            stack.network.cut([primary.name], rest)
            await session.run_statement(
                SERVICE,
                order_fields('during', timeout_ms=20_000),
            )
        assert [stored_count(stack, mark) for mark in ('before', 'during')] == [
            1,
            1,
        ]


@with_virtual_clock
async def test_leaving_endpoint_gets_no_new_reads() -> None:
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        leaving = next(
            server
            for server in stack.group(SERVICE)
            if server.role == 'replica'
        )
        leaving.faults.leaving = True
        await sleep(2)
        for _ in range(20):
            reply = await session_client(stack).run_statement(
                SERVICE, count_fields('x')
            )
            assert reply.endpoint != leaving.name


@with_virtual_clock
async def test_leaving_primary_is_replaced_without_refusals() -> None:
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        leaving = primary_of(stack)
        async with open_nursery() as nursery:
            for number in range(60):
                nursery.start_soon(_write_after_delay, stack, number)
            await sleep(1)
            leaving.faults.leaving = True
        assert leaving.role == 'replica'
        assert stack.primary_of(SERVICE) is not leaving
        assert all(
            stored_count(stack, f'o{number}') == 1 for number in range(60)
        )


@with_virtual_clock
async def test_withdrawn_key_is_refused_on_all_nodes() -> None:
    """A withdrawn key must also end open connections and transactions."""
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        await sleep(1)
        session = session_client(stack)
        opened = await session.begin_transaction(SERVICE, {})
        path = f'{opened.transaction}/statements'
        await session.continue_transaction(
            SERVICE, path, order_fields('x', idempotency_key='')
        )
        await _withdraw_keys(stack, 'himal')
        await sleep(WITHDRAWAL_BOUND_S)
        for node in stack.nodes:
            with pytest.raises(RefusalError) as caught:
                await session_client(stack, node).run_statement(
                    SERVICE, count_fields('x')
                )
            assert (caught.value.code, caught.value.run) == (
                'unauthorised',
                'no',
            )
        with pytest.raises(RefusalError):
            await session.continue_transaction(SERVICE, path, order_fields('y'))
        other = session_client(stack, organisation='hanbit')
        await other.run_statement(SERVICE, order_fields('unblocked'))
        assert stored_count(stack, 'x') == 0


async def _withdraw_keys(stack: Stack, organisation: str) -> None:
    bundle = stack.bundle()
    kept = [key for key in bundle.keys if key.organisation != organisation]
    changed = Bundle(
        services=bundle.services,
        endpoints=bundle.endpoints,
        organisations=bundle.organisations,
        keys=kept,
    )
    cfg = stack.nodes['n1'].ctx.cfg
    address = cfg.platform.store
    publisher = Publisher(HttpObjectStore(address))
    await publisher.apply(changed, base=1, operator='test')
