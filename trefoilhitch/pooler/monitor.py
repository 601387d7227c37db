"""Watches the leads of services and has them replaced."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from itertools import count

from trio import Nursery, current_time, open_nursery, sleep

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.errors import StoreError
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.control import (
    CONTROL_TIMEOUT_S,
    EndpointControl,
    ask_all,
)
from trefoilhitch.pooler.failover_decision import (
    PROOF_REQUEST_AFTER_S,
    FailoverReason,
    failover_reason,
)
from trefoilhitch.pooler.held_lease import SuccessionStoppedError
from trefoilhitch.pooler.lease import ObservedLease
from trefoilhitch.pooler.monitor_order import rank_monitors
from trefoilhitch.pooler.ports import EndpointStatus
from trefoilhitch.pooler.primary_tracker import Primary
from trefoilhitch.pooler.successor import (
    Succession,
    SuccessionParts,
)

CHECK_EVERY_S = 0.15
# Nodes that stand ready to watch one service.
MONITORS = 3
# Each further monitor acts this much later than the one before it.
RANK_DELAY_S = 1.5
RETRY_PAUSE_S = 0.7
# How long it counts that other nodes did not reach a lead.
OPINION_COUNTS_S = 0.7
# How often a monitor whose turn has not come looks at the lease.
LEASE_LOOK_EVERY_S = 0.5

_Task = Callable[[str, int], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class MonitorParts:
    """What a monitor needs.

    Args:
        succession: what replacing a lead needs.
        live_nodes: returns the heartbeats of the nodes that may watch.
        confirm_silence: asks other nodes whether a lead answers them; False
            if it does.
        publish: tells other nodes at once of a change.

    """

    succession: SuccessionParts
    live_nodes: Callable[[], list[MemberBeat]]
    confirm_silence: Callable[[str, str], Awaitable[bool]]
    publish: Callable[[], None]


@dataclass(frozen=True, slots=True)
class _Opinion:
    """What other nodes said of a lead.

    Args:
        lead: the endpoint.
        silent: whether nobody reached it as the lead.
        heard_at: when, on a clock that counts suspended time.

    """

    lead: str
    silent: bool
    heard_at: float

    def counts(self, lead: str, now: float) -> bool:
        recent = now - self.heard_at < OPINION_COUNTS_S
        return self.silent and recent and self.lead == lead


class Monitor:
    """Keeps proofs of leads fresh and replaces leads that are lost.

    Args:
        parts: what it needs.

    """

    def __init__(self, parts: MonitorParts) -> None:
        """Start knowing of no lease."""
        self._parts = parts
        self._seen: dict[str, ObservedLease] = {}
        self._probing: set[str] = set()
        self._judging: set[str] = set()
        self._replacing: set[str] = set()
        self._pause_until: dict[str, float] = {}
        self._since: dict[str, float] = {}
        self._opinions: dict[str, _Opinion] = {}
        self._look_again_at: dict[str, float] = {}
        self._attempts = count(1)

    async def run(self) -> None:
        """Watch all services for ever."""
        async with open_nursery() as nursery:
            while True:
                await sleep(CHECK_EVERY_S)
                self._start_watches(nursery)

    @property
    def _knowledge(self) -> ClusterState:
        return self._parts.succession.knowledge

    @property
    def _control(self) -> EndpointControl:
        return self._parts.succession.control

    def _start_watches(self, nursery: Nursery) -> None:
        for service in self._knowledge.endpoints.services():
            rank = self._rank(service)
            if rank >= MONITORS:
                continue
            # A question that a dark lead does not answer holds up no judgement.
            self._start(nursery, self._probe, self._probing, service, rank)
            self._start(nursery, self._judge, self._judging, service, rank)

    def _start(
        self,
        nursery: Nursery,
        task: _Task,
        running: set[str],
        service: str,
        rank: int,
    ) -> None:
        if service not in running:
            running.add(service)
            nursery.start_soon(self._watch, task, running, service, rank)

    def _rank(self, service: str) -> int:
        names = rank_monitors(
            service,
            self._knowledge.primary_data_centre(service),
            self._parts.live_nodes(),
        )
        node = self._parts.succession.node
        return names.index(node) if node in names else len(names)

    async def _watch(
        self, task: _Task, running: set[str], service: str, rank: int
    ) -> None:
        try:
            await task(service, rank)
        except Exception as exc:
            # Other services are still to be watched.
            self._parts.succession.log.report(exc)
        finally:
            running.discard(service)

    async def _probe(self, service: str, rank: int) -> None:
        if service in self._replacing:
            return
        newest = self._knowledge.observations.newest(service)
        now = self._knowledge.clock()
        wanted = now - PROOF_REQUEST_AFTER_S - rank * RANK_DELAY_S
        lead = self._knowledge.primary(service)
        if lead is None:
            await self._search(service)
        elif newest is None or newest.sent_at < wanted:
            await self._ask(service, lead)

    async def _ask(self, service: str, endpoint: str) -> None:
        asked_at = self._knowledge.clock()
        status = await self._control.status(endpoint)
        if status is None:
            self._knowledge.record_unanswered(
                service, asked_at, CONTROL_TIMEOUT_S
            )
            return
        self._learn(service, endpoint, status, asked_at)

    async def _search(self, service: str) -> None:
        asked_at = self._knowledge.clock()
        members = self._knowledge.endpoints.members(service)
        ids = [record.endpoint for record in members]
        statuses = await ask_all(ids, self._control.status)
        leading = [
            name for name, status in statuses.items() if status.is_primary
        ]
        for endpoint in leading:
            self._learn(service, endpoint, statuses[endpoint], asked_at)
        if not leading:
            self._knowledge.record_unanswered(
                service, asked_at, CONTROL_TIMEOUT_S
            )

    def _learn(
        self,
        service: str,
        endpoint: str,
        status: EndpointStatus,
        asked_at: float,
    ) -> None:
        if not status.is_primary:
            self._knowledge.record_not_primary(service, endpoint, 'monitor')
            return
        lead = Primary(service, endpoint, status.term)
        self._knowledge.record_proof(lead, status.position, asked_at, 'monitor')

    async def _judge(self, service: str, rank: int) -> None:
        reason = self._reason(service)
        now = current_time()
        if reason is None:
            self._since.pop(service, None)
            if rank == 0:
                await self._ask_early(service)
            return
        since = self._since.setdefault(service, now)
        ready_at = max(
            since + rank * RANK_DELAY_S, self._pause_until.get(service, 0)
        )
        if now < ready_at:
            await self._watch_lease(service)
            return
        if reason == FailoverReason.SILENT and not await self._is_silent(
            service
        ):
            return
        self._replacing.add(service)
        try:
            await self._replace(service, reason)
        finally:
            self._replacing.discard(service)

    async def _ask_early(self, service: str) -> None:
        """Ask other nodes before the lead has been silent for long enough."""
        lead = self._knowledge.primary(service)
        evidence = self._knowledge.evidence(service, lead)
        if lead is None or not evidence.is_suspected(self._knowledge.clock()):
            self._opinions.pop(service, None)
        elif service not in self._opinions:
            silent = await self._parts.confirm_silence(service, lead)
            heard_at = self._knowledge.clock()
            self._opinions[service] = _Opinion(lead, silent, heard_at)

    async def _watch_lease(self, service: str) -> None:
        """Look who has the lease, so that its end is known when it matters.

        A lease counts as held for its whole time from when this node first saw
        it, and its holder may stand still.
        """
        parts = self._parts.succession
        now = current_time()
        if now < self._look_again_at.get(service, 0):
            return
        self._look_again_at[service] = now + LEASE_LOOK_EVERY_S
        try:
            await self._read_lease(service)
        except StoreError as exc:
            parts.log.event('lease_unread', service=service, detail=str(exc))

    async def _is_silent(self, service: str) -> bool:
        lead = self._knowledge.primary(service)
        if lead is None:
            return True
        opinion = self._opinions.pop(service, None)
        if opinion is not None and opinion.counts(
            lead, self._knowledge.clock()
        ):
            return True
        return await self._parts.confirm_silence(service, lead)

    def _reason(self, service: str) -> FailoverReason | None:
        lead = self._knowledge.primary(service)
        record = self._knowledge.find(lead) if lead else None
        return failover_reason(
            self._knowledge.evidence(service, lead),
            record,
            lost=self._knowledge.endpoints.is_lost(lead or ''),
            now=self._knowledge.clock(),
        )

    async def _replace(self, service: str, reason: FailoverReason) -> None:
        parts = self._parts.succession
        attempt = f'{parts.node}/{current_time():.3f}/{next(self._attempts)}'
        parts.log.event(
            'succession_began', service=service, reason=reason.value
        )
        outcome = 'done'
        succession = Succession(
            parts, service=service, reason=reason, attempt=attempt
        )
        try:
            await succession.run(await self._read_lease(service))
        except (SuccessionStoppedError, StoreError) as exc:
            outcome = f'{type(exc).__name__}: {exc}'
        self._pause_until[service] = current_time() + RETRY_PAUSE_S
        parts.log.event('succession_ended', service=service, outcome=outcome)
        self._parts.publish()

    async def _read_lease(self, service: str) -> ObservedLease:
        record = await self._parts.succession.leases.read(service)
        known = self._seen.get(service)
        if known is None or known.record.revision != record.revision:
            known = ObservedLease(record, self._knowledge.clock())
            self._seen[service] = known
        return known
