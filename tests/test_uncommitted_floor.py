"""A commit in flight, whose client was told nothing, is no reason to wait."""

from trio import current_time, open_nursery, sleep

from tests.acknowledged_writes import NO_ANSWER, AcknowledgedWrites
from tests.client_writers import wait_until_served
from tests.support import with_virtual_clock
from tests.test_restarted_nodes import crash
from tests.test_wire_failover import RECORDED_S, TARGET_GAP_S, primary_of
from trefoilhitch_lab.wire_stack import running_wire_stack

REPLICAS = ('ledger-1', 'ledger-2')
RECEIVED_S = 0.1
# Longer than the test: the commit reaches no replica.
NEVER_S = 100.0
POLL_S = 0.005


@with_virtual_clock
async def test_commit_in_flight_at_a_crash_does_not_stop_the_service() -> None:
    """Guards against a service that waits for a commit that nobody was told."""
    writes = AcknowledgedWrites()
    codes: list[str] = []
    async with running_wire_stack() as stack, open_nursery() as nursery:
        await sleep(RECORDED_S)
        assert await writes.write(stack, 'before', 'node-1') == ''
        old = primary_of(stack)
        replicas = [stack.group.endpoints[name] for name in REPLICAS]
        for each in replicas:
            each.faults.receive_delay_s = RECEIVED_S

        async def write(mark: str) -> None:
            codes.append(await writes.write(stack, mark, 'node-1'))

        nursery.start_soon(write, 'first')
        while len(old.log) < 2:
            await sleep(POLL_S)
        await sleep(RECEIVED_S / 2)
        for each in replicas:
            each.faults.receive_delay_s = NEVER_S
        nursery.start_soon(write, 'second')
        while 'first' not in writes.marks:
            await sleep(POLL_S)
        assert [len(each.log) for each in (old, *replicas)] == [3, 2, 2]
        crash(stack, old.endpoint)
        for each in replicas:
            each.faults.receive_delay_s = 0
        began_at = current_time()
        await wait_until_served(stack, writes, TARGET_GAP_S)
        assert current_time() - began_at <= TARGET_GAP_S
        assert NO_ANSWER not in codes
        assert 'second' not in writes.marks
        nursery.cancel_scope.cancel()
    assert writes.missing(stack.group) == []
