"""A database whose service no endpoint can have is refused at once.

It guards against sessions that are accepted and then refused with BUSY, after a
wait, for what can never be served.
"""

import pytest
from trio import current_time, sleep

from tests.support import run_virtual
from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_stack import (
    SERVICE,
    make_declaration,
    running_wire_stack,
)

KEY = 'key-himal'
SETTLE_S = 3


def make_route(database: str, service: str) -> dict[str, object]:
    """Return a declared route."""
    return {
        'name': f'route of {database}',
        'host': database,
        'type': 'primary',
        'timeout_ms': 1000,
        'target_latency_ms': 100,
        'service': service,
    }


@pytest.mark.parametrize(
    'service', ['', 'two words', 'a\tb', 'a\r\nb', 'a\x85', 'a' * 256]
)
def test_database_without_possible_endpoints_is_busy(service: str) -> None:
    async def play() -> None:
        async with running_wire_stack() as stack:
            routes = [make_route('odd', service), make_route('db', SERVICE)]
            declared = make_declaration(2, routes=routes)
            stack.store_state.put('config', 'main', declared)
            await sleep(SETTLE_S)
            began_at = current_time()
            for node in stack.nodes.values():
                async with wire_client(node.address) as client:
                    answer = await client.start('odd', KEY)
                    assert answer.split()[1] == 'MALFORMED'
            assert current_time() == began_at
            async with wire_client(node.address) as client:
                await client.start('db', KEY)
                assert not (await client.query('WRITE a b')).code

    run_virtual(play)
