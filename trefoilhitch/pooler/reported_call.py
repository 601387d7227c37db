"""Runs calls that nobody waits for; an unexpected failure is logged."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from trefoilhitch.decision_log import DecisionLog

ResultT = TypeVar('ResultT')


async def run_reported(
    log: DecisionLog, call: Callable[[], Awaitable[ResultT]]
) -> ResultT | None:
    """Run a call and log what it raises.

    Args:
        log: records the exception.
        call: the call.

    Returns:
        Its result, None if it failed.

    """
    try:
        return await call()
    except Exception as exc:
        log.report(exc)
        return None
