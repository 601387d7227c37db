"""Permission to use a primary without asking it, from an idle lease.

A replaced primary that is cut off goes on as primary, so that its own word
proves nothing. But whoever replaces it first acquires the lease of its
service, and waits for `PROMOTION_DELAY_S` before it commands the promotion.
So a lease that was idle when it was read rules out a promotion until that
time has passed since the read was requested.

A restored store has lost leases that it held. So a lease permits something only
if it was written in the present era of the store, when the leases of earlier
eras had expired.
"""

from dataclasses import dataclass, field

from trefoilhitch.pooler.lease import (
    LeaseListing,
    LeaseRecord,
    ObservedLease,
)

# A shorter delay makes nodes read the leases more often, a longer one delays
# every failover whose reason arises suddenly.
PROMOTION_DELAY_S = 1.0
# Time that a statement may take to reach the primary.
PERMISSION_MARGIN_S = 0.1
# Age from which a view is replaced in advance.
REFRESH_AGE_S = 0.45


@dataclass(frozen=True, slots=True)
class LeaseView:
    """The leases of all services as the store held them at one moment.

    Args:
        observed_at: when they were requested, in seconds on a clock that
            includes suspended time.
        listing: the leases.

    """

    observed_at: float = float('-inf')
    listing: LeaseListing = field(default_factory=LeaseListing)

    def permits(self, service: str, endpoint: str, now: float) -> bool:
        """Return whether an endpoint had not been replaced a moment ago.

        Args:
            service: service name.
            endpoint: id of the endpoint that is taken for the primary.
            now: current time; a statement that arrived before is covered.

        Returns:
            True if no promotion was commanded so far, and any later one is
            still delayed while a statement that is sent now is on its way.

        """
        expires_at = self.observed_at + PROMOTION_DELAY_S - PERMISSION_MARGIN_S
        if now >= expires_at:
            return False
        lease = self.listing.get(service)
        return is_idle(lease) and lease.primary in {'', endpoint}

    def is_expired(self, now: float) -> bool:
        """Return whether the view is too old to permit anything.

        Args:
            now: current time.

        """
        expires_at = self.observed_at + PROMOTION_DELAY_S - PERMISSION_MARGIN_S
        return now >= expires_at


def is_idle(lease: LeaseRecord) -> bool:
    """Return whether no failover of a service may be under way.

    Args:
        lease: lease of the service.

    """
    return lease.belongs_to_era and not (lease.holder or lease.candidate)


def promotion_time(seen: ObservedLease, acquired_at: float) -> float:
    """Return when the holder of a lease may command a promotion.

    By then, no view permits the use of the old primary any more. If the lease
    was not idle before it was acquired, the last such view is older than the
    revision that this node had seen.

    If the attempt of the former holder has ended, the full delay applies as
    well: control statements carry no token, so that its last ones may reach
    endpoints after the acquisition.

    Args:
        seen: the lease that was replaced, and when its revision was first read.
        acquired_at: when the store confirmed the acquisition, on the same
            clock.

    Returns:
        The time.

    """
    counts_from_now = seen.has_ended or is_idle(seen.record)
    starts_at = acquired_at if counts_from_now else seen.first_seen_at
    return starts_at + PROMOTION_DELAY_S
