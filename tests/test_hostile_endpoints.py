"""An odd answer of an endpoint costs its connection, and proves nothing."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from msgspec.json import encode
from trio import (
    current_time,
)

from tests.hostile_bytes import answering_server
from tests.support import run_virtual
from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.platform.client_codec import encode_error, encode_response
from trefoilhitch.platform.codes import decode_position
from trefoilhitch.platform.endpoint_codec import (
    ResponseParser,
    decode_ready,
    decode_start_refusal,
    decode_status,
    encode_command,
    encode_start,
)
from trefoilhitch.platform.endpoint_connection import WireConnector
from trefoilhitch.platform.line_buffer import LineBuffer, WireError
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.ports import (
    Command,
    EndpointConnectionError,
    EndpointRefusedError,
)
from trefoilhitch.pooler.response import Refusal, Response

DIGITS = '9' * 5000
ODD_POSITIONS = (
    '1.\u00b2',
    '\u00b2.1',
    f'1.{DIGITS}',
    f'{DIGITS}.1',
    f'1.{2**64}',
    '1',
    '.',
    '-1.1',
    '1.1.1',
    '1.+1',
)
ODD_READY = tuple(f'READY I {position}' for position in ODD_POSITIONS) + (
    'READY \u00b2 -',
    'READY I',
    'READY I - -',
    'COMPLETE again',
    'ERROR BUSY after the outcome',
    'DATAROW after the outcome',
    '\x00',
    '',
)
ODD_STATUSES = (
    'replica \u00b2 1.1 0 0 0 1',
    f'replica {DIGITS} 1.1 0 0 0 1',
    f'replica {2**64} 1.1 0 0 0 1',
    'replica 1 1.\u00b2 0 0 0 1',
    'replica 1 1.1 \u00b2 0 0 1',
    f'replica 1 1.1 {DIGITS} 0 0 1',
    'replica -1 1.1 0 0 0 1',
    'arbiter 1 1.1 0 0 0 1',
    'replica 1 1.1',
    '',
)
WORDS = (
    'READY I 1.1',
    'READY T -',
    'COMPLETE -',
    'COMPLETE',
    'ERROR BUSY x',
    'ERROR',
    'DATAROW primary 1 1.1 0 0 0 1',
    'DATAROW',
    *ODD_READY,
)
LATIN_TEXT = st.text(st.characters(max_codepoint=255), max_size=20)
LINE = st.one_of(
    LATIN_TEXT,
    st.sampled_from(WORDS),
    st.builds('{} {}'.format, st.sampled_from(WORDS), LATIN_TEXT),
)
ANY_TEXT = st.text(st.characters(exclude_categories=()), max_size=12)
ANY_FIELD = st.one_of(
    ANY_TEXT, st.sampled_from(['', ' ', 'a b', 'a\r\nQUERY x WRITE a b', 'ok'])
)
CHUNKS = st.lists(
    st.lists(
        st.one_of(
            st.sampled_from(WORDS).map(
                lambda line: f'{line}\r\n'.encode('latin-1')
            ),
            st.binary(max_size=20),
        ),
        max_size=5,
    ).map(b''.join),
    min_size=1,
    max_size=4,
)


def _status(row: str) -> Response:
    return Response(rows=(row,), receipt='-')


@pytest.mark.parametrize('position', ODD_POSITIONS)
def test_odd_position_is_refused(position: str) -> None:
    with pytest.raises(WireError):
        decode_position(position)


@pytest.mark.parametrize('row', ODD_STATUSES)
def test_odd_status_is_refused(row: str) -> None:
    with pytest.raises(WireError):
        decode_status(_status(row))


@given(LINE)
@example(f'READY I 1.{DIGITS}')
def test_any_line_is_decoded_or_refused(line: str) -> None:
    for decode in (decode_ready, decode_start_refusal, decode_position):
        try:
            decoded = decode(line)
        except WireError:
            continue
        if isinstance(decoded, LogPosition):
            assert len(encode(decoded)) < 80
    try:
        decode_status(_status(line))
    except WireError:
        return


@given(st.lists(LINE, max_size=6))
def test_any_lines_are_a_response_or_refused(lines: list[str]) -> None:
    parser = ResponseParser([])
    try:
        for line in lines:
            response = parser.feed_line(line)
            if response is not None:
                assert encode_response(response).endswith(b'\r\n')
                return
    except WireError:
        return


@pytest.mark.parametrize(
    'lines',
    [
        ['COMPLETE 1.2', 'ERROR BUSY x'],
        ['ERROR BUSY x', 'COMPLETE 1.2'],
        ['COMPLETE 1.2', 'DATAROW x'],
        ['COMPLETE 1.2', 'COMPLETE 1.3'],
        ['COMPLETE'],
        ['READY I -'],
    ],
)
def test_contradictory_response_is_refused(lines: list[str]) -> None:
    parser = ResponseParser([])
    with pytest.raises(WireError):
        for line in lines:
            parser.feed_line(line)


@pytest.mark.parametrize(
    'code', ['ABORTED', 'WRONGNODE', 'CONNLIMIT', 'NODB', 'AUTHFAIL', 'ODD', '']
)
def test_code_that_is_no_answer_to_a_statement_promises_nothing(
    code: str,
) -> None:
    parser = ResponseParser([])
    parser.feed_line(f'ERROR {code} x')
    response = parser.feed_line('READY I -')
    assert response is not None
    assert response.refusal == Refusal.FAILED


def test_endless_rows_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        'trefoilhitch.platform.endpoint_codec.MAX_ROW_BYTES', 1000
    )
    parser = ResponseParser([])
    with pytest.raises(WireError, match='too large'):
        for _ in range(1000):
            parser.feed_line('DATAROW')


@given(ANY_FIELD, ANY_FIELD, ANY_FIELD)
def test_start_is_one_line_of_four_fields_or_refused(
    service: str, organisation: str, endpoint: str
) -> None:
    try:
        message = encode_start(service, organisation, endpoint)
    except WireError:
        return
    # Names are UTF-8, as in the documents that declare them.
    fields = message.decode().removesuffix('\r\n').split(' ', 3)
    assert fields == ['START', service, organisation, endpoint]
    assert message.count(b'\r') == message.count(b'\n') == 1


@given(ANY_FIELD, ANY_FIELD)
def test_statement_is_one_line_or_refused(text: str, request_id: str) -> None:
    try:
        message = encode_command(Command(text, request_id))
    except WireError:
        return
    line = message.decode('latin-1').removesuffix('\r\n')
    assert line == f'QUERY {request_id or "-"} {text}'
    assert message.count(b'\r') == message.count(b'\n') == 1


@given(st.lists(ANY_FIELD, max_size=2), ANY_FIELD, ANY_FIELD)
def test_response_to_a_client_is_whole_and_promises_nothing_if_unsendable(
    rows: list[str], receipt: str, detail: str
) -> None:
    succeeded = encode_response(Response(rows=tuple(rows), receipt=receipt))
    lines = succeeded.decode('latin-1').split('\r\n')
    expected = [f'DATAROW {row}' for row in rows] + [f'COMPLETE {receipt}']
    if lines[:-2] != expected:
        assert len(lines) == 3
        assert lines[0].startswith('ERROR INDOUBT ')
    assert lines[-2:] == ['READY I -', '']
    refused = encode_error(Refusal.BUSY, detail)
    assert refused.startswith(b'ERROR BUSY ')
    assert refused.count(b'\r') == refused.count(b'\n') == 1


@given(CHUNKS)
def test_odd_bytes_of_an_endpoint_have_a_documented_failure(
    chunks: list[bytes],
) -> None:
    async def play() -> None:
        async with answering_server(chunks) as address:
            await _ask(address)

    run_virtual(play)


async def _ask(address: str) -> None:
    record = EndpointRecord(
        endpoint='e-1',
        service='ledger',
        address=address,
        data_centre='patan',
        started_at_ms=1,
        leaving=False,
        role='replica',
        slots=1,
    )
    connector = WireConnector(lambda _: record)
    deadline = current_time() + 9
    try:
        conn = await connector.connect(
            'e-1', 'himal', connect_by=deadline, deadline=deadline
        )
    except (EndpointConnectionError, EndpointRefusedError):
        return
    try:
        responses = await conn.run(
            [connector.status(), connector.unfence()], deadline
        )
        connector.read_status(responses[0])
    except EndpointConnectionError:
        assert not conn.is_usable()
    finally:
        conn.close()


@given(st.lists(st.binary(max_size=30), max_size=5), st.integers(1, 40))
def test_line_buffer_returns_the_bytes_or_refuses_them(
    chunks: list[bytes], max_line_bytes: int
) -> None:
    buffer = LineBuffer(max_line_bytes)
    lines: list[str] = []
    try:
        for chunk in chunks:
            buffer.feed(chunk)
            lines.extend(iter(buffer.next_line, None))
    except WireError:
        return
    sent = ''.join(f'{line}\r\n' for line in lines)
    assert b''.join(chunks).startswith(sent.encode('latin-1'))
