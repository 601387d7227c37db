"""Fences the endpoints of a service, so that no commit is acknowledged."""

from collections.abc import Collection, Mapping

from trio import sleep

from trefoilhitch.pooler.endpoint_control import EndpointControl, request_all
from trefoilhitch.pooler.failover_decision import FencedEndpoint
from trefoilhitch.pooler.ports import EndpointStatus

# How long commits in flight may take to reach replicas after a primary that
# still answers was demoted.
IN_FLIGHT_WAIT_S = 0.1


class GroupFence:
    """Demotes primaries and stops replicas from receiving commits.

    A demoted primary becomes a replica, which would receive the commits of
    another primary. So it is fenced like the replicas. A promotion lifts the
    fences up to its own term; one that was set after a failed attempt can be
    later and has to be lifted.

    Args:
        control: sends the statements.
        term: term above all known terms.

    """

    def __init__(self, control: EndpointControl, *, term: int) -> None:
        """Start without fenced endpoints."""
        self._control = control
        self._term = term
        self._sent_to: set[str] = set()
        self._members: set[str] = set()
        self._confirmed: set[str] = set()
        self._lifted: set[str] = set()

    @property
    def stands(self) -> bool:
        """Whether no endpoint is known whose fence was lifted."""
        return not self._lifted

    def covers(self, endpoints: Collection[str]) -> bool:
        """Return whether no endpoint has joined since the fence was set.

        Args:
            endpoints: ids of all endpoints of the service.

        """
        return self._members.issuperset(endpoints)

    async def apply(
        self,
        endpoints: Collection[str],
        statuses: Mapping[str, EndpointStatus],
        primary: str | None,
    ) -> list[FencedEndpoint]:
        """Demote the primaries, then fence all endpoints.

        Args:
            endpoints: ids of all endpoints of the service.
            statuses: statuses of those that answered.
            primary: id of the current primary, None if it is unknown.

        Returns:
            The endpoints that receive no more commits.

        """
        demoted = await self._demote_primaries(statuses)
        if primary in demoted:
            await sleep(IN_FLIGHT_WAIT_S)
        # A primary that has just failed to report its status is not waited for
        # again.
        targets = [
            name for name in endpoints if name in statuses or name != primary
        ]
        self._sent_to.update(targets)
        self._members.update(endpoints)
        replies = await request_all(targets, self._fence)
        return [
            FencedEndpoint(
                name, status.term, status.position, was_primary=name == primary
            )
            for name, status in replies.items()
            if self._is_fenced(status)
            or (name == primary and name in demoted and not status.is_primary)
        ]

    async def extend(self, endpoints: Collection[str]) -> list[FencedEndpoint]:
        """Fence the endpoints that have joined since the fence was set.

        Args:
            endpoints: ids of all endpoints of the service.

        Returns:
            Those of them that receive no more commits.

        """
        joined = [name for name in endpoints if name not in self._members]
        self._members.update(joined)
        self._sent_to.update(joined)
        replies = await request_all(joined, self._fence)
        return [
            FencedEndpoint(name, status.term, status.position)
            for name, status in replies.items()
            if self._is_fenced(status)
        ]

    async def check(self) -> None:
        """Request the statuses of the fenced endpoints again.

        A RESUME of an earlier failover that arrives late lifts a fence.
        """
        await request_all(sorted(self._confirmed), self._check_one)

    async def lift(self) -> None:
        """Let the endpoints receive commits again."""
        await request_all(sorted(self._sent_to), self._control.unfence)

    def outlasts(self, term: int) -> bool:
        """Return whether a promotion leaves the fences in place.

        Args:
            term: term of the promoted endpoint.

        """
        return self._term > term

    async def _demote_primaries(
        self, statuses: Mapping[str, EndpointStatus]
    ) -> set[str]:
        primaries = [
            name for name, status in statuses.items() if status.is_primary
        ]
        replies = await request_all(primaries, self._demote)
        return {
            name for name, status in replies.items() if not status.is_primary
        }

    async def _demote(self, endpoint: str) -> EndpointStatus | None:
        return await self._control.demote(endpoint, self._term)

    def _is_fenced(self, status: EndpointStatus) -> bool:
        """Return whether an endpoint neither makes nor receives commits.

        A primary that was not demoted goes on, whatever fence it reports.
        """
        return not status.is_primary and status.fenced_term >= self._term

    async def _fence(self, endpoint: str) -> EndpointStatus | None:
        status = await self._control.fence(endpoint, self._term)
        if status is not None and status.is_primary:
            # The order to demote it was lost, or it has led since.
            await self._demote(endpoint)
            status = await self._control.fence(endpoint, self._term)
        if status is not None and self._is_fenced(status):
            self._confirmed.add(endpoint)
        return status

    async def _check_one(self, endpoint: str) -> EndpointStatus | None:
        status = await self._control.status(endpoint)
        # A promotion to a term as late as the fence's lifts it rightly.
        if status and max(status.term, status.fenced_term) < self._term:
            self._lifted.add(endpoint)
        return status
