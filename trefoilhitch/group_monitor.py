"""Monitor of a database group: probes its endpoints and starts failovers."""

from collections.abc import Sequence
from contextlib import suppress

from trio import current_time, open_nursery

from trefoilhitch._generated.endpoint import ConfirmRequest
from trefoilhitch._generated.peer import GroupView
from trefoilhitch._generated.record import Sighting, SuspicionRecord
from trefoilhitch._generated.store import Endpoint
from trefoilhitch.clock import deadline_after_ms
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.endpoint_client import EndpointConnector
from trefoilhitch.errors import NoPrimaryError, RefusalError
from trefoilhitch.lag import LagEstimator
from trefoilhitch.probe import ProbeResult
from trefoilhitch.promoter import Promoter
from trefoilhitch.promotion import evaluate_suspicion

PROBE_TIMEOUT_MS = 240
_MS_PER_S = 1000


class GroupMonitor:
    """Monitors one database group.

    Args:
        service: name of the service.
        connector: creates control clients for the endpoints.
        promoter: carries out promotions.
        log: records suspicion decisions.

    """

    def __init__(
        self,
        *,
        service: str,
        connector: EndpointConnector,
        promoter: Promoter,
        log: DecisionLog,
    ) -> None:
        """Start without probe results."""
        self.preferred = ''
        self._service = service
        self._connector = connector
        self._promoter = promoter
        self._log = log
        self._probes: dict[str, ProbeResult] = {}
        self._lags = LagEstimator()
        self._unseen_since: float | None = None
        self._reason = ''

    async def run_round(self, endpoints: Sequence[Endpoint], rank: int) -> None:
        """Probe each endpoint once, and start a promotion if needed.

        Args:
            endpoints: declared endpoints of the group.
            rank: number of monitors that claim a term before this one.

        """
        async with open_nursery() as nursery:
            for endpoint in endpoints:
                nursery.start_soon(self._probe, endpoint)
        declared = {each.name for each in endpoints}
        for name in self._probes.keys() - declared:
            self._probes.pop(name)
        if self._must_claim(endpoints, rank):
            await self._promote(endpoints)

    def view(self) -> GroupView:
        """Return the view of the group.

        Returns:
            The view; ages are relative to now.

        Raises:
            NoPrimaryError: no endpoint has been probed yet.

        """
        if not self._probes:
            raise NoPrimaryError('the group was not probed yet')
        primary = self._newest_primary()
        proof = primary.confirmed if primary else None
        return GroupView(
            service=self._service,
            term=primary.term if primary else 0,
            primary=primary.endpoint.name if primary else '',
            proved_term=proof.term if proof else 0,
            proved_position=proof.position if proof else 0,
            proved_age_ms=_age_ms(primary) if primary and proof else None,
            endpoints=[
                probe.view(self._lags) for probe in self._probes.values()
            ],
        )

    async def _probe(self, endpoint: Endpoint) -> None:
        probe = ProbeResult(endpoint, current_time())
        try:
            probe = await self._request_state(endpoint)
        except Exception as exc:
            # The other endpoints of the group are still probed.
            self._log.report(exc)
        if probe.confirmed is not None:
            self._lags.add_sample(probe.sent_at, probe.confirmed)
        self._probes[endpoint.name] = probe

    async def _request_state(self, endpoint: Endpoint) -> ProbeResult:
        sent_at = current_time()
        deadline = deadline_after_ms(PROBE_TIMEOUT_MS)
        status = None
        confirmation = None
        control = self._connector.control(endpoint)
        with suppress(RefusalError):
            status = await control.status(deadline)
        if status is not None and status.role == 'primary':
            req = ConfirmRequest(term=status.term, position=0, wait_ms=0)
            with suppress(RefusalError):
                confirmation = await control.confirm(req, deadline)
        return ProbeResult.from_replies(endpoint, sent_at, status, confirmation)

    def _must_claim(self, endpoints: Sequence[Endpoint], rank: int) -> bool:
        now = current_time()
        sightings = self._sightings(endpoints)
        suspicion = evaluate_suspicion(
            sightings,
            unseen_since=self._unseen_since,
            rank=rank,
            now=now,
        )
        if suspicion.reason != self._reason:
            self._reason = suspicion.reason
            self._log.decision(
                SuspicionRecord(
                    kind='suspicion',
                    at=now,
                    service=self._service,
                    unseen_since=self._unseen_since,
                    rank=rank,
                    sightings=sightings,
                    claim=suspicion.claim,
                    reason=suspicion.reason,
                ),
            )
        self._unseen_since = suspicion.unseen_since
        return suspicion.claim or bool(self.preferred)

    async def _promote(self, endpoints: Sequence[Endpoint]) -> None:
        sightings = self._sightings(endpoints)
        preferred = self.preferred
        self.preferred = ''
        await self._promoter.promote(
            self._service, endpoints, sightings, preferred
        )

    def _sightings(self, endpoints: Sequence[Endpoint]) -> list[Sighting]:
        return [self._probes[each.name].sighting() for each in endpoints]

    def _newest_primary(self) -> ProbeResult | None:
        primaries = [each for each in self._probes.values() if each.is_primary]
        return max(primaries, key=_term, default=None)


def _term(probe: ProbeResult) -> int:
    return probe.term


def _age_ms(probe: ProbeResult) -> int:
    return int((current_time() - probe.sent_at) * _MS_PER_S) + 1
