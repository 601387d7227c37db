"""Limits the connections that are being opened to each endpoint."""

import math
from typing import Protocol, TypeAlias

from trefoilhitch._generated.options import PoolerOptions
from trefoilhitch.pooler.opening.opening_ramp import (
    REFUSED_PAUSE_S,
    Opening,
    OpeningRamp,
)
from trefoilhitch.pooler.ports import (
    EndpointConnectionError,
    EndpointOverloadedError,
    EndpointRefusedError,
    EndpointResetError,
)

OpeningFailure: TypeAlias = EndpointRefusedError | EndpointConnectionError


class Openings(Protocol):
    """Decides when connections to endpoints are opened, and how many."""

    # Whether further connections may be opened after one was.
    grows: bool

    def limit(self, endpoint: str, share: int, now: float) -> int:
        """Return how many connections may be open or being opened.

        Args:
            endpoint: id of the endpoint.
            share: connections that this node may hold.
            now: monotonic time.

        Returns:
            The number, at most the share.

        """

    def resumes_at(self, endpoint: str) -> float:
        """Return the monotonic time before which none should be opened."""

    def trial_wait_s(self, endpoint: str, now: float) -> float:
        """Return how long a waiter waits at least for a connection.

        Args:
            endpoint: id of the endpoint.
            now: monotonic time.

        Returns:
            Time in seconds, 0 if some are open.

        """

    def begin(self, endpoint: str, now: float) -> Opening:
        """Record that a connection is being opened; it has to be ended."""

    def end(self, endpoint: str, opening: Opening) -> None:
        """Record that an opening has ended, whatever its outcome."""

    def record_opened(
        self,
        endpoint: str,
        opening: Opening,
        *,
        open_count: int,
        share: int,
        now: float,
    ) -> None:
        """Record that the endpoint accepted a connection; call before `end`.

        Args:
            endpoint: id of the endpoint.
            opening: the opening that was accepted.
            open_count: connections that are open or being opened.
            share: connections that this node may hold.
            now: monotonic time.

        """

    def record_failed(
        self,
        endpoint: str,
        opening: Opening,
        exc: OpeningFailure,
        *,
        open_count: int,
        now: float,
    ) -> None:
        """Record that no connection was opened; call before `end`.

        Args:
            endpoint: id of the endpoint.
            opening: the opening that failed.
            exc: how it failed.
            open_count: connections that are open or being opened.
            now: monotonic time.

        """


class UnlimitedOpenings:
    """Opens connections up to the share, with a fixed pause after a refusal."""

    grows = False

    def __init__(self) -> None:
        """Start without refusals."""
        self._resumes_at: dict[str, float] = {}

    def limit(self, endpoint: str, share: int, now: float) -> int:
        """Return the share; see `Openings`."""
        return share

    def resumes_at(self, endpoint: str) -> float:
        """Return the end of the pause; see `Openings`."""
        return self._resumes_at.get(endpoint, -math.inf)

    def trial_wait_s(self, endpoint: str, now: float) -> float:
        """Return 0; see `Openings`."""
        return 0

    def begin(self, endpoint: str, now: float) -> Opening:
        """Return an opening; see `Openings`."""
        return Opening(now, math.inf)

    def end(self, endpoint: str, opening: Opening) -> None:
        """Do nothing; see `Openings`."""

    def record_opened(
        self,
        endpoint: str,
        opening: Opening,
        *,
        open_count: int,
        share: int,
        now: float,
    ) -> None:
        """Do nothing; see `Openings`."""

    def record_failed(
        self,
        endpoint: str,
        opening: Opening,
        exc: OpeningFailure,
        *,
        open_count: int,
        now: float,
    ) -> None:
        """Begin a pause after a refusal; see `Openings`."""
        if isinstance(exc, EndpointRefusedError):
            self._resumes_at[endpoint] = now + REFUSED_PAUSE_S


class GradualOpenings:
    """Opens connections gradually where an endpoint refused one.

    Args:
        started_at: monotonic time at which this process started.

    """

    grows = True

    def __init__(self, started_at: float) -> None:
        """Start without endpoints."""
        self._started_at = started_at
        self._ramps: dict[str, OpeningRamp] = {}

    def limit(self, endpoint: str, share: int, now: float) -> int:
        """Return the limit of the endpoint's ramp; see `Openings`."""
        return self._ramp(endpoint, now).limit(share, now)

    def resumes_at(self, endpoint: str) -> float:
        """Return the end of the pause; see `Openings`."""
        ramp = self._ramps.get(endpoint)
        return ramp.resumes_at if ramp else -math.inf

    def trial_wait_s(self, endpoint: str, now: float) -> float:
        """Return the rest of the pause if none is open; see `Openings`."""
        ramp = self._ramps.get(endpoint)
        if ramp is None or ramp.has_accepted:
            return 0
        return max(0, ramp.resumes_at - now)

    def begin(self, endpoint: str, now: float) -> Opening:
        """Record an opening; see `Openings`."""
        return self._ramp(endpoint, now).begin(now)

    def end(self, endpoint: str, opening: Opening) -> None:
        """Record the end of an opening; see `Openings`."""
        self._ramps[endpoint].end(opening)

    def record_opened(
        self,
        endpoint: str,
        opening: Opening,
        *,
        open_count: int,
        share: int,
        now: float,
    ) -> None:
        """Let more be opened; see `Openings`."""
        self._ramps[endpoint].record_opened(opening, open_count, share, now)

    def record_failed(
        self,
        endpoint: str,
        opening: Opening,
        exc: OpeningFailure,
        *,
        open_count: int,
        now: float,
    ) -> None:
        """Let fewer be opened after a refusal; see `Openings`."""
        ramp = self._ramps[endpoint]
        if isinstance(exc, (EndpointRefusedError, EndpointResetError)):
            ramp.record_refused(opening, open_count, now)
        elif not isinstance(exc, EndpointOverloadedError):
            ramp.record_unanswered()

    def _ramp(self, endpoint: str, now: float) -> OpeningRamp:
        ramp = self._ramps.get(endpoint)
        if ramp is None:
            ramp = OpeningRamp.from_start(self._started_at, now)
            self._ramps[endpoint] = ramp
        return ramp


def make_openings(options: PoolerOptions, started_at: float) -> Openings:
    """Return the openings that the options ask for.

    Args:
        options: options of the node.
        started_at: monotonic time at which this process started.

    Returns:
        The openings of all endpoints.

    """
    if options.connections.gradual_opening:
        return GradualOpenings(started_at)
    return UnlimitedOpenings()
