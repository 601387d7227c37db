"""Another writer leaves one entry among those of the endpoints."""

from functools import partial

import pytest
from msgspec import Raw
from trio import sleep

from tests import test_wire_failover as failover
from tests.support import run_virtual
from tests.test_unreadable_objects import restart_all
from trefoilhitch_lab.wire_stack import WireStack, running_wire_stack

WRITER = 'another-writer'
# Time in which the nodes read the entry, and end if they can't.
READ_S = 3
# Valid JSON, but no text.
HALF_A_PAIR = Raw(r'"\ud800"'.encode())


async def expect_writes(stack: WireStack, mark: str) -> None:
    """Write at each node."""
    for name in stack.nodes:
        assert await failover.write(stack, f'{mark}-{name}', name) == ''


async def play(changes: dict[str, object], *, restarts: bool) -> None:
    """Leave the entry, and restart all nodes or let them run."""
    async with running_wire_stack() as stack:
        await expect_writes(stack, 'before')
        entry = stack.endpoint_entry('ledger-2', **changes)
        stack.store_state.put('servers', WRITER, entry)
        await sleep(READ_S)
        if restarts:
            await restart_all(stack)
            await sleep(READ_S)
        await expect_writes(stack, 'after')


@pytest.mark.parametrize('restarts', [False, True])
def test_address_with_a_superscript_digit_ends_all_nodes(
    restarts: bool,
) -> None:
    """Guards against nodes that end again and again (review, case 3)."""
    changes = {'address': '127.0.0.1:8\u00b240'}
    run_virtual(partial(play, changes, restarts=restarts))


@pytest.mark.parametrize('restarts', [False, True])
def test_half_a_surrogate_pair_hides_all_endpoints(restarts: bool) -> None:
    """Guards against restarted nodes without endpoints (review, case 4)."""
    changes = {'service': HALF_A_PAIR}
    run_virtual(partial(play, changes, restarts=restarts))
