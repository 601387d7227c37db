"""Reads the leases of all services while statements need their view."""

import math
from collections.abc import Awaitable, Callable

from trio import Event, current_time, move_on_after, sleep

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.errors import StoreError
from trefoilhitch.pooler.lease_view import REFRESH_AGE_S, LeaseView
from trefoilhitch.pooler.ports import LeaseStore

READ_TIMEOUT_S = 0.6
# How long a statement waits for a new view before it asks the endpoints.
MAX_WAIT_S = 0.15
# How long another node's request waits for a new view.
MAX_VIEW_WAIT_S = 0.25
# Pause after a view could not be read.
FAILURE_PAUSE_S = 1.0


class LeaseObserver:
    """Keeps a view of the leases that is renewed while it is in use.

    Args:
        read_view: reads a view; the argument is the monotonic deadline.
        clock: returns seconds on a clock that includes suspended time.
        log: records views that could not be read.

    """

    def __init__(
        self,
        *,
        read_view: Callable[[float], Awaitable[LeaseView]],
        clock: Callable[[], float],
        log: DecisionLog,
    ) -> None:
        """Start without a view."""
        self.view = LeaseView()
        self._read_view = read_view
        self._clock = clock
        self._log = log
        self._wanted = Event()
        # A view from before this moment is too old.
        self._needed_since = -math.inf
        self._changed = Event()
        self._is_failing = False

    async def run(self) -> None:
        """Read views on demand until cancelled."""
        while True:
            await self._wanted.wait()
            self._wanted = Event()
            if self.view.observed_at >= self._needed_since:
                continue
            await self._renew()

    def apply(self, view: LeaseView) -> None:
        """Apply a view if it is newer than the present one.

        Args:
            view: a view of this node or of a peer.

        """
        if view.observed_at > self.view.observed_at:
            self.view = view
            self._changed.set()
            self._changed = Event()

    def refresh(self, max_age_s: float = REFRESH_AGE_S) -> None:
        """Have the view renewed if it is too old, without waiting for it.

        Args:
            max_age_s: age from which it is renewed, in seconds.

        """
        if self._clock() >= self.view.observed_at + max_age_s:
            self._request_view(max_age_s)

    async def permits(self, service: str, endpoint: str) -> bool:
        """Return whether an endpoint may be used as the primary unasked.

        Waits for a moment if the view is too old.

        Args:
            service: service name.
            endpoint: id of the endpoint that is taken for the primary.

        Returns:
            False if it may have been replaced.

        """
        self.refresh()
        if self.view.is_expired(self._clock()) and not self._is_failing:
            with move_on_after(MAX_WAIT_S):
                await self._changed.wait()
        return self.view.permits(service, endpoint, self._clock())

    async def recent_view(self, max_age_s: float) -> LeaseView:
        """Return a view for another node.

        Args:
            max_age_s: age from which a new view is awaited, in seconds.

        Returns:
            The newest view; it may be older if no newer one arrived in time.

        """
        if self._clock() >= self.view.observed_at + max_age_s:
            self.refresh(max_age_s)
            with move_on_after(MAX_VIEW_WAIT_S):
                await self._changed.wait()
        return self.view

    async def _renew(self) -> None:
        try:
            view = await self._read_view(current_time() + READ_TIMEOUT_S)
        except StoreError as exc:
            await self._pause(exc)
        except Exception:
            self._is_failing = True
            raise
        else:
            self._is_failing = False
            self.apply(view)

    def _request_view(self, max_age_s: float) -> None:
        self._needed_since = self._clock() - max_age_s
        self._wanted.set()

    async def _pause(self, exc: StoreError) -> None:
        if not self._is_failing:
            self._log.event('leases_unread', detail=str(exc))
        self._is_failing = True
        await sleep(FAILURE_PAUSE_S)


async def read_lease_view(
    store: LeaseStore, clock: Callable[[], float], deadline: float
) -> LeaseView:
    """Read the leases of all services from the store.

    Args:
        store: stores the leases.
        clock: returns seconds on a clock that includes suspended time.
        deadline: monotonic time.

    Returns:
        The view, observed when the request was sent.

    Raises:
        StoreUnavailableError: the store did not answer.

    """
    observed_at = clock()
    return LeaseView(observed_at, await store.list_leases(deadline))
