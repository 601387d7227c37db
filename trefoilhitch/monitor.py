"""Group monitors: probe the endpoints of a group, and promote if needed."""

from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass
from random import Random

from trio import Nursery, current_time, open_nursery, sleep_until

from trefoilhitch._generated.endpoint import (
    ConfirmReply,
    ConfirmRequest,
    StatusReply,
)
from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.peer import EndpointView, GroupQuery, GroupView
from trefoilhitch._generated.record import Sighting, SuspicionRecord
from trefoilhitch._generated.store import Endpoint
from trefoilhitch.clock import deadline_after_ms
from trefoilhitch.config import ConfigHolder
from trefoilhitch.confirmer import confirmed_position
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.endpoint_client import EndpointPlatform
from trefoilhitch.errors import NoPrimaryError, RefusalError
from trefoilhitch.fleet import Fleet
from trefoilhitch.lag import LagEstimator
from trefoilhitch.promoter import Promoter
from trefoilhitch.promotion import suspect

PROBE_INTERVAL_S = 0.25
PROBE_TIMEOUT_MS = 240
_MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Probe:
    """What one probe of an endpoint read.

    Args:
        endpoint: the declared endpoint.
        sent_at: monotonic time at which it was sent.
        status: the answer; None if there was none.
        confirmed: for a primary, its position if a majority confirmed its term.

    """

    endpoint: Endpoint
    sent_at: float
    status: StatusReply | None = None
    confirmed: LogPosition | None = None


class GroupMonitor:
    """Watches one database group.

    Args:
        service: name of the service.
        platform: reaches the endpoints.
        promoter: carries promotions out.
        log: takes note of decisions.

    """

    def __init__(
        self,
        *,
        service: str,
        platform: EndpointPlatform,
        promoter: Promoter,
        log: DecisionLog,
    ) -> None:
        """Start without knowledge."""
        self.preferred = ''
        self._service = service
        self._platform = platform
        self._promoter = promoter
        self._log = log
        self._probes: dict[str, Probe] = {}
        self._lags = LagEstimator()
        self._unseen_since: float | None = None
        self._reason = ''

    async def round(self, endpoints: Sequence[Endpoint], rank: int) -> None:
        """Probe each endpoint once, and promote if that is called for.

        Args:
            endpoints: the declared endpoints of the group.
            rank: how many monitors claim before this one.

        """
        async with open_nursery() as nursery:
            for endpoint in endpoints:
                nursery.start_soon(self._probe, endpoint)
        if self._must_claim(endpoints, rank):
            await self._promote(endpoints)

    def view(self) -> GroupView:
        """Return the view of the group.

        Returns:
            The view, with ages counted back from now.

        Raises:
            NoPrimaryError: nothing was probed yet.

        """
        if not self._probes:
            raise NoPrimaryError('the group was not probed yet')
        serving = self._serving()
        proof = serving.confirmed if serving else None
        return GroupView(
            service=self._service,
            term=_term(serving),
            primary=serving.endpoint.name if serving else '',
            proved_term=proof.term if proof else 0,
            proved_position=proof.position if proof else 0,
            proved_age_ms=_age_ms(serving) if serving and proof else None,
            endpoints=[
                self._endpoint_view(probe) for probe in self._probes.values()
            ],
        )

    async def _probe(self, endpoint: Endpoint) -> None:
        sent_at = current_time()
        deadline = deadline_after_ms(PROBE_TIMEOUT_MS)
        status = None
        confirmed = None
        control = self._platform.control(endpoint)
        with suppress(RefusalError):
            status = await control.status(deadline)
        if status is not None and status.role == 'primary':
            ask = ConfirmRequest(term=status.term, position=0, wait_ms=0)
            with suppress(RefusalError):
                reply = await control.confirm(ask, deadline)
                confirmed = _own_position(reply, endpoint.name)
        if confirmed is not None:
            self._lags.sample(sent_at, confirmed)
        self._probes[endpoint.name] = Probe(
            endpoint, sent_at, status, confirmed
        )

    def _must_claim(self, endpoints: Sequence[Endpoint], rank: int) -> bool:
        now = current_time()
        sightings = [_sighting(self._probes[each.name]) for each in endpoints]
        decided = suspect(
            sightings,
            unseen_since=self._unseen_since,
            rank=rank,
            now=now,
        )
        if decided.reason != self._reason:
            self._reason = decided.reason
            self._log.decision(
                SuspicionRecord(
                    kind='suspicion',
                    at=now,
                    service=self._service,
                    unseen_since=self._unseen_since,
                    rank=rank,
                    sightings=sightings,
                    claim=decided.claim,
                    reason=decided.reason,
                ),
            )
        self._unseen_since = decided.unseen_since
        return decided.claim or bool(self.preferred)

    async def _promote(self, endpoints: Sequence[Endpoint]) -> None:
        sightings = [_sighting(probe) for probe in self._probes.values()]
        preferred = self.preferred
        self.preferred = ''
        await self._promoter.promote(
            self._service, endpoints, sightings, preferred
        )

    def _endpoint_view(self, probe: Probe) -> EndpointView:
        status = probe.status
        if status is None:
            return EndpointView(
                name=probe.endpoint.name,
                role='replica',
                term=0,
                applied_term=0,
                applied_position=0,
                reachable=False,
            )
        return EndpointView(
            name=probe.endpoint.name,
            role=status.role,
            term=status.term,
            applied_term=status.applied_term,
            applied_position=status.applied_position,
            reachable=True,
            leaving=status.leaving,
            lag_ms=self._lag_ms(status, probe.sent_at),
        )

    def _lag_ms(self, status: StatusReply, now: float) -> int | None:
        applied = LogPosition(
            term=status.applied_term,
            position=status.applied_position,
        )
        lag_s = self._lags.lag_s(applied, now)
        return None if lag_s is None else max(0, int(lag_s * _MS_PER_S))

    def _serving(self) -> Probe | None:
        primaries = [
            probe
            for probe in self._probes.values()
            if probe.status and probe.status.role == 'primary'
        ]
        return max(primaries, key=_term, default=None)


class Monitors:
    """Runs the monitors of the groups that are this node's to watch.

    Args:
        fleet: says which groups those are.
        config: declares the groups.
        platform: reaches the endpoints.
        promoter: carries promotions out.
        log: takes note of decisions.

    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        config: ConfigHolder,
        platform: EndpointPlatform,
        promoter: Promoter,
        log: DecisionLog,
    ) -> None:
        """Start without monitors."""
        self._fleet = fleet
        self._config = config
        self._platform = platform
        self._promoter = promoter
        self._log = log
        self._monitors: dict[str, GroupMonitor] = {}
        self._busy: set[str] = set()

    def view(self, query: GroupQuery) -> GroupView:
        """Return the view of a group that this node watches.

        Args:
            query: names the service.

        Returns:
            The view.

        Raises:
            NoPrimaryError: this node does not watch it, or not yet.

        """
        watched = self._monitors.get(query.service)
        if watched is None:
            raise NoPrimaryError('this node does not watch the group')
        return watched.view()

    def order_switch(self, service: str, primary: str) -> None:
        """Have the next round promote an endpoint.

        Args:
            service: name of the service.
            primary: endpoint that shall become primary.

        Raises:
            NoPrimaryError: this node does not watch the group.

        """
        watched = self._monitors.get(service)
        if watched is None:
            raise NoPrimaryError('this node does not watch the group')
        watched.preferred = primary

    async def run(self, nursery: Nursery, random: Random) -> None:
        """Start a round of each monitor at each interval, for ever.

        Args:
            nursery: runs the rounds.
            random: spreads the rounds of several nodes.

        """
        wake_at = current_time() + random.random() * PROBE_INTERVAL_S
        while True:
            await sleep_until(wake_at)
            wake_at = max(wake_at, current_time()) + PROBE_INTERVAL_S
            self._start_rounds(nursery)

    def _start_rounds(self, nursery: Nursery) -> None:
        ranks = self._ranks()
        for service in self._monitors.keys() - ranks.keys():
            self._monitors.pop(service)
        for service, rank in ranks.items():
            if service not in self._monitors:
                self._monitors[service] = self._create(service)
            if service not in self._busy:
                nursery.start_soon(self._round, service, rank)

    async def _round(self, service: str, rank: int) -> None:
        self._busy.add(service)
        try:
            await self._monitors[service].round(
                self._config.current.groups[service],
                rank,
            )
        finally:
            self._busy.discard(service)

    def _ranks(self) -> dict[str, int]:
        name = self._fleet.identity.node
        ranks = {}
        for service in self._config.current.groups:
            chosen = self._fleet.monitors_of(service)
            if name in chosen:
                ranks[service] = chosen.index(name)
        return ranks

    def _create(self, service: str) -> GroupMonitor:
        return GroupMonitor(
            service=service,
            platform=self._platform,
            promoter=self._promoter,
            log=self._log,
        )


def _own_position(reply: ConfirmReply, name: str) -> LogPosition | None:
    if confirmed_position(reply) is None:
        return None
    for holding in reply.holdings:
        if holding.endpoint == name:
            return LogPosition(term=reply.term, position=holding.position)
    return None


def _term(probe: Probe | None) -> int:
    return probe.status.term if probe and probe.status else 0


def _age_ms(probe: Probe) -> int:
    return int((current_time() - probe.sent_at) * _MS_PER_S) + 1


def _sighting(probe: Probe) -> Sighting:
    status = probe.status
    if status is None:
        return Sighting(
            name=probe.endpoint.name,
            role='replica',
            term=0,
            last_term=0,
            last_position=0,
            reachable=False,
            silent_ms=0,
        )
    return Sighting(
        name=probe.endpoint.name,
        role=status.role,
        term=status.term,
        last_term=status.last_term,
        last_position=status.last_position,
        reachable=True,
        silent_ms=status.primary_silent_ms,
        leaving=status.leaving,
    )
