"""Declared names with any characters reach endpoints as they were declared."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from trio import sleep

from tests.support import run_virtual
from trefoilhitch.platform.endpoint_codec import encode_start
from trefoilhitch.platform.line_buffer import WireError
from trefoilhitch.platform.wire_names import decode_name, encode_name
from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_stack import (
    SERVICE,
    WireStack,
    make_declaration,
    running_wire_stack,
)

KEY = 'key-1'
NAMES = ('himal', 'M\u00fcller', '\ud55c\ube5b', '\u0928\u0947', '\U0001f6f6')
SETTLE_S = 3


async def write(stack: WireStack, node: str) -> None:
    """Write in a session of its own."""
    async with wire_client(stack.nodes[node].address) as client:
        await client.start('orders', KEY)
        assert not (await client.query(f'WRITE {node} b')).code


def organisations_told(name: str, *, max_connections: int) -> list[str]:
    """Return which organisations an endpoint is told for a write per node."""

    async def play() -> list[str]:
        async with running_wire_stack() as stack:
            declared = make_declaration(
                2,
                tenants=[{'name': name, 'api_keys': [KEY]}],
                services=[
                    {
                        'name': SERVICE,
                        'max_connections': max_connections,
                        'sync_replicas': 1,
                    }
                ],
            )
            stack.store_state.put('config', 'main', declared)
            await sleep(SETTLE_S)
            for node in stack.nodes:
                await write(stack, node)
            # The stand-in shows bytes as Latin-1 characters.
            return [
                ran.organisation.encode('latin-1').decode()
                for ran in stack.group.executed
            ]

    return run_virtual(play)


# With few connections, some nodes send their statements through others.
@pytest.mark.parametrize('max_connections', [3, 100])
@pytest.mark.parametrize('name', NAMES)
def test_endpoint_is_told_another_name(name: str, max_connections: int) -> None:
    told = organisations_told(name, max_connections=max_connections)
    assert len(told) == 3
    assert set(told) == {name}


@pytest.mark.parametrize('name', NAMES)
def test_start_holds_other_bytes_than_the_declaration(name: str) -> None:
    line = f'START {name} {name} {name}\r\n'
    assert encode_start(name, name, name) == line.encode()


@given(st.text())
def test_name_changes_on_its_way(name: str) -> None:
    assert decode_name(encode_name(name)) == name


@given(st.text(st.characters(max_codepoint=255)))
@example('k\xf6ln')
@example('\xed\xa0\x80')
def test_bytes_of_another_encoding_equal_a_declared_name(text: str) -> None:
    name = decode_name(text)
    try:
        encoded = encode_name(name)
    except WireError:
        return
    assert encoded == text


@pytest.mark.parametrize('name', [*NAMES, 'two words ', 'a\xa0b'])
def test_declared_database_or_key_is_refused(name: str) -> None:
    database = name.replace(' ', '-')

    async def play() -> None:
        async with running_wire_stack() as stack:
            declared = make_declaration(
                2, tenants=[{'name': 'himal', 'api_keys': [name]}]
            )
            declared['routes'][0]['host'] = database
            stack.store_state.put('config', 'main', declared)
            await sleep(SETTLE_S)
            async with wire_client(stack.nodes['node-0'].address) as client:
                wire_names = encode_name(database), encode_name(name)
                assert await client.start(*wire_names) == 'READY I -'
                assert not (await client.query('WRITE a b')).code

    run_virtual(play)
