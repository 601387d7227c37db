"""A client without a key is no organisation's, whatever keys are declared."""

import pytest
from trio import sleep

from tests.support import run_virtual
from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_stack import make_declaration, running_wire_stack

SETTLE_S = 3


@pytest.mark.parametrize('start', ['START orders', 'START orders '])
def test_client_without_a_key_has_the_empty_key(start: str) -> None:
    async def play() -> str:
        async with running_wire_stack() as stack:
            tenant = {'name': 'himal', 'api_keys': ['', 'key-himal']}
            declared = make_declaration(2, tenants=[tenant])
            stack.store_state.put('config', 'main', declared)
            await sleep(SETTLE_S)
            async with wire_client(stack.nodes['node-0'].address) as client:
                await client.send(start)
                answer = await client.reader.receive_line()
            async with wire_client(stack.nodes['node-0'].address) as client:
                assert await client.start('orders', 'key-himal') == 'READY I -'
            return answer.split()[1]

    assert run_virtual(play) == 'AUTHFAIL'
