"""What a node offers to whoever carries clients' messages to it."""

import math
from collections.abc import Callable

from trio import current_time, move_on_after

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.pooler.catalogue import SessionLimits
from trefoilhitch.pooler.client_session import (
    ClientSession,
    SessionDependencies,
)
from trefoilhitch.pooler.lifecycle import DrainPlan
from trefoilhitch.pooler.response import Refusal
from trefoilhitch.pooler.statement import SessionStart

# Clients give up when a session does not open within two seconds.
OPEN_TIMEOUT_S = 1.5


class SessionManager:
    """Opens sessions and says how they are to end.

    Args:
        deps: what sessions share.
        max_sessions: most sessions at once.
        can_serve: returns whether the node has what it needs to serve.

    """

    def __init__(
        self,
        deps: SessionDependencies,
        *,
        max_sessions: int,
        can_serve: Callable[[], bool],
    ) -> None:
        """Start without a plan to end."""
        self.max_sessions = max_sessions
        self.drain_plan: DrainPlan | None = None
        self._deps = deps
        self._can_serve = can_serve

    @property
    def log(self) -> DecisionLog:
        """The node's log."""
        return self._deps.log

    @property
    def limits(self) -> SessionLimits:
        """Bounds on sessions."""
        catalogue = self._deps.declaration.catalogue
        return catalogue.limits if catalogue else SessionLimits()

    @property
    def closes_idle_sessions(self) -> bool:
        """Whether sessions end as soon as they have nothing to answer."""
        plan = self.drain_plan
        return plan is not None and current_time() >= plan.close_idle_at

    @property
    def end_transactions_at(self) -> float:
        """When open transactions are rolled back, on the monotonic clock."""
        return (
            math.inf
            if self.drain_plan is None
            else self.drain_plan.end_transactions_at
        )

    async def open(self, start: SessionStart) -> ClientSession | Refusal:
        """Open a session.

        Args:
            start: the client's first message.

        Returns:
            The session, or why it is refused.

        """
        with move_on_after(OPEN_TIMEOUT_S):
            while not self._can_serve():
                await self._deps.cluster.wait_for_change()
        opened = ClientSession.open(self._deps, start)
        if isinstance(opened, Refusal):
            self._deps.metrics.count('sessions_refused', opened.value)
            self._deps.log.event(
                'session_refused',
                database=start.database,
                reason=opened.value,
                revision=self._deps.declaration.revision,
            )
        else:
            self._deps.metrics.count('sessions_opened')
        return opened
