"""Answers to clients when attempts fail, checked against the log."""

from trio import current_time, open_nursery, sleep

from tests.support import with_virtual_clock
from trefoilhitch.pooler.rate_limit import MIN_RESTART_S, RateLimit
from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_endpoint import WireEndpoint
from trefoilhitch_lab.wire_stack import (
    RATE_RULE,
    WireStack,
    make_declaration,
    running_wire_stack,
)

KEY = 'key-himal'


def committed(stack: WireStack) -> list[dict[str, str]]:
    """Return the writes in the primary's log."""
    assert stack.group.primary is not None
    return [entry.writes for entry in stack.group.primary.log]


@with_virtual_clock
async def test_write_with_a_lost_answer_is_in_doubt_and_runs_once() -> None:
    async with running_wire_stack() as stack:
        async with wire_client(stack.nodes['node-1'].address) as client:
            await client.start('orders', KEY)
            assert stack.group.primary is not None
            stack.group.primary.faults.drop_responses = 1
            answer = await client.query('WRITE a1 red')
            assert (answer.code, answer.state) == ('INDOUBT', 'I')
            assert not (await client.query('READ a1')).code
        assert committed(stack) == [{'a1': 'red'}]


@with_virtual_clock
async def test_read_with_a_lost_answer_is_retried_elsewhere() -> None:
    async with running_wire_stack() as stack:
        async with wire_client(stack.nodes['node-1'].address) as client:
            await client.start('visits', KEY)
            for endpoint in stack.group.endpoints.values():
                endpoint.faults.drop_responses = 1
            assert (await client.query('READ a1')).rows == ('none',)


@with_virtual_clock
async def test_statement_lost_in_a_transaction_aborts_it() -> None:
    async with running_wire_stack() as stack:
        async with wire_client(stack.nodes['node-1'].address) as client:
            await client.start('orders', KEY)
            await client.query('BEGIN')
            assert stack.group.primary is not None
            stack.group.primary.faults.drop_responses = 1
            answer = await client.query('WRITE a1 red')
            assert (answer.code, answer.state) == ('ABORTED', 'E')
            assert (await client.query('COMMIT')).code == 'ABORTED'
        await sleep(1)
        assert committed(stack) == []


@with_virtual_clock
async def test_lost_commit_is_in_doubt_unless_nothing_was_written() -> None:
    async with running_wire_stack() as stack:
        codes = []
        assert stack.group.primary is not None
        for statement in ('WRITE a1 red', 'READ a1'):
            async with wire_client(stack.nodes['node-1'].address) as client:
                await client.start('orders', KEY)
                await client.query('BEGIN')
                await client.query(statement)
                stack.group.primary.faults.drop_responses = 1
                codes.append((await client.query('COMMIT')).code)
    assert codes == ['INDOUBT', 'ABORTED']


@with_virtual_clock
async def test_write_to_a_busy_primary_is_retried_then_refused() -> None:
    async with running_wire_stack() as stack:
        async with wire_client(stack.nodes['node-1'].address) as client:
            await client.start('orders', KEY)
            assert stack.group.primary is not None
            stack.group.primary.faults.busy = True
            answer = await client.query('WRITE a1 red')
            assert (answer.code, answer.state) == ('BUSY', 'I')
            stack.group.primary.faults.busy = False
        assert committed(stack) == []


@with_virtual_clock
async def test_endpoint_without_free_connections_refuses_as_busy() -> None:
    async with running_wire_stack() as stack:
        for endpoint in stack.group.endpoints.values():
            endpoint.faults.max_connections = 0
        async with wire_client(stack.nodes['node-1'].address) as client:
            await client.start('orders', KEY)
            answer = await client.query('WRITE a1 red')
            assert answer.code == 'BUSY'


@with_virtual_clock
async def test_organisation_beyond_its_rate_is_refused() -> None:
    async with running_wire_stack() as stack:
        stack.store_state.put('config', 'main', make_declaration(2, rate=3))
        await sleep(4)
        before = len(stack.group.executed)
        codes = []
        async with wire_client(stack.nodes['node-1'].address) as client:
            await client.start('visits', KEY)
            codes = [(await client.query('READ a1')).code for _ in range(40)]
    served = len(stack.group.executed) - before
    assert served == codes.count('')
    # Five seconds at the rate, plus the burst.
    assert 3 <= served <= 3 * 5 + 3
    assert set(codes) == {'', 'BUSY'}


@with_virtual_clock
async def test_one_lost_packet_causes_no_refusal() -> None:
    async with running_wire_stack() as stack:
        primary = stack.group.primary
        assert primary is not None
        # The first connection stays unanswered for longer than a statement
        # waits when no endpoint is available.
        primary.faults.silent = True
        async with open_nursery() as nursery:
            nursery.start_soon(_end_silence, primary)
            async with wire_client(stack.nodes['node-1'].address) as client:
                await client.start('orders', KEY)
                assert not (await client.query('WRITE a1 red')).code


async def _end_silence(endpoint: WireEndpoint) -> None:
    await sleep(0.2)
    endpoint.faults.silent = False


@with_virtual_clock
async def test_restarted_nodes_stay_within_the_rate() -> None:
    limit = RateLimit.from_declared(100, 100, RATE_RULE)
    async with running_wire_stack() as stack:
        stack.store_state.put('config', 'main', make_declaration(2, rate=100))
        await sleep(2)
        names = list(stack.nodes)
        for name in names:
            stack.kill_node(name)
        await sleep(MIN_RESTART_S)
        started_at = current_time()
        for name in names:
            await stack.start_node(name)
        await sleep(0.4)
        served = [
            await _reads_until_refused(node.address)
            for node in stack.nodes.values()
        ]
        # The earlier processes may have spent their whole shares.
        elapsed_s = current_time() - started_at + MIN_RESTART_S
    assert sum(served) <= limit.per_s * elapsed_s + 1


async def _reads_until_refused(address: str) -> int:
    async with wire_client(address) as client:
        await client.start('visits', KEY)
        served = 0
        while not (await client.query('READ a1')).code:
            served += 1
        return served
