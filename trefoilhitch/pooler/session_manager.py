"""Sessions of a node, as the servers of client protocols use them."""

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

# Clients give up on a session that does not open within two seconds.
OPEN_TIMEOUT_S = 1.5


class SessionManager:
    """Opens sessions and tells when they have to end.

    Args:
        deps: dependencies that all sessions share.
        max_sessions: largest number of concurrent sessions.
        can_serve: returns whether the node has read all it needs to serve.

    """

    def __init__(
        self,
        deps: SessionDependencies,
        *,
        max_sessions: int,
        can_serve: Callable[[], bool],
    ) -> None:
        """Start without a drain plan."""
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
        """Limits on sessions."""
        return self._deps.declaration.limits

    @property
    def closes_idle_sessions(self) -> bool:
        """Whether sessions are closed as soon as they are idle."""
        plan = self.drain_plan
        return plan is not None and current_time() >= plan.close_idle_at

    @property
    def end_transactions_at(self) -> float:
        """Monotonic time at which open transactions are rolled back."""
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
            The session, or the reason for refusal.

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
