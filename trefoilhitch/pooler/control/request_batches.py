"""Decides which callers share a request.

While many statements are in doubt, each needs a status that was requested
after it asked. One request at a time is sent for each subject: callers that
arrive while it is under way wait for the next one, which serves them all.
"""

import math
from typing import Generic, TypeVar

CallerT = TypeVar('CallerT')


class RequestBatches(Generic[CallerT]):
    """Callers that wait for the next request of each subject."""

    def __init__(self) -> None:
        """Start without callers."""
        self._waiting: dict[str, list[CallerT]] = {}
        self._last_sent_at: dict[str, float] = {}

    def join(self, subject: str, caller: CallerT) -> bool:
        """Add a caller to the next request.

        Args:
            subject: what is requested.
            caller: the caller.

        Returns:
            True if nothing is sent for the subject at the moment, so that
            the sending has to be started.

        """
        is_first = subject not in self._waiting
        self._waiting.setdefault(subject, []).append(caller)
        return is_first

    def leave(self, subject: str, caller: CallerT) -> None:
        """Remove a caller that no longer waits.

        Args:
            subject: what is requested.
            caller: the caller.

        """
        callers = self._waiting.get(subject, [])
        if caller in callers:
            callers.remove(caller)

    def send_at(self, subject: str, interval_s: float) -> float:
        """Return when the next request may be sent.

        Args:
            subject: what is requested.
            interval_s: shortest time between two requests, in seconds.

        Returns:
            Monotonic time; it may be in the past.

        """
        return self._last_sent_at.get(subject, -math.inf) + interval_s

    def take(self, subject: str, now: float) -> list[CallerT]:
        """Take the callers that the request that is sent now serves.

        Args:
            subject: what is requested.
            now: monotonic time.

        Returns:
            The callers; without any, nothing is to be sent, and the sending
            ends.

        """
        callers = self._waiting[subject]
        if callers:
            self._waiting[subject] = []
            self._last_sent_at[subject] = now
        else:
            self._waiting.pop(subject)
        return callers

    def drop(self, subject: str) -> list[CallerT]:
        """End the sending for a subject.

        Args:
            subject: what is requested.

        Returns:
            The callers that still waited.

        """
        return self._waiting.pop(subject, [])
