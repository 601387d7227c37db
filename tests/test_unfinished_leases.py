"""Which leases another node has to finish, so that commits go on."""

from dataclasses import replace

import pytest

from trefoilhitch.pooler.era_numbers import FIRST_ERA
from trefoilhitch.pooler.lease import (
    LeaseListing,
    LeaseRecord,
    lowest_token,
)
from trefoilhitch.pooler.lease_view import LeaseView
from trefoilhitch.pooler.unfinished_leases import (
    HELD_TOO_LONG_S,
    UnfinishedLeases,
)

SERVICE = 'ledger'
IDLE = LeaseRecord(revision=1, token=1)
HELD = LeaseRecord(2, 2, 'node', '127.0.0.1:1', 'attempt')
LEFT = LeaseRecord(revision=3, token=2, candidate='b')
# How often the lease is looked at.
INTERVAL_S = 0.25
# Age of a view that permits nothing any more.
EXPIRED_S = 1.0


class Leases:
    """Provides the views that a test sets."""

    def __init__(self) -> None:
        """Start before the first view."""
        self.view = LeaseView()
        self.refreshes = 0

    def refresh(self) -> None:
        """Count the wishes for a newer view."""
        self.refreshes += 1

    def show(self, lease: LeaseRecord, now: float) -> None:
        """Let a view show a lease."""
        listing = LeaseListing({SERVICE: lease}, lease.era)
        self.view = LeaseView(now, listing)


class Clock:
    """Looks at a lease at regular times."""

    def __init__(self) -> None:
        """Start at time 0 without a view."""
        self.leases = Leases()
        self.now: float = 0
        self._unfinished = UnfinishedLeases(self.leases)

    def has_to_finish(self) -> bool:
        """Look at the lease now."""
        return self._unfinished.has_to_finish(SERVICE, self.now)

    def finished_within(self, lease: LeaseRecord, duration: float) -> bool:
        """Look at the same lease for some time, up to the first finish."""
        ends_at = self.now + duration
        while self.now < ends_at:
            self.leases.show(lease, self.now)
            if self.has_to_finish():
                return True
            self.now += INTERVAL_S
        return False


def test_nothing_is_finished_before_the_first_view() -> None:
    clock = Clock()
    assert not clock.has_to_finish()
    assert clock.leases.refreshes == 0


def test_lease_released_with_a_candidate_is_finished_at_once() -> None:
    """Guards against acknowledgements that wait for a failover of nobody."""
    clock = Clock()
    clock.leases.show(LEFT, clock.now)
    assert clock.has_to_finish()


def test_lease_held_by_one_attempt_is_finished_after_its_time() -> None:
    """Guards against a service that waits for a holder that is gone."""
    clock = Clock()
    assert not clock.finished_within(HELD, HELD_TOO_LONG_S)
    assert clock.finished_within(HELD, INTERVAL_S)
    assert clock.now == HELD_TOO_LONG_S


def test_renewal_by_the_same_attempt_does_not_start_the_time_anew() -> None:
    """Guards against a wait that each write of the holder prolongs."""
    clock = Clock()
    assert not clock.finished_within(HELD, HELD_TOO_LONG_S)
    renewed = replace(HELD, revision=HELD.revision + 1)
    assert clock.finished_within(renewed, INTERVAL_S)


def test_another_attempt_starts_the_time_anew() -> None:
    """Guards against two failovers that finish each other's leases."""
    clock = Clock()
    assert not clock.finished_within(HELD, HELD_TOO_LONG_S - INTERVAL_S)
    other = replace(HELD, revision=3, token=3, attempt='other')
    assert not clock.finished_within(other, HELD_TOO_LONG_S)
    assert clock.finished_within(other, INTERVAL_S)


def test_idle_lease_starts_the_time_anew() -> None:
    """Guards against a failover for a lease that was held long ago."""
    clock = Clock()
    assert not clock.finished_within(HELD, HELD_TOO_LONG_S - INTERVAL_S)
    assert not clock.finished_within(IDLE, INTERVAL_S)
    assert not clock.finished_within(HELD, HELD_TOO_LONG_S)


@pytest.mark.parametrize('lease', [HELD, LEFT])
def test_expired_view_finishes_nothing(lease: LeaseRecord) -> None:
    """Guards against a decision on a lease that was released meanwhile."""
    clock = Clock()
    clock.leases.show(lease, clock.now)
    clock.has_to_finish()
    refreshes = clock.leases.refreshes
    clock.now = HELD_TOO_LONG_S + INTERVAL_S
    assert not clock.has_to_finish()
    # Another view is wanted, for it may show that the lease is still there.
    assert clock.leases.refreshes == refreshes + 1


def test_expired_view_does_not_start_the_time() -> None:
    """Guards against a time that counts from before the lease was known."""
    clock = Clock()
    clock.leases.show(HELD, clock.now)
    clock.now = EXPIRED_S
    assert not clock.has_to_finish()
    clock.now += HELD_TOO_LONG_S
    assert not clock.finished_within(HELD, HELD_TOO_LONG_S)


@pytest.mark.parametrize(
    'lease',
    [
        IDLE,
        replace(IDLE, primary='a', term=1),
        replace(HELD, era=FIRST_ERA + 1),
        replace(LEFT, era=FIRST_ERA + 1),
    ],
)
def test_idle_or_older_lease_is_never_finished(lease: LeaseRecord) -> None:
    """Guards against failovers without need, and on a restored lease."""
    clock = Clock()
    assert not clock.finished_within(lease, 2 * HELD_TOO_LONG_S)


@pytest.mark.parametrize('lease', [HELD, LEFT])
def test_lease_of_the_present_era_is_finished(lease: LeaseRecord) -> None:
    """Guards against leases that nobody finishes after a restore."""
    era = FIRST_ERA + 1
    clock = Clock()
    written = replace(lease, era=era, token=lowest_token(era) + 1)
    assert clock.finished_within(written, HELD_TOO_LONG_S + INTERVAL_S)
