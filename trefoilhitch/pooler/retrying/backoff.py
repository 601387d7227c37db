"""Pauses between attempts at one statement.

Load pattern: an endpoint refuses many statements at once. With a fixed pause
they all return at once, and as often as before.
"""

from trefoilhitch.retry import jittered_s

# The first pause, and the longest one.
FIRST_PAUSE_S = 0.03
MAX_PAUSE_S = 0.25


def pause_s(earlier_pauses: int, drawn: float) -> float:
    """Return how long a statement pauses before its next attempt.

    Args:
        earlier_pauses: number of its pauses so far.
        drawn: random number from 0 to 1.

    Returns:
        Time in seconds: at random between a half and the whole of a time that
        doubles with each pause.

    """
    return jittered_s(earlier_pauses, FIRST_PAUSE_S, MAX_PAUSE_S, drawn)
