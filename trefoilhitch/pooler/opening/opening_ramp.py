"""Decides how many connections to one endpoint are being opened at a time.

Load pattern: all nodes restart at once. The endpoint still counts the
connections of the earlier processes, and refuses most of those that are opened
now. Each refusal takes up the endpoint as much as a statement does.
"""

import math
from dataclasses import dataclass, field

from trefoilhitch.retry import exponential_s

# An endpoint drops a connection this long after its peer has gone silent.
EARLIER_CONNECTIONS_S = 3.0
# Pause after the first refusal, about two messages between distant regions.
FIRST_PAUSE_S = 0.025
# Longest pause after a refusal: the endpoint still holds the connections of
# earlier processes, and each further refusal would occupy one of its slots.
REFUSED_PAUSE_S = 0.2
# How long an opening without an answer keeps others from being tried. A packet
# that was lost is repeated only after a second.
TRIAL_TIMEOUT_S = 0.25
_GROWTH = 2


@dataclass(slots=True, eq=False)
class Opening:
    """A connection that is being opened.

    Args:
        begun_at: monotonic time at which it was begun.
        trial_ends_at: monotonic time from which others may be tried.

    """

    begun_at: float
    trial_ends_at: float


@dataclass(slots=True)
class OpeningRamp:
    """Limits the connections that are being opened to one endpoint.

    A young process begins with one, an older one without a limit. A refusal
    reduces them to one after a pause, and each success doubles them. An
    endpoint that refused none and does not answer is not limited.

    Args:
        started_at: monotonic time at which this process started.
        is_limited: whether the openings are limited.

    """

    started_at: float
    is_limited: bool
    _openings: set[Opening] = field(default_factory=set)
    _trials: int = 1
    # Most connections that the endpoint has accepted at once.
    _accepted: int = 0
    _failures: int = 0
    _refused_at: float = -math.inf
    _resumes_at: float = -math.inf

    @classmethod
    def from_start(cls, started_at: float, now: float) -> 'OpeningRamp':
        """Create the ramp of an endpoint that this process uses first now.

        Args:
            started_at: monotonic time at which this process started.
            now: monotonic time.

        Returns:
            The ramp; it is limited while earlier processes may hold
            connections.

        """
        return cls(started_at, now < started_at + EARLIER_CONNECTIONS_S)

    @property
    def resumes_at(self) -> float:
        """Monotonic time before which no connection should be opened."""
        return self._resumes_at

    @property
    def has_accepted(self) -> bool:
        """Whether connections are open that waiters may get in turn."""
        return self._accepted > 0

    def limit(self, share: int, now: float) -> int:
        """Return how many connections may be open or being opened.

        Args:
            share: connections that this node may hold.
            now: monotonic time.

        Returns:
            The number, at least 1 unless the share is 0.

        """
        if not self.is_limited:
            return share
        if self._is_held(now):
            return min(share, self._accepted)
        overdue = sum(each.trial_ends_at <= now for each in self._openings)
        return min(share, self._accepted + self._trials + overdue)

    def begin(self, now: float) -> Opening:
        """Record that a connection is being opened.

        Args:
            now: monotonic time.

        Returns:
            The opening; it has to be ended.

        """
        sent_at = max(now, self._resumes_at)
        opening = Opening(now, sent_at + TRIAL_TIMEOUT_S)
        self._openings.add(opening)
        return opening

    def end(self, opening: Opening) -> None:
        """Record that an opening has ended, whatever its outcome.

        Args:
            opening: the opening.

        """
        self._openings.discard(opening)

    def record_opened(
        self, opening: Opening, open_count: int, share: int, now: float
    ) -> None:
        """Record that the endpoint accepted a connection; call before `end`.

        Args:
            opening: the opening that was accepted.
            open_count: connections that are open or being opened.
            share: connections that this node may hold.
            now: monotonic time.

        """
        established = open_count - len(self._openings) + 1
        self._accepted = max(self._accepted, established)
        if opening.begun_at < self._refused_at:
            return
        self._failures = 0
        self._resumes_at = -math.inf
        if self._is_held(now):
            return
        self._trials = min(share, self._trials * _GROWTH)
        if self._accepted + self._trials >= share:
            self.is_limited = False

    def record_refused(
        self, opening: Opening, open_count: int, now: float
    ) -> None:
        """Record that the endpoint refused a connection; call before `end`.

        Args:
            opening: the opening that was refused.
            open_count: connections that are open or being opened.
            now: monotonic time.

        """
        if opening.begun_at >= self._refused_at:
            # Of those that were begun together only the first one counts.
            pause_s = exponential_s(
                self._failures, FIRST_PAUSE_S, REFUSED_PAUSE_S
            )
            self._failures += 1
            self._refused_at = now
            self._resumes_at = now + pause_s
        self._accepted = max(0, open_count - len(self._openings))
        self._trials = 1
        self.is_limited = True

    def record_unanswered(self) -> None:
        """Record that the endpoint did not answer an opening.

        Where none was refused, that does not limit others: as many failures
        as before tell soon that the endpoint is out of reach.
        """
        if self._refused_at == -math.inf:
            self.is_limited = False

    def _is_held(self, now: float) -> bool:
        """Return whether others may still hold the rest of the connections.

        A process that holds some already leaves the rest to those that have
        none.
        """
        held_until = self.started_at + EARLIER_CONNECTIONS_S
        is_refused_early = self.started_at <= self._refused_at < held_until
        return self.has_accepted and is_refused_early and now < held_until
