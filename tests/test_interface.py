"""Client API on a running stack: valid and invalid input."""

from http import HTTPStatus
from unittest.mock import patch

import pytest
from msgspec.json import encode
from trio import current_time

from tests.support import (
    SERVICE,
    count_fields,
    create_table,
    order_fields,
    run_virtual,
    session_client,
    stored_count,
    with_virtual_clock,
)
from trefoilhitch.errors import RefusalError
from trefoilhitch.http_client import HttpClient
from trefoilhitch.http_message import HttpRequest, encode_request
from trefoilhitch_lab.deployment import SMALL
from trefoilhitch_lab.stack import running_stack

PATH = f'/v1/services/{SERVICE}/statements'


@with_virtual_clock
async def test_each_invalid_input_gets_its_own_refusal() -> None:
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        node = HttpClient(stack.nodes['n1'].address)
        key = f'Bearer {stack.keys["himal"].text}'
        valid = encode({'sql': 'SELECT 1'})
        cases = (
            ('POST', PATH, key, b'{', 400, 'bad_request'),
            ('POST', PATH, key, encode({'sql': 1}), 400, 'bad_request'),
            (
                'POST',
                PATH,
                key,
                encode({'sql': 'x', 'y': 1}),
                400,
                'bad_request',
            ),
            (
                'POST',
                PATH,
                key,
                encode({'sql': 'x', 'session': 'x'}),
                400,
                'invalid_session',
            ),
            ('POST', PATH, '', valid, 401, 'unauthorised'),
            ('POST', PATH, 'Bearer th_nobody_x', valid, 401, 'unauthorised'),
            (
                'POST',
                PATH.replace('orders', 'stock'),
                key,
                valid,
                404,
                'unknown_service',
            ),
            ('GET', '/v1/nothing', key, b'', 404, 'not_found'),
            ('POST', PATH, key, b'x' * 300_000, 413, 'body_too_large'),
            ('POST', PATH, key, encode({'sql': 'SELEKT'}), 422, 'sql_rejected'),
            (
                'POST',
                PATH,
                key,
                encode({'sql': 'PRAGMA user_version'}),
                422,
                'sql_rejected',
            ),
            (
                'POST',
                PATH,
                key,
                encode({'sql': 'DELETE FROM orders'}),
                422,
                'sql_rejected',
            ),
            ('GET', '/v1/requests/orders', key, b'', 400, 'bad_request'),
        )
        for method, path, auth, body, status, code in cases:
            req = HttpRequest(method, path, {'authorization': auth}, body)
            resp = await node.request(req, 99)
            assert (resp.status, f'"{code}"'.encode() in resp.body) == (
                status,
                True,
            )
            assert b'"run":"no"' in resp.body
            after = HttpRequest('POST', PATH, {'authorization': key}, valid)
            assert (await node.request(after, 99)).status == 200


@with_virtual_clock
async def test_repeated_idempotency_key_runs_once_with_the_same_reply() -> None:
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        first = await session_client(stack, 'n1').run_statement(
            SERVICE, order_fields('o1')
        )
        again = await session_client(stack, 'n2').run_statement(
            SERVICE, order_fields('o1')
        )
        assert first.changed == again.changed == 1
        assert stored_count(stack, 'o1') == 1
        with pytest.raises(RefusalError) as caught:
            await session_client(stack).run_statement(
                SERVICE,
                order_fields('o2', idempotency_key='o1'),
            )
        assert caught.value.code == 'bad_request'
        assert stored_count(stack, 'o2') == 0


@with_virtual_clock
async def test_any_node_returns_an_outcome_to_its_organisation_only() -> None:
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        reply = await session_client(stack, 'n1').run_statement(
            SERVICE, order_fields('o1')
        )
        for node in stack.nodes:
            outcome = await session_client(stack, node).read_outcome(
                reply.request
            )
            assert (outcome.state, outcome.changed) == ('committed', 1)
        absent = await session_client(stack).read_outcome('orders:never')
        assert absent.state == 'absent'
        other = await session_client(stack, organisation='hanbit').read_outcome(
            reply.request
        )
        assert other.state == 'absent'


@with_virtual_clock
async def test_transaction_is_atomic_and_private_to_its_organisation() -> None:
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        client = session_client(stack)
        opened = await client.begin_transaction(
            SERVICE, {'idempotency_key': 't1'}
        )
        path = f'{opened.transaction}/statements'
        other = session_client(stack, organisation='hanbit')
        await client.continue_transaction(
            SERVICE, path, order_fields('a', idempotency_key='')
        )
        with pytest.raises(RefusalError) as caught:
            await other.continue_transaction(SERVICE, path, order_fields('x'))
        assert caught.value.code == 'transaction_lost'
        with pytest.raises(RefusalError):
            await client.continue_transaction(SERVICE, path, {'sql': 'SELEKT'})
        assert stored_count(stack, 'a') == 0
        await client.continue_transaction(
            SERVICE, f'{opened.transaction}/commit', {}
        )
        assert stored_count(stack, 'a') == 1
        assert (await client.read_outcome(opened.request)).state == 'committed'
        undone = await client.begin_transaction(SERVICE, {})
        await client.continue_transaction(
            SERVICE,
            f'{undone.transaction}/statements',
            order_fields('b', idempotency_key=''),
        )
        await client.continue_transaction(
            SERVICE, f'{undone.transaction}/rollback', {}
        )
        assert stored_count(stack, 'b') == 0


@with_virtual_clock
async def test_keys_are_sent_only_by_clients() -> None:
    sent: list[bytes] = []

    def recorder(req: HttpRequest, host: str) -> bytes:
        sent.append(encode_request(req, host))
        return sent[-1]

    with patch('trefoilhitch.http_client.encode_request', recorder):
        async with running_stack(SMALL) as stack:
            await create_table(stack)
            secret = stack.keys['himal'].text.rpartition('_')[2].encode()
            for node in stack.nodes:
                await session_client(stack, node).run_statement(
                    SERVICE, order_fields(node)
                )
                await session_client(stack, node).run_statement(
                    SERVICE, count_fields(node)
                )
    from_clients = [each for each in sent if b' /v1/services/' in each[:40]]
    others = [each for each in sent if each not in from_clients]
    assert all(secret in each for each in from_clients)
    assert any(b' /v1/run ' in each[:40] for each in others)
    assert any(b' /peer/v1/statement ' in each[:40] for each in others)
    assert not any(secret in each for each in others)


@pytest.mark.parametrize('key', ['o1\n', 'o1\r', 'o1 ', 'o/1', 'o:1', '\xe9'])
@pytest.mark.parametrize('kind', ['statements', 'transactions'])
def test_key_that_fits_no_path_is_accepted(key: str, kind: str) -> None:
    # The path of a later request names the key: the outcome of a statement
    # could not be read, and a transaction could not be continued.
    async def play() -> int:
        async with running_stack(SMALL) as stack:
            await create_table(stack)
            fields = {'idempotency_key': key}
            if kind == 'statements':
                fields = order_fields('o1', idempotency_key=key)
            req = HttpRequest(
                'POST',
                f'/v1/services/{SERVICE}/{kind}',
                {'authorization': f'Bearer {stack.keys["himal"].text}'},
                encode(fields),
            )
            node = HttpClient(stack.nodes['n1'].address)
            return (await node.request(req, current_time() + 1)).status

    assert run_virtual(play) == HTTPStatus.BAD_REQUEST
