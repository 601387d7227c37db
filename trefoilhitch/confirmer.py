"""Confirmation of log positions by a majority, in batched rounds."""

from dataclasses import dataclass, field
from random import Random

from trio import CancelScope, Event, current_time, sleep

from trefoilhitch._generated.endpoint import ConfirmRequest
from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.clock import deadline_after_ms
from trefoilhitch.endpoint_client import EndpointControl
from trefoilhitch.errors import RefusalError, StaleTermError, UnconfirmedError
from trefoilhitch.position import confirmed_position
from trefoilhitch.retry import backoff_s
from trefoilhitch.round_starter import TaskStarter

ROUND_WAIT_MS = 1000
ROUND_TIMEOUT_MS = 1500
MAX_ROUNDS = 4


@dataclass(frozen=True, slots=True, eq=False)
class _Waiter:
    needed: LogPosition
    deadline: float
    done: Event = field(default_factory=Event)


class Confirmer:
    """Determines whether a majority holds positions in a primary's term.

    A fresh confirmer counts only rounds that begin after the request, as in
    Raft's ReadIndex. It thereby also proves that the primary had not been
    replaced when the request arrived.

    Args:
        control: control client of the primary.
        fresh: whether only rounds that begin after the request count.
        nursery: runs the rounds.
        random: jitters the delays between attempts.

    """

    def __init__(
        self,
        *,
        control: EndpointControl,
        fresh: bool,
        nursery: TaskStarter,
        random: Random,
    ) -> None:
        """Start with no waiting requests."""
        self._control = control
        self._fresh = fresh
        self._nursery = nursery
        self._random = random
        self._waiting: list[_Waiter] = []
        self._rounds = 0
        self._failures = 0

    async def confirm(self, needed: LogPosition, deadline: float) -> None:
        """Wait until a majority holds a position in its term.

        Args:
            needed: position to confirm, in the primary's term.
            deadline: monotonic time.

        Raises:
            UnconfirmedError: no majority confirmed it before the deadline.

        """
        waiter = _Waiter(needed, deadline)
        self._waiting.append(waiter)
        self._start_round()
        with CancelScope(deadline=deadline):
            await waiter.done.wait()
        if not waiter.done.is_set():
            raise UnconfirmedError('no majority confirmed before the deadline')

    def _start_round(self) -> None:
        if self._waiting and self._rounds < MAX_ROUNDS:
            self._rounds += 1
            batch = self._waiting
            self._waiting = []
            self._nursery.start_soon(self._run_round, batch)

    async def _run_round(self, batch: list[_Waiter]) -> None:
        try:
            confirmed = await self._request_confirmation(batch)
        finally:
            self._rounds -= 1
        now = current_time()
        for waiter in batch:
            if _is_confirmed(waiter.needed, confirmed):
                waiter.done.set()
            elif now < waiter.deadline:
                self._waiting.append(waiter)
        self._start_round()

    async def _request_confirmation(
        self, batch: list[_Waiter]
    ) -> LogPosition | None:
        term = max(waiter.needed.term for waiter in batch)
        position = max(waiter.needed.position for waiter in batch)
        req = ConfirmRequest(
            term=term,
            position=position,
            wait_ms=ROUND_WAIT_MS,
            fresh=self._fresh,
        )
        try:
            reply = await self._control.confirm(
                req, deadline_after_ms(ROUND_TIMEOUT_MS)
            )
        except RefusalError as exc:
            await self._back_off(exc)
            return None
        self._failures = 0
        return confirmed_position(reply)

    async def _back_off(self, exc: RefusalError) -> None:
        self._failures += 1
        if isinstance(exc, StaleTermError):
            self._failures += 1
        await sleep(
            backoff_s(min(self._failures, MAX_ROUNDS), self._random.random())
        )


def _is_confirmed(needed: LogPosition, confirmed: LogPosition | None) -> bool:
    if confirmed is None or confirmed.term != needed.term:
        return False
    return confirmed.position >= needed.position
