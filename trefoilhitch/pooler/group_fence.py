"""Fences the endpoints of a service, so that no commit is acknowledged."""

from collections.abc import Callable, Collection, Mapping

from trio import open_nursery, sleep

from trefoilhitch.pooler.endpoint_control import EndpointControl, request_all
from trefoilhitch.pooler.fence_state import FenceState
from trefoilhitch.pooler.fence_watch import FenceWatch
from trefoilhitch.pooler.ports import EndpointStatus

# How long commits in flight may take to reach replicas after a primary that
# still answers was demoted.
IN_FLIGHT_WAIT_S = 0.1
# How often fences are checked while a promotion may take effect.
CHECK_INTERVAL_S = 0.1


class GroupFence:
    """Demotes primaries and stops replicas from receiving commits.

    A demoted primary becomes a replica, which would receive the commits of
    another primary. So it is fenced like the replicas. A promotion lifts the
    fences up to its own term; one that was set after a failed attempt can be
    later and has to be lifted.

    Args:
        control: sends the statements.
        state: keeps what the endpoints report.
        watch: logs lifted fences.

    """

    def __init__(
        self, control: EndpointControl, state: FenceState, watch: FenceWatch
    ) -> None:
        """Start without fenced endpoints."""
        self.state = state
        self.watch = watch
        self._control = control
        self._sent_to: set[str] = set()
        self._members: set[str] = set()

    def covers(self, endpoints: Collection[str]) -> bool:
        """Return whether no endpoint has joined since the fence was set.

        Args:
            endpoints: ids of all endpoints of the service.

        """
        return not self.joined(endpoints)

    def joined(self, endpoints: Collection[str]) -> list[str]:
        """Return the endpoints that have joined since the fence was set.

        Args:
            endpoints: ids of all endpoints of the service.

        Returns:
            Their ids, sorted.

        """
        return sorted(set(endpoints) - self._members)

    async def apply(
        self,
        endpoints: Collection[str],
        statuses: Mapping[str, EndpointStatus],
    ) -> None:
        """Demote the primaries, then fence all endpoints.

        Args:
            endpoints: ids of all endpoints of the service.
            statuses: statuses of those that answered.

        """
        primary = self.state.primary
        for endpoint, status in statuses.items():
            self.state.record(endpoint, status)
        primaries = [name for name in statuses if self.state.is_primary(name)]
        await request_all(primaries, self._demote)
        if self.state.was_demoted(primary):
            await sleep(IN_FLIGHT_WAIT_S)
        # A primary that has just failed to report its status is not waited for
        # again.
        targets = [
            name for name in endpoints if name in statuses or name != primary
        ]
        self._members.update(endpoints)
        await request_all(targets, self._fence)

    async def extend(self, endpoints: Collection[str]) -> None:
        """Fence the endpoints that have joined since the fence was set.

        Args:
            endpoints: ids of all endpoints of the service.

        """
        joined = self.joined(endpoints)
        self._members.update(joined)
        await request_all(joined, self._fence)

    async def check(self, endpoints: Collection[str]) -> None:
        """Request the statuses of fenced endpoints again.

        A RESUME of an earlier failover that arrives late lifts a fence, and so
        does a restart.

        Args:
            endpoints: their ids.

        """
        await request_all(endpoints, self._check_one)

    async def uphold(
        self, members: Callable[[], Collection[str]], candidate: str
    ) -> None:
        """Fence endpoints that restart or join, until cancelled.

        Args:
            members: returns the ids of all endpoints of the service.
            candidate: id of the endpoint whose promotion was commanded; it is
                not demoted.

        """
        asked: set[str] = set()
        async with open_nursery() as nursery:
            while True:
                endpoints = members()
                self._members.update(endpoints)
                for endpoint in set(endpoints) - asked:
                    asked.add(endpoint)
                    nursery.start_soon(
                        self._uphold_one, endpoint, candidate, asked
                    )
                await sleep(CHECK_INTERVAL_S)

    async def lift(self) -> None:
        """Let the endpoints receive commits again."""
        await request_all(sorted(self._sent_to), self._control.unfence)

    def outlasts(self, term: int) -> bool:
        """Return whether a promotion leaves the fences in place.

        Args:
            term: term of the promoted endpoint.

        """
        return self.state.term > term

    async def _demote(self, endpoint: str) -> EndpointStatus | None:
        status = await self._control.demote(endpoint, self.state.term)
        if status is not None:
            self.state.record_demotion(endpoint, status)
        return status

    async def _fence(self, endpoint: str) -> EndpointStatus | None:
        status = await self._request_fence(endpoint)
        if self.state.needs_demotion(endpoint):
            # The order to demote it was lost, or it has led since.
            await self._demote(endpoint)
            status = await self._request_fence(endpoint)
        return status

    async def _request_fence(self, endpoint: str) -> EndpointStatus | None:
        self._sent_to.add(endpoint)
        status = await self._control.fence(endpoint, self.state.term)
        self.state.record(endpoint, status)
        self._observe(endpoint, status)
        return status

    async def _check_one(self, endpoint: str) -> EndpointStatus | None:
        status = await self._control.status(endpoint)
        # A single response may be lost.
        status = status or await self._control.status(endpoint)
        self.state.record_check(endpoint, status)
        self._observe(endpoint, status)
        return status

    async def _uphold_one(
        self, endpoint: str, candidate: str, asked: set[str]
    ) -> None:
        status = await self._control.status(endpoint)
        self.state.record(endpoint, status)
        self._observe(endpoint, status)
        leads = endpoint == candidate and self.state.is_primary(endpoint)
        if self.state.needs_fence(endpoint) and not leads:
            await self._fence(endpoint)
        asked.discard(endpoint)

    def _observe(self, endpoint: str, status: EndpointStatus | None) -> None:
        if status is not None:
            needs_fence = self.state.needs_fence(endpoint)
            self.watch.observe(endpoint, status, needs_fence=needs_fence)
