"""The commits that the endpoint promoted by a failover has to hold."""

from collections.abc import Callable, Collection
from typing import Self

from trio import Event

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.pooler.acknowledging.commit_permits import CommitPermits
from trefoilhitch.pooler.acknowledging.failover_announcement import (
    FailoverAnnouncement,
)
from trefoilhitch.pooler.endpoint_control import (
    EndpointControl,
    request_all,
)
from trefoilhitch.pooler.failover_plan import FailoverDependencies, FailoverPlan
from trefoilhitch.pooler.observations import later_position

# Time from the first commit that an endpoint receives until it is listed, as
# long as the store answers.
LISTING_TIME_S = 0.5


class FailoverCommits:
    """Collects what nodes have acknowledged before and during a failover.

    Args:
        announcement: tells the nodes of the failover.
        control: requests the statuses of endpoints.
        members: returns the ids of all endpoints of the service.

    """

    def __init__(
        self,
        announcement: FailoverAnnouncement,
        control: EndpointControl,
        members: Callable[[], Collection[str]],
    ) -> None:
        """Start before the nodes are told."""
        self.announcement = announcement
        self.granted = CommitPermits()
        self._control = control
        self._members = members
        self._update: Event | None = None

    @classmethod
    def from_plan(
        cls,
        deps: FailoverDependencies,
        plan: FailoverPlan,
        members: Callable[[], Collection[str]],
    ) -> Self:
        """Prepare for a failover.

        Args:
            deps: dependencies of the failover.
            plan: what is replaced.
            members: returns the ids of all endpoints of the service.

        """
        announcement = deps.announcer.begin(plan.service, plan.attempt)
        return cls(announcement, deps.control, members)

    @property
    def floor(self) -> LogPosition | None:
        """Position that the promoted endpoint has to hold, None for any."""
        return later_position(self.announcement.floor, self.granted.floor)

    def delay_promotion(self, promote_at: float) -> float:
        """Return when a promotion may be commanded.

        A node that did not answer may acknowledge commits until `promote_at`,
        which only an endpoint has received that is not listed yet.

        Args:
            promote_at: time from which no view of the leases permits
                acknowledgements.

        """
        if self.announcement.lacks_answers:
            return promote_at + LISTING_TIME_S
        return promote_at

    async def permits(self, position: LogPosition) -> bool:
        """Return whether the acknowledgement of a commit may be passed on.

        Args:
            position: end of the primary's log when it acknowledged the commit.

        """
        if self.granted.grant(position):
            return True
        await self._update_positions()
        # A promotion may have been commanded meanwhile.
        return self.granted.grant(position)

    async def _update_positions(self) -> None:
        """Request the positions of the replicas, once for all that wait."""
        if self._update is not None:
            await self._update.wait()
            return
        self._update = Event()
        try:
            await self._request_positions()
        finally:
            self._update.set()
            self._update = None

    async def _request_positions(self) -> None:
        statuses = await request_all(self._members(), self._control.status)
        self.granted.record(statuses)
