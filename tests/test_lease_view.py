"""Permission to use a primary unasked, and the delay of promotions."""

from dataclasses import replace

import pytest
from trio import current_time, open_nursery, sleep

from tests.support import with_virtual_clock
from trefoilhitch.decision_log import NullLog
from trefoilhitch.errors import StoreUnavailableError
from trefoilhitch.pooler.lease import (
    LeaseListing,
    LeaseRecord,
    ObservedLease,
    next_token,
)
from trefoilhitch.pooler.lease_observer import LeaseObserver
from trefoilhitch.pooler.lease_view import (
    PERMISSION_MARGIN_S,
    PROMOTION_DELAY_S,
    LeaseView,
    promotion_time,
)

SERVICE = 'ledger'
PRIMARY = 'i-1'


@pytest.mark.parametrize(
    ('lease', 'expected'),
    [
        (None, True),
        (LeaseRecord(token=3), True),
        (LeaseRecord(token=3, primary=PRIMARY, term=2), True),
        (LeaseRecord(token=3, primary='i-2', term=2), False),
        (LeaseRecord(holder='n-1'), False),
        (LeaseRecord(candidate='i-2'), False),
        (LeaseRecord(candidate=PRIMARY), False),
    ],
)
def test_only_an_idle_lease_permits(
    lease: LeaseRecord | None, expected: bool
) -> None:
    leases = {} if lease is None else {SERVICE: lease}
    assert (
        LeaseView(10, LeaseListing(leases)).permits(SERVICE, PRIMARY, 10)
        is expected
    )


def test_lease_that_a_restored_store_lost_permits_a_primary() -> None:
    lost = LeaseListing(era=2)
    assert not LeaseView(10, lost).permits(SERVICE, PRIMARY, 10)
    outdated = LeaseRecord(token=3, primary=PRIMARY, era=2)
    view = LeaseView(10, LeaseListing({SERVICE: outdated}, 2))
    assert not view.permits(SERVICE, PRIMARY, 10)
    written = replace(outdated, token=next_token(outdated))
    view = LeaseView(10, LeaseListing({SERVICE: written}, 2))
    assert view.permits(SERVICE, PRIMARY, 10)


def test_permission_ends_before_a_promotion_may_be_commanded() -> None:
    view = LeaseView(10)
    idle = ObservedLease(LeaseRecord(), first_seen_at=0)
    # The lease was acquired at the moment after it was read.
    promoted_at = promotion_time(idle, acquired_at=10)
    assert view.permits(SERVICE, PRIMARY, promoted_at - PROMOTION_DELAY_S)
    assert not view.permits(SERVICE, PRIMARY, promoted_at - PERMISSION_MARGIN_S)
    assert not view.permits(SERVICE, PRIMARY, promoted_at)


def test_lease_that_was_held_before_needs_no_further_delay() -> None:
    held = ObservedLease(LeaseRecord(holder='n-1'), first_seen_at=2)
    assert promotion_time(held, acquired_at=6) == 2 + PROMOTION_DELAY_S
    pending = ObservedLease(LeaseRecord(candidate='i-2'), first_seen_at=2)
    assert promotion_time(pending, acquired_at=6) == 2 + PROMOTION_DELAY_S


@pytest.mark.parametrize('candidate', ['', 'i-2'])
def test_promotion_waits_after_an_ended_attempt(candidate: str) -> None:
    """Guards against late statements that lift or set a successor's fences."""
    lease = LeaseRecord(holder='n-1', candidate=candidate)
    ended = ObservedLease(lease, first_seen_at=2, has_ended=True)
    assert promotion_time(ended, acquired_at=6) == 6 + PROMOTION_DELAY_S


class Store:
    """A store that counts how often the leases are read."""

    def __init__(self) -> None:
        """Start with a store that answers."""
        self.read_count = 0
        self.is_down = False

    async def read(self, deadline: float) -> LeaseView:
        """Read the leases."""
        observed_at = current_time()
        await sleep(0.05)
        self.read_count += 1
        if self.is_down:
            raise StoreUnavailableError('down')
        return LeaseView(observed_at)


def observer(store: Store) -> LeaseObserver:
    """Return an observer of the store."""
    return LeaseObserver(
        read_view=store.read, clock=current_time, log=NullLog()
    )


@with_virtual_clock
async def test_many_statements_share_one_view() -> None:
    store = Store()
    leases = observer(store)
    async with open_nursery() as nursery:
        nursery.start_soon(leases.run)
        for _ in range(200):
            assert await leases.permits(SERVICE, PRIMARY)
            await sleep(0.01)
        nursery.cancel_scope.cancel()
    # 2 s of steady use.
    assert store.read_count <= 6


@with_virtual_clock
async def test_nothing_is_read_while_no_statement_needs_it() -> None:
    store = Store()
    leases = observer(store)
    async with open_nursery() as nursery:
        nursery.start_soon(leases.run)
        await sleep(30)
        nursery.cancel_scope.cancel()
    assert store.read_count == 0


@with_virtual_clock
async def test_outage_of_the_store_delays_only_the_first_statement() -> None:
    store = Store()
    store.is_down = True
    leases = observer(store)
    async with open_nursery() as nursery:
        nursery.start_soon(leases.run)
        assert not await leases.permits(SERVICE, PRIMARY)
        started_at = current_time()
        assert not await leases.permits(SERVICE, PRIMARY)
        assert current_time() == started_at
        nursery.cancel_scope.cancel()
