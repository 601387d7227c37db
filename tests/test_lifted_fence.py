"""A control statement of an earlier failover that arrives late."""

import pytest
from trio import sleep

from tests import test_wire_failover as failover
from tests.support import with_virtual_clock
from trefoilhitch.decision_log import NullLog
from trefoilhitch.pooler.held_lease import HeldLease
from trefoilhitch_lab.wire_stack import WireStack, running_wire_stack


class OutcomeLog(NullLog):
    """Keeps the outcomes of failovers."""

    def __init__(self) -> None:
        """Start without a failover."""
        self.outcomes: list[str] = []

    def event(self, name: str, **fields: object) -> None:
        """Keep the outcome of a failover."""
        if name == 'succession_ended':
            self.outcomes.append(str(fields['outcome']))


def lift_fences_once(stack: WireStack, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a RESUME arrive after the first failover has set its fences."""
    record_usually = HeldLease.record_candidate
    late = ['RESUME']

    async def record_candidate(lease: HeldLease, endpoint: str) -> None:
        await record_usually(lease, endpoint)
        while late:
            late.pop()
            for each in stack.group.endpoints.values():
                each.terms.fenced = 0

    monkeypatch.setattr(HeldLease, 'record_candidate', record_candidate)


def test_failover_stops_if_its_fence_was_lifted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against commits that a replica receives after it was chosen."""
    log = OutcomeLog()

    @with_virtual_clock
    async def play() -> None:
        async with running_wire_stack(log=log) as stack:
            await sleep(failover.RECORDED_S)
            lift_fences_once(stack, monkeypatch)
            assert await failover.write(stack, 'before') == ''
            failover.primary_of(stack).crash()
            failover.primary_of(stack).is_primary = False
            await failover.write_until_done(stack, 'after')
            assert len(stack.promotions.completed) == 1
        assert stack.group.lost_entries == []

    play()
    assert log.outcomes[0] == 'FailoverStoppedError: a fence was lifted'
    assert 'done' in log.outcomes
