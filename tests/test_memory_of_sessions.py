"""The state of all sessions of a node fits in the memory of its machine."""

from contextlib import AsyncExitStack

from tests.support import run_virtual
from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_stack import running_wire_stack

# Memory of the smallest entry VM; a process beyond it is killed.
MACHINE_BYTES = 152 * 1000 * 1000
LARGE_TEXT = 'x' * 1048000
VARIABLES = 7
SESSIONS = 25


async def _hold_text(clients: AsyncExitStack, address: str) -> int:
    """Open a session that stays open; return how much text it may hold."""
    client = await clients.enter_async_context(wire_client(address))
    answer = await client.start('orders', 'key-himal')
    if not answer.startswith('READY'):
        return 0
    codes = [
        (await client.query(f'SET v{number} {LARGE_TEXT}')).code
        for number in range(VARIABLES)
    ]
    return codes.count('') * len(LARGE_TEXT)


def test_sessions_together_exceed_the_memory_of_an_entry_vm() -> None:
    async def play() -> int:
        async with running_wire_stack() as stack, AsyncExitStack() as clients:
            address = stack.nodes['node-0'].address
            held = [await _hold_text(clients, address) for _ in range(SESSIONS)]
        return sum(held)

    assert run_virtual(play) < MACHINE_BYTES
