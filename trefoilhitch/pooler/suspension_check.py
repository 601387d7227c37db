"""Tells whether a missing response is due to a suspension of this process."""

from collections.abc import Callable

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.pooler.suspension import was_suspended


class SuspensionCheck:
    """Checks requests without a response for a suspension of this process.

    Args:
        clock: returns seconds on a clock that includes suspended time.
        log: records requests that are disregarded.

    """

    def __init__(self, clock: Callable[[], float], log: DecisionLog) -> None:
        """Store the dependencies."""
        self._clock = clock
        self._log = log

    def was_suspended(
        self, service: str, sent_at: float, timeout_s: float
    ) -> bool:
        """Return whether this process was suspended during a request.

        Args:
            service: service name, for the log.
            sent_at: when the request was sent.
            timeout_s: timeout of the request in seconds; 0 skips the check.

        """
        now = self._clock()
        suspended = bool(timeout_s) and was_suspended(sent_at, timeout_s, now)
        if suspended:
            self._log.event(
                'suspicion_dropped',
                service=service,
                detail='this process was suspended',
                waited_s=round(now - sent_at, 3),
            )
        return suspended
