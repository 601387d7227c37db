"""A promotion was accepted, and nobody sees the endpoint lead."""

from functools import partial
from typing import Any

import pytest
from trio import move_on_after, open_nursery, sleep

from tests.acknowledged_writes import AcknowledgedWrites
from tests.client_writers import wait_until_served
from tests.group_changes import join
from tests.support import run_virtual
from tests.test_unproved_fences import wait_for_command
from tests.test_wire_failover import GAP_BOUND_S, RECORDED_S, primary_of
from trefoilhitch_lab.wire_stack import make_declaration, running_wire_stack

PAUSE_S = 0.01
# More than the holder waits for the role of the new primary.
CUT_S = 4.5
TIMEOUT_MS = 8000


def patient_declaration() -> dict[str, Any]:
    """Return a declaration whose statements may take long."""
    declared = make_declaration(2)
    for route in declared['routes']:
        route['timeout_ms'] = TIMEOUT_MS
    declared['services'][0]['max_connections'] = 100
    return declared


async def play(cut: str) -> None:
    """Write while a promotion takes effect that no node can confirm."""
    writes = AcknowledgedWrites()
    codes: list[str] = []
    async with running_wire_stack(nodes=4) as stack, open_nursery() as nursery:
        stack.store_state.put('config', 'main', patient_declaration())
        await sleep(RECORDED_S)
        for each in stack.group.endpoints.values():
            each.faults.max_connections = 200
        assert await writes.write(stack, 'before', 'node-3') == ''
        old = primary_of(stack)
        for name, running in stack.nodes.items():
            if name != 'node-3':
                running.cut_endpoints.add(old.endpoint)
            else:
                running.cuts.control.add(old.endpoint)
        await wait_for_command(stack)
        candidate = stack.promotions.received[0].endpoint
        for running in stack.nodes.values():
            if cut == 'control':
                running.cuts.control.add(candidate)
            else:
                running.cut_endpoints.add(candidate)

        async def write(mark: str) -> None:
            codes.append(
                await writes.write(stack, mark, 'node-3', timeout_s=9)
            )

        await join(stack, nursery, 'ledger-9', listed_after_s=20)
        for number in range(10):
            nursery.start_soon(write, f'held-{number}')
            await sleep(PAUSE_S)
        await sleep(CUT_S)
        for running in stack.nodes.values():
            running.cuts.endpoints.clear()
            running.cuts.control.clear()
        with move_on_after(GAP_BOUND_S):
            await wait_until_served(stack, writes, GAP_BOUND_S)
        assert writes.missing(stack.group) == []
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('cut', ['control', 'all'])
def test_unconfirmed_promotion_drops_no_acknowledged_write(cut: str) -> None:
    """Guards against a lease that counts as idle after an accepted command."""
    run_virtual(partial(play, cut))
