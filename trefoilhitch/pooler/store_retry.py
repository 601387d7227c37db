"""Repeats a read of the store that was not answered."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from trio import current_time, sleep

from trefoilhitch.errors import StoreUnavailableError

# Time for one attempt. A slow store answers within it.
ATTEMPT_TIMEOUT_S = 0.45
# Least time between the starts of two attempts, also if one fails at once.
ATTEMPT_INTERVAL_S = 0.2

AnswerT = TypeVar('AnswerT')


def _ignore() -> None:
    """Do nothing about a failure."""


async def read_with_retries(
    read: Callable[[float], Awaitable[AnswerT]],
    deadline: float,
    on_failure: Callable[[], None] = _ignore,
) -> AnswerT:
    """Read from the store, again while no answer arrives.

    Args:
        read: reads once; the argument is the deadline of the attempt.
        deadline: monotonic time for all attempts.
        on_failure: called after each attempt without an answer.

    Returns:
        The answer.

    Raises:
        StoreUnavailableError: no attempt was answered.

    """
    while True:
        started_at = current_time()
        try:
            return await read(attempt_deadline(deadline))
        except StoreUnavailableError:
            on_failure()
            await pause(started_at, deadline)
            if current_time() >= deadline:
                raise


def attempt_deadline(deadline: float) -> float:
    """Return the deadline of an attempt that starts now.

    Args:
        deadline: monotonic time for all attempts.

    """
    return min(deadline, current_time() + ATTEMPT_TIMEOUT_S)


async def pause(started_at: float, deadline: float) -> None:
    """Wait until the next attempt may start.

    Args:
        started_at: monotonic time at which the last attempt started.
        deadline: monotonic time for all attempts.

    """
    pause_s = min(started_at + ATTEMPT_INTERVAL_S, deadline) - current_time()
    if pause_s > 0:
        await sleep(pause_s)
