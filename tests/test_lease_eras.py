"""Leases of a store that was restored from an older copy."""

from dataclasses import replace

import pytest
from trio import current_time

from tests.support import with_virtual_clock
from trefoilhitch.decision_log import NullLog
from trefoilhitch.errors import StoreUnavailableError
from trefoilhitch.pooler.held_lease import FailoverStoppedError, HeldLease
from trefoilhitch.pooler.lease import (
    LEASE_DURATION_S,
    LeaseRecord,
    ObservedLease,
    may_acquire,
    next_token,
)
from trefoilhitch.pooler.lease_client import LeaseClient
from trefoilhitch.pooler.ports import LeaseStore
from trefoilhitch.pooler.store_era import StoreEra

SERVICE = 'ledger'
OLD = LeaseRecord(revision=3, token=7, era=1)
MANY_ATTEMPTS = 100_000


class Store(LeaseStore):
    """Store of one lease that can be restored.

    Args:
        era: the era as a node knows it.

    """

    def __init__(self, era: StoreEra) -> None:
        """Start with a released lease."""
        self.lease = OLD
        self.loses_next_write = False
        self._era = era

    async def read_lease(self, service: str, deadline: float) -> LeaseRecord:
        """Read the lease."""
        return self.lease

    async def write_lease(
        self, service: str, lease: LeaseRecord, deadline: float
    ) -> LeaseRecord | None:
        """Write the lease, or lose the write and start a new era."""
        if self.loses_next_write:
            self.loses_next_write = False
            self.restore()
            raise StoreUnavailableError('restored')
        if lease.era != self.lease.era:
            return None
        self.lease = replace(lease, revision=self.lease.revision + 1)
        return self.lease

    def restore(self) -> None:
        """Return to the first lease, in a new era."""
        self._era.observe(self._era.current + 1)
        self.lease = replace(OLD, era=self._era.current)


def new_era() -> StoreEra:
    """Return the first era."""
    era = StoreEra(clock=current_time, log=NullLog())
    era.observe(1)
    return era


def held_lease(store: Store, era: StoreEra) -> HeldLease:
    """Return the lease as a node may hold it."""
    return HeldLease(
        LeaseClient(store),
        service=SERVICE,
        node='node-1',
        address='127.0.0.1:7100',
        clock=current_time,
        store_era=era,
        log=NullLog(),
    )


def test_token_is_given_again_in_a_later_era() -> None:
    lost = LeaseRecord(token=next_token(OLD), era=1)
    for _ in range(MANY_ATTEMPTS):
        lost = replace(lost, token=next_token(lost))
    restored = replace(OLD, era=2)
    assert next_token(restored) > lost.token
    assert next_token(LeaseRecord(era=2)) > lost.token
    assert next_token(LeaseRecord(era=3)) > next_token(restored)


def test_lost_lease_is_acquired_while_its_holder_may_still_act() -> None:
    for record in (LeaseRecord(era=2), replace(OLD, era=2)):
        missing = ObservedLease(record, 20)
        assert not may_acquire(missing, 'me', 20 + LEASE_DURATION_S - 0.1, 20)
        assert may_acquire(missing, 'me', 20 + LEASE_DURATION_S, 20)
    written = replace(OLD, era=2, token=next_token(replace(OLD, era=2)))
    assert may_acquire(ObservedLease(written, 20), 'me', 20, 20)


@with_virtual_clock
async def test_holder_goes_on_after_its_lease_was_lost() -> None:
    era = new_era()
    store = Store(era)
    lease = held_lease(store, era)
    await lease.acquire(ObservedLease(OLD, current_time()), 'a/1')
    assert lease.is_valid()
    store.restore()
    with pytest.raises(FailoverStoppedError):
        lease.ensure_valid()
    with pytest.raises(FailoverStoppedError):
        await lease.raise_token()
    assert store.lease == replace(OLD, era=2)


@with_virtual_clock
async def test_write_of_an_earlier_era_is_repeated_in_the_next_one() -> None:
    era = new_era()
    store = Store(era)
    lease = held_lease(store, era)
    store.loses_next_write = True
    with pytest.raises(FailoverStoppedError):
        await lease.acquire(ObservedLease(OLD, current_time()), 'a/1')
    assert store.lease == replace(OLD, era=2)
    assert not lease.is_valid()
