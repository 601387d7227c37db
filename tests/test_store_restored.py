"""A store that comes back from an older copy, and assigns revisions again."""

from collections.abc import Callable
from typing import Any

from trio import fail_after, move_on_after, open_nursery, sleep

from tests.support import with_virtual_clock
from tests.test_replaced_primary import SPLIT_S, WriteHistory, split
from tests.test_wire_failover import KEY, primary_of, write_until_done
from trefoilhitch._generated.peer import (
    EndpointEntryReport,
    EntriesReply,
    EntriesRequest,
)
from trefoilhitch.decision_log import NullLog
from trefoilhitch.platform.object_store import (
    CONFIG_KIND,
    CONFIG_NAME,
    ENDPOINT_KIND,
    LEASE_KIND,
    NODE_KIND,
)
from trefoilhitch.pooler.lease import LEASE_DURATION_S
from trefoilhitch.pooler.peer_client import PeerClient
from trefoilhitch_lab.platform_store import StoreCopy
from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_stack import (
    SERVICE,
    WireStack,
    make_declaration,
    running_wire_stack,
)

# Nodes of which two in each region watch the store.
MANY_NODES = 15
SPREAD_S = 3.0
LEAVING = 'ledger-1'
# Time in which nodes that are cut off from each other learn of a new primary.
LEARNED_S = 1.0
# Time in which a node compares its state with another one.
EXCHANGE_S = 0.5


async def replace_primary(stack: WireStack, mark: str) -> None:
    """Have a crashed primary replaced, and let it return."""
    old = primary_of(stack)
    old.crash()
    old.is_primary = False
    await write_until_done(stack, mark)
    await sleep(1)
    old.faults.down = False
    stack.group.catch_up(old)


async def entry_at(stack: WireStack, node: str) -> EndpointEntryReport | None:
    """Return the leaving endpoint as a node knows it."""
    reply = await PeerClient(NullLog()).request(
        stack.nodes[node].cfg.peer_address,
        'entries',
        EntriesRequest(above=0),
        EntriesReply,
    )
    assert reply is not None
    return next(
        (each for each in reply.entries if each.endpoint == LEAVING), None
    )


async def wait_for(condition: Callable[[], Any], within_s: float) -> None:
    """Wait until a condition holds."""
    with move_on_after(within_s):
        while not condition():
            await sleep(0.05)
    assert condition()


async def read_stock(stack: WireStack) -> None:
    """Read at the node in the data centre of the leaving endpoint."""
    async with wire_client(stack.nodes['node-1'].address) as client:
        await client.start('stock', KEY)
        assert not (await client.query('READ before-0')).code


def write_often(stack: WireStack) -> StoreCopy:
    """Return a copy of the store, and let it be far behind."""
    copy = stack.store_state.copy()
    for number in range(20):
        entry = stack.endpoint_entry(LEAVING, sequence=number)
        stack.store_state.put(ENDPOINT_KIND, LEAVING, entry)
    return copy


@with_virtual_clock
async def test_fencing_token_of_a_lost_lease_is_given_again() -> None:
    async with running_wire_stack() as stack:
        copy = stack.store_state.copy()
        await write_until_done(stack, 'before')
        await replace_primary(stack, 'first')
        stack.restore_store(copy)
        await sleep(1)
        await replace_primary(stack, 'second')
    tokens = [order.token for order in stack.promotions.completed]
    assert len(tokens) == 2
    assert tokens[0] < tokens[1]
    assert not stack.group.lost_entries


@with_virtual_clock
async def test_change_of_a_restored_store_does_not_reach_all_nodes() -> None:
    async with running_wire_stack(nodes=MANY_NODES) as stack:
        await sleep(6)
        copy = write_often(stack)
        await sleep(SPREAD_S)
        stack.restore_store(copy)
        await sleep(SPREAD_S)
        entry = stack.endpoint_entry(LEAVING, state='draining')
        stack.store_state.put(ENDPOINT_KIND, LEAVING, entry)
        await sleep(SPREAD_S)
        for name in stack.nodes:
            known = await entry_at(stack, name)
            assert known is not None
            assert known.leaving, name


@with_virtual_clock
async def test_lost_lease_permits_the_use_of_a_replaced_primary() -> None:
    history = WriteHistory()
    async with running_wire_stack() as stack:
        async with wire_client(stack.nodes['node-1'].address) as client:
            await client.start('orders', KEY)
            await client.query('WRITE a1 0')
        await sleep(2)
        copy = stack.store_state.copy()
        split(stack)
        cut_off = stack.nodes['node-0']
        async with open_nursery() as nursery:
            nursery.start_soon(history.write, stack, 'node-1')
            with fail_after(SPLIT_S):
                while stack.group.term == 1:
                    await sleep(0.1)
            await sleep(LEARNED_S)
            stack.restore_store(copy)
            cut_off.store.faults.outage = False
            nursery.start_soon(history.read, stack, 'orders', 0)
        assert stack.group.term == 2
    assert history.acknowledged


@with_virtual_clock
async def test_primary_of_a_lost_lease_has_to_be_confirmed_for_ever() -> None:
    async with running_wire_stack() as stack:
        state = stack.store_state
        copy = state.copy()
        await write_until_done(stack, 'before')
        await replace_primary(stack, 'first')
        primary = primary_of(stack).endpoint
        stack.restore_store(copy)
        await write_until_done(stack, 'after')
        await wait_for(
            lambda: LEASE_KIND in state.objects_by_kind,
            LEASE_DURATION_S + SPREAD_S,
        )
        kept = state.objects_by_kind[LEASE_KIND][SERVICE]['spec']
        assert not kept['holder']
        assert kept['primary'] == primary
        assert kept['term'] == stack.group.term
        assert len(stack.promotions.completed) == 1


@with_virtual_clock
async def test_entries_of_nodes_stay_lost_after_the_store_was_restored() -> (
    None
):
    async with running_wire_stack() as stack:
        state = stack.store_state
        await sleep(1)
        copy = state.copy()
        copy.objects_by_kind[NODE_KIND].clear()
        stack.restore_store(copy)
        await wait_for(
            lambda: (
                state.objects_by_kind[NODE_KIND].keys() == stack.nodes.keys()
            ),
            SPREAD_S * 2,
        )


@with_virtual_clock
async def test_node_that_stopped_registers_again() -> None:
    async with running_wire_stack() as stack:
        state = stack.store_state
        await sleep(SPREAD_S * 2)
        stopping = stack.nodes['node-2'].node
        stopping.begin_stop()
        await stopping.finish_stop()
        stack.restore_store(state.copy())
        await sleep(SPREAD_S * 2)
        registered = state.objects_by_kind[NODE_KIND].keys()
        assert registered == {'node-0', 'node-1'}


@with_virtual_clock
async def test_node_that_starts_after_a_restoration_uses_a_withdrawn_key() -> (
    None
):
    async with running_wire_stack() as stack:
        state = stack.store_state
        copy = state.copy()
        withdrawn = make_declaration(2)
        withdrawn['tenants'][0]['api_keys'] = []
        state.put(CONFIG_KIND, CONFIG_NAME, withdrawn)
        await sleep(1)
        # The operators have not written it again yet.
        state.restore(copy)
        await stack.start_node('node-3')
        await stack.wait_until_ready()
        await sleep(EXCHANGE_S)
        async with wire_client(stack.nodes['node-3'].address) as client:
            assert (await client.start('orders', KEY)).startswith('ERROR')


@with_virtual_clock
async def test_restored_entry_lets_a_leaving_endpoint_return() -> None:
    async with running_wire_stack() as stack:
        copy = stack.store_state.copy()
        await write_until_done(stack, 'before')
        for _ in range(20):
            await read_stock(stack)
            await sleep(0.1)
        assert LEAVING in {each.endpoint for each in stack.group.executed}
        entry = stack.endpoint_entry(LEAVING, state='draining')
        stack.store_state.put(ENDPOINT_KIND, LEAVING, entry)
        await sleep(SPREAD_S)
        stack.store_state.restore(copy)
        await sleep(SPREAD_S)
        executed_before = len(stack.group.executed)
        for _ in range(20):
            await read_stock(stack)
        late = stack.group.executed[executed_before:]
        assert LEAVING not in {statement.endpoint for statement in late}
