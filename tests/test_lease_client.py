"""Lease writes against a store that loses responses, on the virtual clock."""

from dataclasses import replace
from itertools import repeat

import pytest
from trio import current_time, sleep, sleep_until

from tests.support import with_virtual_clock
from trefoilhitch.errors import StoreUnavailableError
from trefoilhitch.pooler.lease import LeaseRecord
from trefoilhitch.pooler.lease_client import CALL_TIMEOUT_S, LeaseClient
from trefoilhitch.pooler.ports import LeaseStore
from trefoilhitch.pooler.store_retry import ATTEMPT_TIMEOUT_S

SERVICE = 'orders'
MINE = LeaseRecord(revision=3, token=8, holder='node-1', attempt='a/1')
ANSWER_S = 0.01
ROUNDING_S = 1e-6


class Store(LeaseStore):
    """Store with one lease and a planned outcome for each call.

    Args:
        plan: outcome of each call: 'ok', 'lost' (done without a response),
            'dropped' (neither done nor answered) or 'down' (refused at once);
            later calls are 'ok'.

    """

    def __init__(self, *plan: str) -> None:
        """Start with a free lease that another node wrote."""
        self.lease = LeaseRecord(revision=3, token=7, attempt='b/1')
        self.writes = 0
        self._plan = list(plan)

    async def read_lease(self, service: str, deadline: float) -> LeaseRecord:
        """Read the lease."""
        await self._respond(deadline)
        return self.lease

    async def write_lease(
        self, service: str, lease: LeaseRecord, deadline: float
    ) -> LeaseRecord | None:
        """Write the lease if its revision is the stored one."""
        outcome = self._plan[0] if self._plan else 'ok'
        stored = None
        if outcome in {'ok', 'lost'} and lease.revision == self.lease.revision:
            self.writes += 1
            stored = replace(lease, revision=lease.revision + 1)
            self.lease = stored
        await self._respond(deadline)
        return stored

    async def _respond(self, deadline: float) -> None:
        outcome = self._plan.pop(0) if self._plan else 'ok'
        if outcome in {'lost', 'dropped'}:
            await sleep_until(deadline)
        if outcome != 'ok':
            raise StoreUnavailableError(outcome)
        await sleep(ANSWER_S)


@pytest.mark.parametrize(
    ('plan', 'within_s'),
    [
        ((), ANSWER_S),
        (('lost',), ATTEMPT_TIMEOUT_S + ANSWER_S),
        (('dropped',), ATTEMPT_TIMEOUT_S + 2 * ANSWER_S),
        (('lost', 'lost'), 2 * ATTEMPT_TIMEOUT_S + ANSWER_S),
        (('down', 'ok'), CALL_TIMEOUT_S / 2),
    ],
)
def test_write_takes_effect_once(
    plan: tuple[str, ...], within_s: float
) -> None:
    store = Store(*plan)
    took_s: list[float] = []

    @with_virtual_clock
    async def write() -> None:
        started_at = current_time()
        stored = await LeaseClient(store).write(SERVICE, MINE)
        took_s.append(current_time() - started_at)
        assert stored == replace(MINE, revision=4)

    write()
    assert store.writes == 1
    assert took_s[0] <= within_s + ROUNDING_S


@with_virtual_clock
async def test_lease_acquired_by_another_node_is_not_overwritten() -> None:
    store = Store('dropped')
    store.lease = replace(store.lease, revision=4, holder='node-2')
    assert await LeaseClient(store).write(SERVICE, MINE) is None
    assert store.lease.holder == 'node-2'


@with_virtual_clock
async def test_conflict_with_own_lost_write_is_success() -> None:
    store = Store('lost', 'dropped')
    stored = await LeaseClient(store).write(SERVICE, MINE)
    assert stored == store.lease
    assert store.writes == 1


@with_virtual_clock
async def test_calls_to_unavailable_store_end_in_time() -> None:
    started_at = current_time()
    store = Store(*repeat('dropped', 20))
    with pytest.raises(StoreUnavailableError):
        await LeaseClient(store).write(SERVICE, MINE)
    assert current_time() - started_at <= CALL_TIMEOUT_S + ROUNDING_S
    with pytest.raises(StoreUnavailableError):
        await LeaseClient(Store(*repeat('down', 20))).read(SERVICE)
