"""A node that was frozen in a failover and has lost its lease."""

import pytest
from trio import current_time, sleep

from tests import test_wire_failover as failover
from tests.support import with_virtual_clock
from trefoilhitch.pooler.endpoint_control import EndpointControl
from trefoilhitch.pooler.held_lease import HeldLease
from trefoilhitch.pooler.lease import LEASE_DURATION_S
from trefoilhitch.pooler.ports import EndpointStatus
from trefoilhitch_lab.wire_stack import running_wire_stack

# By then, another node has acquired the lease and replaced the primary.
FROZEN_S = 2 * LEASE_DURATION_S


class FrozenHolder:
    """Freezes the first failover that has fenced the endpoints.

    Args:
        monkeypatch: replaces the methods.

    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Observe the failovers."""
        self.frozen_at: float | None = None
        self.lifted_at: list[float] = []
        record_usually = HeldLease.record_candidate
        unfence_usually = EndpointControl.unfence

        async def record_candidate(lease: HeldLease, endpoint: str) -> None:
            if self.frozen_at is None:
                self.frozen_at = current_time()
                await sleep(FROZEN_S)
            await record_usually(lease, endpoint)

        async def unfence(
            control: EndpointControl, endpoint: str
        ) -> EndpointStatus | None:
            self.lifted_at.append(current_time())
            return await unfence_usually(control, endpoint)

        monkeypatch.setattr(HeldLease, 'record_candidate', record_candidate)
        monkeypatch.setattr(EndpointControl, 'unfence', unfence)


def test_frozen_holder_keeps_fences_of_its_successor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a replica that an old primary reaches again."""
    holder = FrozenHolder(monkeypatch)

    @with_virtual_clock
    async def play() -> None:
        async with running_wire_stack() as stack:
            assert await failover.write(stack, 'before') == ''
            old = failover.primary_of(stack)
            old.crash()
            old.is_primary = False
            await failover.write_until_done(stack, 'after')
            assert holder.frozen_at is not None
            woken_at = holder.frozen_at + FROZEN_S
            await sleep(woken_at + 1 - current_time())
            assert all(at < woken_at for at in holder.lifted_at)
        assert stack.group.lost_entries == []

    play()
