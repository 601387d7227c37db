"""Leases that no failover works on, and that are not idle either.

Acknowledgements of commits wait until the lease of their service is idle. One
that keeps a candidate, or whose holder is gone, stays as it is until another
node finishes what was begun.
"""

from typing import Protocol

from trefoilhitch.pooler.lease import LEASE_DURATION_S
from trefoilhitch.pooler.lease_view import LeaseView, is_idle

# A lease that its holder does not renew has expired by then.
HELD_TOO_LONG_S = LEASE_DURATION_S + 0.5


class LeaseViews(Protocol):
    """Provides views of the leases."""

    view: LeaseView

    def refresh(self) -> None:
        """Have the view renewed if it is too old."""


class UnfinishedLeases:
    """Follows the leases through views of them.

    Args:
        leases: provides the views.

    """

    def __init__(self, leases: LeaseViews) -> None:
        """Start before the first view."""
        self._leases = leases
        # Since when each lease has not been idle, and the attempt it names.
        self._since: dict[str, tuple[str, float]] = {}

    def has_to_finish(self, service: str, now: float) -> bool:
        """Return whether a lease has to be finished.

        Args:
            service: service name.
            now: current time on the clock of the views.

        Returns:
            True if it was released with a candidate, or held for too long.

        """
        view = self._leases.view
        if not view.is_expired(now):
            self._observe(service, view, now)
        known = self._since.get(service)
        if known is None:
            return False
        # Nothing else may need the view.
        self._leases.refresh()
        if view.is_expired(now):
            return False
        has_holder = bool(view.listing.get(service).address)
        return not has_holder or now >= known[1] + HELD_TOO_LONG_S

    def is_held(self, service: str) -> bool:
        """Return whether a lease was not idle when it was seen last.

        Args:
            service: service name.

        """
        return service in self._since

    def _observe(self, service: str, view: LeaseView, now: float) -> None:
        lease = view.listing.get(service)
        if is_idle(lease) or not lease.belongs_to_era:
            self._since.pop(service, None)
            return
        attempt, _ = self._since.get(service, ('', now))
        if service not in self._since or attempt != lease.attempt:
            self._since[service] = lease.attempt, now
