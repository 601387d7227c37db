"""Detects that this process was suspended while it waited for a response."""

# How much later than its deadline a wait may end on a busy VM.
MAX_LATENESS_S = 0.3


def was_suspended(sent_at: float, timeout_s: float, now: float) -> bool:
    """Return whether this process was suspended while it waited.

    A missing response then says nothing about the endpoint: a frozen VM
    misses responses, or finds its deadlines passed before it can read them.

    Args:
        sent_at: when the request was sent, in seconds on a clock that includes
            suspended time.
        timeout_s: timeout of the request in seconds.
        now: time on the same clock.

    Returns:
        True if much more time than the timeout has passed.

    """
    return now - sent_at > timeout_s + MAX_LATENESS_S
