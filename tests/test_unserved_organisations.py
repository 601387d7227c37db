"""An organisation whose name endpoints cannot be told is refused at once.

It guards against BUSY, which tells a client to come back, for what can never be
served.
"""

import pytest
from trio import current_time, sleep

from tests.support import run_virtual
from trefoilhitch.decision_log import NullLog
from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_stack import (
    SERVICE,
    WireStack,
    make_declaration,
    running_wire_stack,
)

KEY = 'key-odd'
NAMES = ('', ' ', 'two words', 'himal ', ' himal', 'a\r\nb', 'a\n', '\r')
SETTLE_S = 3


class RecordingLog(NullLog):
    """Keeps the names of organisations that are not served."""

    def __init__(self) -> None:
        """Start without names."""
        self.unserved: list[str] = []

    def event(self, name: str, **fields: object) -> None:
        """Keep the names of one event."""
        if name == 'organisations_unserved':
            self.unserved.extend(fields['names'])


def declare(stack: WireStack, name: str, *, max_connections: int) -> None:
    """Declare an organisation beside another one."""
    tenants = [
        {'name': name, 'api_keys': [KEY]},
        {'name': 'tara', 'api_keys': ['key-tara']},
    ]
    service = {
        'name': SERVICE,
        'max_connections': max_connections,
        'sync_replicas': 1,
    }
    declared = make_declaration(2, tenants=tenants, services=[service])
    stack.store_state.put('config', 'main', declared)


async def start(stack: WireStack, node: str, key: str) -> str:
    """Return the response to START, and fail if a write fails then."""
    async with wire_client(stack.nodes[node].address) as client:
        answer = await client.start('orders', key)
        if answer.startswith('READY'):
            assert not (await client.query('WRITE a b')).code
        return answer


# With few connections, some nodes send their statements through others.
@pytest.mark.parametrize('max_connections', [3, 100])
@pytest.mark.parametrize('name', NAMES)
def test_organisation_that_cannot_be_named_is_told_to_come_back(
    name: str, max_connections: int
) -> None:
    log = RecordingLog()

    async def play() -> None:
        async with running_wire_stack(log=log) as stack:
            declare(stack, name, max_connections=max_connections)
            await sleep(SETTLE_S)
            began_at = current_time()
            for node in stack.nodes:
                assert (await start(stack, node, KEY)).split()[1] == 'MALFORMED'
            assert current_time() == began_at
            for node in stack.nodes:
                assert await start(stack, node, 'key-tara') == 'READY I -'
            told = {ran.organisation for ran in stack.group.executed}
            assert told == {'tara'}

    run_virtual(play)
    assert set(log.unserved) == {name}
