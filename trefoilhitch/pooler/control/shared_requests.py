"""Sends one request for several callers, one at a time for each subject."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Generic, TypeVar

from trio import (
    Event,
    Nursery,
    current_time,
    open_nursery,
    sleep_forever,
    sleep_until,
)

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.control.request_batches import RequestBatches
from trefoilhitch.pooler.reported_call import run_reported

ResultT = TypeVar('ResultT')


@dataclass(eq=False, slots=True)
class _Caller(Generic[ResultT]):
    """A caller that waits for a result.

    Args:
        is_own: whether a statement of this node needs the result.
        reply: the result, None if the request failed.
        done: set when the request has ended.

    """

    is_own: bool
    reply: ResultT | None = None
    done: Event = field(default_factory=Event)


class SharedRequests(Generic[ResultT]):
    """Shares requests among callers.

    A result serves only callers that asked before its request was sent.
    Requests run in tasks of their own, so that a caller that is cancelled
    neither ends a request of others nor wastes its connection.

    Args:
        fetch: sends the request for a subject; returns None if it failed.
        interval_s: returns the shortest time between two requests for a
            subject, in seconds.
        log: records unexpected failures.
        metrics: counts the requests.

    """

    def __init__(
        self,
        *,
        fetch: Callable[[str], Awaitable[ResultT | None]],
        interval_s: Callable[[], float],
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        """Start without callers."""
        self._fetch = fetch
        self._interval_s = interval_s
        self._log = log
        self._metrics = metrics
        self._batches = RequestBatches[_Caller[ResultT]]()
        self._nursery: Nursery | None = None

    async def run(self) -> None:
        """Run the requests until cancelled."""
        try:
            async with open_nursery() as nursery:
                self._nursery = nursery
                await sleep_forever()
        finally:
            self._nursery = None

    async def request(self, subject: str, *, is_own: bool) -> ResultT | None:
        """Return a result that was requested after this call.

        Args:
            subject: what is requested.
            is_own: whether a statement of this node needs it.

        Returns:
            The result, None if the request failed.

        """
        if self._nursery is None:
            return None
        caller = _Caller[ResultT](is_own)
        if self._batches.join(subject, caller):
            self._nursery.start_soon(self._send_batches, subject)
        try:
            await caller.done.wait()
        finally:
            self._batches.leave(subject, caller)
        return caller.reply

    async def _send_batches(self, subject: str) -> None:
        """Send requests for a subject while callers wait."""
        try:
            has_callers = True
            while has_callers:
                has_callers = await self._send_batch(subject)
        finally:
            _deliver(self._batches.drop(subject), None)

    async def _send_batch(self, subject: str) -> bool:
        await sleep_until(self._batches.send_at(subject, self._interval_s()))
        callers = self._batches.take(subject, current_time())
        if not callers:
            return False
        self._count(callers)
        reply = None
        try:
            reply = await run_reported(self._log, partial(self._fetch, subject))
        finally:
            _deliver(callers, reply)
        return True

    def _count(self, callers: list[_Caller[ResultT]]) -> None:
        is_own = any(caller.is_own for caller in callers)
        self._metrics.count('status_requests', 'own' if is_own else 'relayed')
        if len(callers) > 1:
            self._metrics.add('status_requests', len(callers) - 1, 'shared')


def _deliver(callers: list[_Caller[ResultT]], reply: ResultT | None) -> None:
    for caller in callers:
        caller.reply = reply
        caller.done.set()


def no_interval() -> float:
    """Let each request follow the one before it."""
    return 0
