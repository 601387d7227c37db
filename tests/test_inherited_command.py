"""A failover stops while the command of an earlier holder may take effect."""

from collections.abc import Collection
from functools import partial

import pytest
from trio import current_time, sleep

from tests import test_wire_failover as failover
from tests.support import run_virtual
from tests.test_wire_failover import RECORDED_S, lease_holder, primary_of
from trefoilhitch.pooler.group_fence import GroupFence
from trefoilhitch_lab.wire_stack import WireStack, running_wire_stack

POLL_S = 0.01
# Time without an acknowledged write after the second failover stopped.
SERVED_S = 6


def stop_second_failover(
    stack: WireStack, monkeypatch: pytest.MonkeyPatch
) -> list[float]:
    """Let the second failover take an endpoint for one that joined.

    The old primary is back then, and the candidate of the first failover
    receives nothing.

    Returns:
        The time, once it has happened.

    """
    covers_usually = GroupFence.covers
    endpoints = stack.group.endpoints
    fences: list[GroupFence] = []
    stopped_at: list[float] = []

    def covers(fence: GroupFence, members: Collection[str]) -> bool:
        if fence not in fences:
            fences.append(fence)
        if fence is not fences[-1] or len(fences) != 2:
            return covers_usually(fence, members)
        if not stopped_at:
            endpoints['ledger-0'].restart(keeps_log=True)
            endpoints['ledger-1'].faults.cut_from_group = True
            stopped_at.append(current_time())
        return False

    monkeypatch.setattr(GroupFence, 'covers', covers)
    return stopped_at


async def play(late_s: float, monkeypatch: pytest.MonkeyPatch) -> None:
    """Kill the first holder after its command, and stop the second one."""
    async with running_wire_stack() as stack:
        await sleep(RECORDED_S)
        candidate = stack.group.endpoints['ledger-1']
        stopped_at = stop_second_failover(stack, monkeypatch)
        await failover.write(stack, 'before')
        stack.promotions.faults.late_commands = 1
        stack.promotions.faults.late_command_delay_s = late_s
        primary_of(stack).crash()
        while not stack.promotions.received:
            await sleep(POLL_S)
        stack.kill_node(lease_holder(stack))
        while not stopped_at:
            await sleep(POLL_S)
        served_by = stopped_at[0] + SERVED_S
        node = next(iter(stack.nodes))
        while stack.group.term == 1:
            await failover.write(stack, f'after-{current_time()}', node)
            await sleep(POLL_S)
            assert current_time() < served_by
        candidate.faults.cut_from_group = False
        while await failover.write(stack, f'served-{current_time()}', node):
            await sleep(POLL_S)
            assert current_time() < served_by
    assert not stack.group.lost_entries


@pytest.mark.parametrize('late_s', [1.7, 2.0, 2.3])
def test_fences_stay_while_an_earlier_command_may_take_effect(
    late_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against lost orders: an earlier holder's command is late."""
    run_virtual(partial(play, late_s, monkeypatch))
