"""Converts between durations and deadlines on the monotonic clock."""

from trio import current_time

_MS_PER_S = 1000


def deadline_after_ms(duration_ms: int) -> float:
    """Return the deadline after a duration.

    Args:
        duration_ms: milliseconds from now.

    Returns:
        Monotonic time in seconds.

    """
    return current_time() + duration_ms / _MS_PER_S


def remaining_ms(deadline: float) -> int:
    """Return the time left until a deadline.

    Args:
        deadline: monotonic time in seconds.

    Returns:
        Whole milliseconds, 0 if the deadline has passed.

    """
    return max(0, int((deadline - current_time()) * _MS_PER_S))
