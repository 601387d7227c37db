"""Bytes that a client sends cost only its connection, and prove nothing."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from trio import open_tcp_stream

from tests.hostile_bytes import receive_all, send_chunks
from tests.support import run_virtual
from tests.test_hostile_endpoint_answers import FailureLog
from tests.test_wire_failover import KEY
from trefoilhitch.platform.client_codec import (
    decode_query,
    decode_start,
    encode_error,
)
from trefoilhitch.platform.line_buffer import WireError
from trefoilhitch.pooler.response import Refusal
from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_stack import running_wire_stack

# A run of the whole stack is an example of its own.
STACK_EXAMPLES = max(1, settings.default.max_examples // 6)
CLIENTS_PER_STACK = 12
START = f'START orders {KEY}\r\n'.encode()
PARTS = (
    START,
    START.replace(b'orders', b'visits'),
    b'START \xa0 \x85\r\n',
    b'QUERY x ',
    b'QUERY - STATUS\r\n',
    b'QUERY x MINLSN 1.1 READ a\r\n',
    b'QUERY x BEGIN\r\n',
    b'QUERY x WRITE a1 b\r\n',
    b'QUERY x READ a1\r\n',
    b'QUERY x COMMIT\r\n',
    b'QUERY x ROLLBACK\r\n',
    b'QUERY x SET \xff \xa0\x85\r\n',
    b'QUERY x PREPARE \xff WRITE \x85\r\n',
    b'QUERY x EXECUTE \xff a b\r\n',
    b'QUERY x DEALLOC \xff\r\n',
    b'QUERY x ' + b'READ ' * 500 + b'\r\n',
    b'TERMINATE\r\n',
    b'\r\n',
    b'\r',
    b'\n',
)
CHUNK = st.lists(
    st.one_of(st.sampled_from(PARTS), st.binary(max_size=20)), max_size=8
).map(b''.join)
# Most sessions get beyond their first message.
CHUNKS = st.builds(
    list, st.tuples(st.sampled_from([START, START, b'']), CHUNK, CHUNK)
)
LATIN_TEXT = st.text(st.characters(max_codepoint=255), max_size=30)
LINE = st.builds(
    '{}{}'.format,
    st.sampled_from(['', *(part.decode('latin-1').rstrip() for part in PARTS)]),
    LATIN_TEXT,
)


@given(LINE)
def test_any_line_of_a_client_is_decoded_or_refused(line: str) -> None:
    for decode in (decode_start, decode_query):
        try:
            decoded = decode(line)
        except WireError:
            continue
        assert decoded


@settings(max_examples=STACK_EXAMPLES)
@given(st.lists(CHUNKS, min_size=CLIENTS_PER_STACK, max_size=CLIENTS_PER_STACK))
def test_bytes_of_one_client_cost_no_other_session(
    clients: list[list[bytes]],
) -> None:
    log = FailureLog()

    async def play() -> None:
        async with running_wire_stack(nodes=1, log=log) as stack:
            address = stack.nodes['node-0'].address
            async with wire_client(address) as other:
                await other.start('orders', KEY)
                await other.query('SET colour red')
                for chunks in clients:
                    await _play_client(address, chunks)
                    assert (await other.query('READ b1')).rows == ('none',)
            assert stack.nodes['node-0'].server.connection_count <= 1

    run_virtual(play)
    assert not log.failures


@pytest.mark.parametrize(
    'detail', ['x' * 1048570, 'a\r\nb' * 9000, '\u0950' * 99]
)
def test_refusal_is_longer_than_a_message_may_be(detail: str) -> None:
    line = encode_error(Refusal.UNKNOWN_STATEMENT, detail)
    assert line.startswith(b'ERROR NOSTMT ')
    assert line.find(b'\r\n') == len(line) - 2
    assert len(line) < 200


async def _play_client(address: str, chunks: list[bytes]) -> None:
    host, _, port = address.rpartition(':')
    async with await open_tcp_stream(host, int(port)) as stream:
        await send_chunks(stream, chunks)
        await receive_all(stream)
