"""The node that passed acknowledgements on is not there when it is asked."""

from collections.abc import Awaitable, Callable
from functools import partial

import pytest
from trio import open_nursery, sleep

from tests.acknowledged_writes import AcknowledgedWrites
from tests.client_writers import wait_until_served
from tests.group_changes import join
from tests.support import run_virtual
from tests.test_departed_endpoints import (
    AWAY_S,
    BEHIND,
    DRAIN_S,
    PRIMARY,
    cut_off,
    drain,
    return_primary,
)
from tests.test_restarted_nodes import crash
from tests.test_wire_failover import GAP_BOUND_S, RECORDED_S
from trefoilhitch_lab.wire_stack import WireStack, running_wire_stack

ACKNOWLEDGING = 'node-2'
WRITES = 5


async def kill(stack: WireStack) -> None:
    """Kill the node that passed the acknowledgements on."""
    stack.kill_node(ACKNOWLEDGING)


async def restart(stack: WireStack) -> None:
    """Restart the node that passed the acknowledgements on."""
    stack.kill_node(ACKNOWLEDGING)
    await stack.start_node(ACKNOWLEDGING)
    await stack.wait_until_ready()
    await sleep(RECORDED_S)


async def cut_nodes(stack: WireStack) -> None:
    """Cut the nodes off from each other."""
    stack.peers_cut = True


async def play(part: Callable[[WireStack], Awaitable[None]], kill_after_s: float) -> None:
    """Let the only replica that held the commits leave, then its node."""
    writes = AcknowledgedWrites()
    async with running_wire_stack() as stack, open_nursery() as nursery:
        await join(stack, nursery, 'ledger-3')
        await sleep(RECORDED_S)
        assert await writes.write(stack, 'before', ACKNOWLEDGING) == ''
        cut_off(stack, *BEHIND, cut=True)
        for number in range(WRITES):
            mark = f'held-{number}'
            assert await writes.write(stack, mark, ACKNOWLEDGING) == ''
        await drain(DRAIN_S, stack)
        await sleep(kill_after_s)
        await part(stack)
        crash(stack, PRIMARY)
        await sleep(AWAY_S)
        stack.peers_cut = False
        if stack.group.primary is None:
            return_primary(stack)
        present = [name for name in stack.group.endpoints if name != PRIMARY]
        cut_off(stack, *present, cut=False)
        await wait_until_served(stack, writes, GAP_BOUND_S)
        nursery.cancel_scope.cancel()
    assert writes.missing(stack.group) == []


@pytest.mark.parametrize('kill_after_s', [0, 2, 4])
@pytest.mark.parametrize('part', [kill, restart, cut_nodes])
def test_absent_node_takes_no_acknowledged_write_along(
    part: Callable[[WireStack], Awaitable[None]], kill_after_s: float
) -> None:
    """Guards against lost orders: only a node that is gone knew of them."""
    run_virtual(partial(play, part, kill_after_s))
