"""Deadlines from spans of time, in the shell's monotonic clock."""

from trio import current_time

_MS_PER_S = 1000


def deadline_after_ms(duration_ms: int) -> float:
    """Return the deadline that lies some milliseconds ahead.

    Args:
        duration_ms: milliseconds from now.

    Returns:
        Monotonic time in seconds.

    """
    return current_time() + duration_ms / _MS_PER_S


def remaining_ms(deadline: float) -> int:
    """Return how much time is left before a deadline.

    Args:
        deadline: monotonic time in seconds.

    Returns:
        Whole milliseconds, none if it has passed.

    """
    return max(0, int((deadline - current_time()) * _MS_PER_S))
