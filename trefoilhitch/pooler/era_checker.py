"""Asks the store for its era when another node names a later one."""

from collections.abc import Awaitable, Callable
from random import Random

from trio import current_time, sleep

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.errors import StoreError
from trefoilhitch.pooler.store_era import StoreEra
from trefoilhitch.retry import jittered_s

CHECK_TIMEOUT_S = 0.5
# Pauses after requests that confirmed no later era. A node that goes on naming
# a wrong one causes few requests to the store.
FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 8.0


class EraChecker:
    """Asks the store for its era while this node doubts the one it knows.

    Args:
        era: era of the store; each response of the store updates it.
        ask: sends a request to the store until a deadline.
        random: adds jitter to the pauses.
        log: records failed requests.

    """

    def __init__(
        self,
        *,
        era: StoreEra,
        ask: Callable[[float], Awaitable[object]],
        random: Random,
        log: DecisionLog,
    ) -> None:
        """Store the dependencies."""
        self._era = era
        self._ask = ask
        self._random = random
        self._log = log

    async def run(self) -> None:
        """Ask whenever another node names a later era, until cancelled."""
        in_vain = 0
        while True:
            await self._era.wait_for_doubt()
            former = self._era.current
            await self._check()
            if self._era.current > former:
                in_vain = 0
                continue
            await sleep(
                jittered_s(
                    in_vain, FIRST_PAUSE_S, MAX_PAUSE_S, self._random.random()
                )
            )
            in_vain += 1

    async def _check(self) -> None:
        try:
            await self._ask(current_time() + CHECK_TIMEOUT_S)
        except StoreError as exc:
            self._log.event('store_era_unread', detail=str(exc))
