"""Runs the group monitors that are assigned to a node."""

from collections.abc import Sequence
from random import Random

from trio import current_time, sleep_until

from trefoilhitch._generated.peer import GroupQuery, GroupView
from trefoilhitch._generated.store import Endpoint
from trefoilhitch.config import ConfigHolder
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.endpoint_client import EndpointConnector
from trefoilhitch.errors import NoPrimaryError
from trefoilhitch.group_monitor import GroupMonitor
from trefoilhitch.membership import Membership
from trefoilhitch.promoter import Promoter
from trefoilhitch.round_starter import TaskStarter

PROBE_INTERVAL_S = 0.25


class GroupMonitors:
    """Runs a monitor for each group that is assigned to this node.

    Args:
        membership: assigns groups to nodes.
        config: holds the declared groups.
        connector: creates control clients for the endpoints.
        promoter: carries out promotions.
        log: records suspicion decisions.

    """

    def __init__(
        self,
        *,
        membership: Membership,
        config: ConfigHolder,
        connector: EndpointConnector,
        promoter: Promoter,
        log: DecisionLog,
    ) -> None:
        """Start without monitors."""
        self._membership = membership
        self._config = config
        self._connector = connector
        self._promoter = promoter
        self._log = log
        self._monitors: dict[str, GroupMonitor] = {}
        self._busy: set[str] = set()

    def view(self, query: GroupQuery) -> GroupView:
        """Return the view of a group that this node monitors.

        Args:
            query: request with the name of the service.

        Returns:
            The monitor's view.

        Raises:
            NoPrimaryError: this node does not monitor the group, or has not
                probed it yet.

        """
        monitor = self._monitors.get(query.service)
        if monitor is None:
            raise NoPrimaryError('this node does not watch the group')
        return monitor.view()

    def schedule_switchover(self, service: str, primary: str) -> None:
        """Schedule the promotion of an endpoint for the next round.

        Args:
            service: name of the service.
            primary: name of the endpoint to promote.

        Raises:
            NoPrimaryError: this node does not monitor the group.

        """
        monitor = self._monitors.get(service)
        if monitor is None:
            raise NoPrimaryError('this node does not watch the group')
        monitor.preferred = primary

    async def run(self, nursery: TaskStarter, random: Random) -> None:
        """Start a round of each monitor at each interval until cancelled.

        Args:
            nursery: runs the rounds.
            random: delays the first round, so that the rounds of several nodes
                are spread over the interval.

        """
        wake_at = current_time() + random.random() * PROBE_INTERVAL_S
        while True:
            await sleep_until(wake_at)
            wake_at = max(wake_at, current_time()) + PROBE_INTERVAL_S
            self._start_rounds(nursery)

    def _start_rounds(self, nursery: TaskStarter) -> None:
        ranks = self._ranks()
        for service in self._monitors.keys() - ranks.keys():
            self._monitors.pop(service)
        for service, rank in ranks.items():
            if service not in self._monitors:
                self._monitors[service] = self._create_monitor(service)
            if service not in self._busy:
                self._busy.add(service)
                endpoints = self._config.current.groups[service]
                nursery.start_soon(self._run_round, service, endpoints, rank)

    async def _run_round(
        self, service: str, endpoints: Sequence[Endpoint], rank: int
    ) -> None:
        try:
            await self._monitors[service].run_round(endpoints, rank)
        finally:
            self._busy.discard(service)

    def _ranks(self) -> dict[str, int]:
        name = self._membership.identity.node
        ranks = {}
        for service in self._config.current.groups:
            chosen = self._membership.monitors_of(service)
            if name in chosen:
                ranks[service] = chosen.index(name)
        return ranks

    def _create_monitor(self, service: str) -> GroupMonitor:
        return GroupMonitor(
            service=service,
            connector=self._connector,
            promoter=self._promoter,
            log=self._log,
        )
