"""Decides whether a node may have missed what others were told.

The load pattern: a VM is frozen while a data centre is evacuated. When it goes
on, it still holds statements for endpoints there, and reads them first.
"""

import math

# Gap between two ticks from which the process counts as suspended; a busy VM
# is late by some tenths of a second.
MAX_GAP_S = 1.0
# How long a node holds statements back until another node has answered it.
MAX_HOLD_S = 0.5
# How long after the gap it may learn of evacuations that began during it.
LATE_REPORT_S = 2.0


class SuspensionDetector:
    """Detects from the gaps between ticks that the process was suspended."""

    def __init__(self) -> None:
        """Start before the first tick."""
        self._ticked_at = math.inf
        self._resumed_at = -math.inf
        self._has_peer_answer = True

    def tick(self, now: float) -> None:
        """Record that the process runs.

        Args:
            now: time in seconds on a clock that includes suspended time.

        """
        if self._is_late(now):
            self._resumed_at = now
            self._has_peer_answer = False
        self._ticked_at = now

    def confirm(self, sent_at: float) -> None:
        """Record that another node answered.

        Args:
            sent_at: when its answer was requested, on the same clock.

        """
        if sent_at >= self._resumed_at and not self._is_late(sent_at):
            self._has_peer_answer = True

    def must_delay_statements(self, now: float) -> bool:
        """Return whether statements have to wait for news.

        Args:
            now: time in seconds on the same clock.

        """
        if self._is_late(now):
            return True
        return not self._has_peer_answer and now < self._resumed_at + MAX_HOLD_S

    def is_catching_up(self, now: float) -> bool:
        """Return whether news may be as old as the gap was long.

        Args:
            now: time in seconds on the same clock.

        """
        return self._is_late(now) or now < self._resumed_at + LATE_REPORT_S

    def _is_late(self, now: float) -> bool:
        return now - self._ticked_at > MAX_GAP_S
