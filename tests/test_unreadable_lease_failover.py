"""A failover of a service whose lease cannot be read."""

from typing import Any

from trio import sleep

from tests import test_wire_failover as failover
from tests.odd_objects import DEEP
from tests.support import with_virtual_clock
from tests.test_wire_failover import RECORDED_S, SERVICE, primary_of
from trefoilhitch.decision_log import NullLog
from trefoilhitch.platform.object_store import LEASE_KIND
from trefoilhitch_lab.wire_stack import running_wire_stack

# Time for several attempts at a failover by each monitor.
ATTEMPTS_S = 6
# The lease as an operator writes it, with a token above all earlier ones.
WRITTEN_AGAIN = {'token': 9, 'holder': '', 'attempt': '', 'candidate': ''}


class EventLog(NullLog):
    """Keeps the events that were logged."""

    def __init__(self) -> None:
        """Start without events."""
        super().__init__()
        self.events: list[tuple[str, dict[str, Any]]] = []

    def event(self, kind: str, **fields: Any) -> None:
        """Keep an event."""
        self.events.append((kind, fields))

    def named(self, kind: str) -> list[dict[str, Any]]:
        """Return the fields of all events of a kind."""
        return [fields for name, fields in self.events if name == kind]


@with_virtual_clock
async def test_unreadable_lease_is_replaced_or_not_logged() -> None:
    """Guards against an unknown token, and against a silent refusal."""
    log = EventLog()
    async with running_wire_stack(log=log) as stack:
        await sleep(RECORDED_S)
        await failover.write(stack, 'before')
        stack.store_state.put(LEASE_KIND, SERVICE, DEEP)
        primary_of(stack).crash()
        primary_of(stack).is_primary = False
        await sleep(ATTEMPTS_S)
        assert not stack.promotions.received
        stored = stack.store_state.objects_by_kind[LEASE_KIND][SERVICE]
        assert stored['spec'] is DEEP
        for running in stack.nodes.values():
            count = running.metrics.total('unreadable_objects')
            assert count == 1, running.cfg.node
        stack.store_state.put(LEASE_KIND, SERVICE, WRITTEN_AGAIN)
        await failover.write_until_done(stack, 'after')
    assert len(log.named('lease_ignored')) == len(stack.nodes)
    assert not log.named('store_lost')
    outcomes = {each['outcome'] for each in log.named('succession_ended')}
    assert 'done' in outcomes
    assert any(each.startswith('UnreadableLeaseError') for each in outcomes)
    assert not stack.group.lost_entries
