"""Whether this process stood still while it waited for an answer."""

# How much later than its deadline a wait may end on a busy VM.
MAX_LATENESS_S = 0.3


def was_suspended(sent_at: float, timeout_s: float, now: float) -> bool:
    """Tell whether a missing answer says nothing of the one who was asked.

    A frozen VM misses answers, or finds its deadlines passed before it could
    read them.

    Args:
        sent_at: when the question was sent, on a clock that counts suspended
            time.
        timeout_s: how long the answer was to be waited for.
        now: time on the same clock.

    Returns:
        True if much more time has passed.

    """
    return now - sent_at > timeout_s + MAX_LATENESS_S
