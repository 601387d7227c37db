"""Checks that the store answers the node that would run a failover."""

import math
from collections.abc import Callable
from dataclasses import dataclass

from trio import current_time

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.errors import StoreUnavailableError
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.monitor_order import (
    STORE_CHECK_INTERVAL_S,
    is_store_check_due,
)
from trefoilhitch.pooler.ports import LeaseStore
from trefoilhitch.pooler.store_era import StoreEra
from trefoilhitch.pooler.store_retry import ATTEMPT_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class StoreCheckDependencies:
    """Dependencies of the check.

    Args:
        leases: store of the leases.
        store_era: knows when the store last answered this node.
        is_store_lost: returns whether this node has already reported that the
            store does not answer it.
        report_store_lost: called if the store did not answer, so that another
            node takes over.
        log: records checks without an answer.
        metrics: counts checks by their result.

    """

    leases: LeaseStore
    store_era: StoreEra
    is_store_lost: Callable[[], bool]
    report_store_lost: Callable[[], None]
    log: DecisionLog
    metrics: Metrics


class StoreCheck:
    """Checks that the store answers while this node is a first monitor.

    Args:
        deps: dependencies of the check.

    """

    def __init__(self, deps: StoreCheckDependencies) -> None:
        """Start before the first check."""
        self._deps = deps
        self._checked_at = -math.inf

    async def check_if_due(self, service: str, rank: int) -> None:
        """Check the store unless it has answered this node lately.

        Args:
            service: service whose lease is read.
            rank: rank of this node among the monitors of the service.

        """
        if not self._is_due(rank):
            return
        self._checked_at = current_time()
        try:
            await self._deps.leases.check(
                service, current_time() + ATTEMPT_TIMEOUT_S
            )
        except StoreUnavailableError as exc:
            self._record_failure(service, exc)
        else:
            self._deps.metrics.count('store_checks', 'answered')

    def _is_due(self, rank: int) -> bool:
        if self._deps.is_store_lost():
            return False
        return is_store_check_due(
            rank,
            is_answered=self._deps.store_era.is_confirmed(
                STORE_CHECK_INTERVAL_S
            ),
            checked_at=self._checked_at,
            now=current_time(),
        )

    def _record_failure(self, service: str, exc: StoreUnavailableError) -> None:
        self._deps.metrics.count('store_checks', 'failed')
        self._deps.log.event(
            'store_check_failed', service=service, detail=str(exc)
        )
        self._deps.report_store_lost()
