"""Sessions over the wire protocol, as clients and endpoints see them."""

from trio import sleep

from tests.support import with_virtual_clock
from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_stack import (
    WireStack,
    make_declaration,
    running_wire_stack,
)

KEY = 'key-himal'
OTHER_KEY = 'key-hanbit'


def address(stack: WireStack, number: int = 0) -> str:
    """Return a node's address for clients."""
    return stack.nodes[f'node-{number}'].address


@with_virtual_clock
async def test_write_is_read_back_on_another_node() -> None:
    async with running_wire_stack() as stack:
        async with wire_client(address(stack)) as client:
            assert await client.start('visits', KEY) == 'READY I -'
            written = await client.query('WRITE a1 red')
            assert written.outcome.startswith('COMPLETE receipt-')
            assert (await client.query('READ a1')).rows == ('red',)
        async with wire_client(address(stack, 1)) as client:
            await client.start('orders', KEY)
            assert (await client.query('READ a1')).rows == ('red',)


@with_virtual_clock
async def test_statements_run_with_their_session_variables() -> None:
    async with running_wire_stack() as stack:
        async with (
            wire_client(address(stack)) as first,
            wire_client(address(stack)) as second,
        ):
            for client, text in ((first, 'red'), (second, 'blue')):
                await client.start('visits', KEY)
                await client.query(f'SET colour {text}')
            await second.query('SET size xl')
            for _ in range(3):
                await first.query('READ first')
                await second.query('READ second')
    seen = {
        (ran.text, *sorted(ran.variables.items()))
        for ran in stack.group.executed
    }
    assert seen == {
        ('READ first', ('colour', 'red')),
        ('READ second', ('colour', 'blue'), ('size', 'xl')),
    }


@with_virtual_clock
async def test_prepared_statement_names_do_not_collide() -> None:
    async with running_wire_stack() as stack:
        async with (
            wire_client(address(stack)) as first,
            wire_client(address(stack)) as second,
        ):
            await first.start('visits', KEY)
            await second.start('visits', KEY)
            await first.query('PREPARE s1 WRITE q1')
            await second.query('PREPARE s1 READ q2')
            assert not (await first.query('EXECUTE s1 a1 red')).code
            assert (await second.query('EXECUTE s1 a1')).code == ''
            unknown = await second.query('EXECUTE s2 a1')
            await second.query('DEALLOC s1')
            dropped = await second.query('EXECUTE s1 a1')
    ran = [
        (each.shape, each.row_name, each.row_text)
        for each in stack.group.executed
    ]
    assert ran == [
        (('WRITE', 'q1'), 'a1', 'red'),
        (('READ', 'q2'), 'a1', None),
    ]
    assert unknown.code == 'NOSTMT'
    assert dropped.code == 'NOSTMT'


@with_virtual_clock
async def test_transaction_is_committed_whole_or_not_at_all() -> None:
    async with running_wire_stack() as stack:
        async with wire_client(address(stack)) as client:
            await client.start('orders', KEY)
            assert (await client.query('BEGIN')).state == 'T'
            await client.query('WRITE a1 red')
            assert (await client.query('ROLLBACK')).state == 'I'
            await client.query('BEGIN')
            await client.query('WRITE a2 blue')
            committed = await client.query('COMMIT')
            assert committed.outcome.startswith('COMPLETE receipt-')
            assert committed.state == 'I'
        kept = [entry.writes for entry in stack.group.acknowledged_entries]
    assert kept == [{'a2': 'blue'}]


@with_virtual_clock
async def test_statements_of_other_clients_run_outside_a_transaction() -> None:
    async with running_wire_stack() as stack:
        async with (
            wire_client(address(stack)) as first,
            wire_client(address(stack)) as second,
        ):
            await first.start('orders', KEY)
            await second.start('orders', KEY)
            await first.query('BEGIN')
            await first.query('WRITE a1 red')
            await second.query('WRITE a2 blue')
            await first.query('ROLLBACK')
        kept = [entry.writes for entry in stack.group.acknowledged_entries]
    assert kept == [{'a2': 'blue'}]


@with_virtual_clock
async def test_transaction_of_a_disconnected_client_is_rolled_back() -> None:
    async with running_wire_stack() as stack:
        async with wire_client(address(stack)) as client:
            await client.start('orders', KEY)
            await client.query('BEGIN')
            await client.query('WRITE a1 red')
        await sleep(1)
        async with wire_client(address(stack)) as client:
            await client.start('orders', KEY)
            assert (await client.query('READ a1')).rows == ('none',)
    assert stack.group.acknowledged_entries == []


@with_virtual_clock
async def test_idle_transaction_is_aborted_and_reported() -> None:
    async with running_wire_stack() as stack:
        async with wire_client(address(stack)) as client:
            await client.start('orders', KEY)
            await client.query('BEGIN')
            await client.query('WRITE a1 red')
            await sleep(5)
            late = await client.query('COMMIT')
            assert (late.code, late.state) == ('ABORTED', 'I')
            assert not (await client.query('READ a1')).code
    assert stack.group.acknowledged_entries == []


@with_virtual_clock
async def test_failed_transaction_accepts_only_its_end() -> None:
    async with running_wire_stack() as stack:
        async with wire_client(address(stack)) as client:
            await client.start('visits', KEY)
            await client.query('BEGIN READ')
            refused = await client.query('WRITE a1 red')
            assert (refused.code, refused.state) == ('READONLY', 'E')
            after = await client.query('READ a1')
            assert (after.code, after.state) == ('MALFORMED', 'E')
            assert (await client.query('ROLLBACK')).state == 'I'
            assert not (await client.query('READ a1')).code


@with_virtual_clock
async def test_unknown_keys_and_databases_are_refused() -> None:
    async with running_wire_stack() as stack:
        for start, line in (
            (('nothing', KEY), 'ERROR NODB'),
            (('orders', 'key-wrong'), 'ERROR AUTHFAIL'),
            (('orders', ''), 'ERROR AUTHFAIL'),
        ):
            async with wire_client(address(stack)) as client:
                answered = await client.start(*start)
                assert answered.startswith(line)
                assert await client.reader.receive_line() == ''


@with_virtual_clock
async def test_endpoints_receive_the_organisation_not_the_key() -> None:
    async with running_wire_stack() as stack:
        async with wire_client(address(stack)) as client:
            await client.start('orders', OTHER_KEY)
            await client.query('WRITE a1 red')
    assert {ran.organisation for ran in stack.group.executed} == {'hanbit'}


@with_virtual_clock
async def test_withdrawn_key_ends_open_sessions_and_transactions() -> None:
    async with running_wire_stack() as stack:
        async with (
            wire_client(address(stack)) as first,
            wire_client(address(stack, 1)) as second,
        ):
            await first.start('orders', KEY)
            await second.start('orders', KEY)
            await second.query('BEGIN')
            await second.query('WRITE a1 red')
            stack.store_state.put(
                'config', 'main', make_declaration(2, tenants=[])
            )
            await sleep(1)
            assert (await first.query('READ a1')).code == 'AUTHFAIL'
            assert (await second.query('COMMIT')).code == 'AUTHFAIL'
    assert stack.group.acknowledged_entries == []


@with_virtual_clock
async def test_dropped_route_refuses_new_operations_only() -> None:
    async with running_wire_stack() as stack:
        async with wire_client(address(stack)) as client:
            await client.start('orders', KEY)
            await client.query('BEGIN')
            await client.query('WRITE a1 red')
            stack.store_state.put(
                'config', 'main', make_declaration(2, routes=[])
            )
            await sleep(1)
            assert not (await client.query('COMMIT')).code
            assert (await client.query('READ a1')).code == 'NODB'


@with_virtual_clock
async def test_protocol_violations_do_not_affect_other_clients() -> None:
    async with running_wire_stack() as stack:
        async with wire_client(address(stack)) as calm:
            await calm.start('orders', KEY)
            for line in (
                'QUERY x-1 MINLSN 1.1 READ a1',
                'QUERY x-1 STATUS',
                'QUERY - READ a1',
                'QUERY x-1 READ a1\nQUERY x-2 READ a1',
                'QUERY x-1 SET',
                'QUERY x-1 PREPARE s1 DROP q1',
                'HELLO',
                'QUERY x-1 WRITE a1 ' + 'x' * 1048577,
            ):
                async with wire_client(address(stack)) as client:
                    await client.start('orders', KEY)
                    await client.send(line)
                    assert (await client.receive_response()).code == 'MALFORMED'
                    assert await client.reader.receive_line() == ''
            assert not (await calm.query('READ a1')).code
    assert [ran.text for ran in stack.group.executed] == ['READ a1']


@with_virtual_clock
async def test_incomplete_message_is_refused_after_a_timeout() -> None:
    async with running_wire_stack() as stack:
        async with wire_client(address(stack)) as client:
            await client.start('orders', KEY)
            await client.stream.send_all(b'QUERY x-1 REA')
            await sleep(2)
            await client.stream.send_all(b'D')
            assert (await client.receive_response()).code == 'MALFORMED'
        async with wire_client(address(stack)) as client:
            await client.stream.send_all(b'START ord')
            assert (await client.reader.receive_line()).startswith(
                'ERROR MALFORMED'
            )


@with_virtual_clock
async def test_pipelined_statements_are_answered_in_order() -> None:
    async with running_wire_stack() as stack:
        async with wire_client(address(stack)) as client:
            await client.start('orders', KEY)
            await client.stream.send_all(
                b'QUERY x-1 WRITE a1 red\r\nQUERY x-2 READ a1\r\n'
            )
            assert (await client.receive_response()).outcome.endswith(
                'receipt-x-1'
            )
            assert (await client.receive_response()).rows == ('red',)


@with_virtual_clock
async def test_malformed_entries_do_not_hide_valid_ones() -> None:
    malformed = (
        {'service': 7},
        {'state': 'asleep'},
        {'db_role': 'king'},
        {'address': 'nowhere'},
        {'zone': None},
        {'service': 'unknown'},
        {'born': 'yesterday'},
    )
    async with running_wire_stack() as stack:
        for number, changes in enumerate(malformed):
            entry = stack.endpoint_entry('ledger-0', **changes)
            stack.store_state.put('servers', f'strange-{number}', entry)
        for number, spec in enumerate(('\udcff', [], None, 3)):
            stack.store_state.put('servers', f'odd-{number}', str(spec))
        stack.store_state.discard_history()
        await sleep(2)
        async with wire_client(address(stack)) as client:
            await client.start('orders', KEY)
            assert not (await client.query('WRITE a1 red')).code
            assert (await client.query('READ a1')).rows == ('red',)


@with_virtual_clock
async def test_address_taken_by_another_endpoint_is_not_used() -> None:
    async with running_wire_stack() as stack:
        replica = stack.group.endpoints['ledger-1']
        moved = stack.endpoint_entry('ledger-0', address=replica.address)
        stack.store_state.put('servers', 'ledger-0', moved)
        await sleep(1)
        async with wire_client(address(stack)) as client:
            await client.start('orders', KEY)
            await client.query('WRITE a1 red')
    assert {ran.endpoint for ran in stack.group.executed} <= {'ledger-0'}
