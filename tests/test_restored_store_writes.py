"""Nodes that read the leases through another one, after a restoration."""

from trio import open_nursery, sleep

from tests.acknowledged_writes import AcknowledgedWrites
from tests.client_writers import watch_service, write_always
from tests.support import with_virtual_clock
from tests.test_wire_failover import RECORDED_S, primary_of
from trefoilhitch_lab.wire_stack import running_wire_stack

POLL_S = 0.05
SETTLED_S = 3.0
WATCHED_S = 8.0
# Time without an acknowledged write at any node while no endpoint has failed.
GAP_S = 2.0


@with_virtual_clock
async def test_restored_store_stops_the_writes_of_no_node() -> None:
    """Guards against a lease of an earlier era that is taken for a held one."""
    async with running_wire_stack(nodes=4) as stack, open_nursery() as nursery:
        await sleep(RECORDED_S)
        old = primary_of(stack)
        old.faults.silent = True
        while not stack.promotions.completed:
            await sleep(POLL_S)
        await sleep(SETTLED_S)
        old.faults.silent = False
        await sleep(SETTLED_S)
        seen = {name: AcknowledgedWrites() for name in stack.nodes}
        for name, writes in seen.items():
            nursery.start_soon(write_always, stack, writes, name)
        await sleep(SETTLED_S)
        stack.restore_store(stack.store_state.copy())
        async with open_nursery() as watching:
            for writes in seen.values():
                watching.start_soon(watch_service, writes, WATCHED_S, GAP_S)
        nursery.cancel_scope.cancel()
    assert len(stack.promotions.completed) == 1
