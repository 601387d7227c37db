"""Another writer leaves one entry among those of the endpoints."""

from functools import partial

import pytest
from msgspec import Raw
from trio import run, sleep
from trio.testing import MockClock

from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_stack import WireStack, running_wire_stack

KEY = 'key-himal'
WRITER = 'another-writer'
# Three ends by themselves on a tenth of the nodes are a fault; a node that ends
# is started again at once.
SEEN_S = 3
# Half a surrogate pair: valid JSON, but no text.
HALF_A_PAIR = Raw(r'"\ud800"'.encode())


async def write(stack: WireStack, name: str, mark: str) -> str:
    """Write at a node in a new session; return the code of the answer."""
    async with wire_client(stack.nodes[name].address) as client:
        assert await client.start('orders', KEY) == 'READY I -'
        return (await client.query(f'WRITE {mark} {mark}')).code


async def expect_writes(stack: WireStack, mark: str) -> None:
    """Write at each node."""
    for name in stack.nodes:
        assert await write(stack, name, f'{mark}-{name}') == ''


async def play(changes: dict[str, object], *, restarts: bool) -> None:
    """Leave the entry, and restart all nodes or let them run."""
    async with running_wire_stack() as stack:
        await expect_writes(stack, 'before')
        entry = stack.endpoint_entry('ledger-2', **changes)
        stack.store_state.put('servers', WRITER, entry)
        await sleep(SEEN_S)
        if restarts:
            names = list(stack.nodes)
            for name in names:
                stack.kill_node(name)
            for name in names:
                await stack.start_node(name)
            await stack.wait_until_ready()
            await sleep(SEEN_S)
        await expect_writes(stack, 'after')


def play_virtual(changes: dict[str, object], *, restarts: bool) -> None:
    """Play it on a virtual clock."""
    run(
        partial(play, changes, restarts=restarts),
        clock=MockClock(autojump_threshold=0),
    )


@pytest.mark.parametrize('restarts', [False, True])
def test_address_with_a_superscript_digit_ends_all_nodes(
    restarts: bool,
) -> None:
    """Guards against FAULT: nodes that end again and again (review/3)."""
    play_virtual({'address': '127.0.0.1:8\u00b240'}, restarts=restarts)


@pytest.mark.parametrize('restarts', [False, True])
def test_half_a_surrogate_pair_hides_all_endpoints(restarts: bool) -> None:
    """Guards against RECOVER: restarted nodes without endpoints (review/4)."""
    play_virtual({'service': HALF_A_PAIR}, restarts=restarts)
