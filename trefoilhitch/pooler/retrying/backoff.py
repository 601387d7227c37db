"""Pauses between attempts at one statement.

Load pattern: an endpoint refuses many statements at once. With a fixed pause
they all return at once, and as often as before.
"""

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
    longest_s: float = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**earlier_pauses)
    return longest_s * (1 + drawn) / 2
