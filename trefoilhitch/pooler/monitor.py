"""Monitors the primaries of services and starts failovers."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from itertools import count

from trio import (
    Nursery,
    current_time,
    move_on_after,
    open_nursery,
    sleep,
    sleep_forever,
)

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.errors import StoreError, UnreadableLeaseError
from trefoilhitch.pooler.cluster_state import (
    ClusterState,
    primary_data_centre,
)
from trefoilhitch.pooler.control.probe_pauses import ProbePauses
from trefoilhitch.pooler.endpoint_control import (
    CONTROL_TIMEOUT_S,
    EndpointControl,
    request_all,
)
from trefoilhitch.pooler.evacuation.handover import (
    SUCCESSOR_CHECK_PAUSE_S,
    NoSuccessorError,
    ensure_successor,
    may_hand_over,
)
from trefoilhitch.pooler.failover_decision import (
    PREPARE_TIMEOUTS,
    PROOF_REQUEST_AFTER_S,
    REPLACE_TIMEOUTS,
    FailoverReason,
    FailoverTimeouts,
    failover_reason,
)
from trefoilhitch.pooler.failover_plan import FailoverDependencies, FailoverPlan
from trefoilhitch.pooler.failover_runner import FailoverRunner
from trefoilhitch.pooler.held_lease import FailoverStoppedError
from trefoilhitch.pooler.lease_observer import LeaseObserver
from trefoilhitch.pooler.lease_restorer import LeaseRestorer
from trefoilhitch.pooler.monitor_order import RANK_DELAY_S, rank_monitors
from trefoilhitch.pooler.ports import EndpointStatus
from trefoilhitch.pooler.primary_confirmer import PrimaryConfirmer
from trefoilhitch.pooler.primary_tracker import Primary
from trefoilhitch.pooler.seen_leases import SeenLeases
from trefoilhitch.pooler.store_check import StoreCheck
from trefoilhitch.pooler.unfinished_leases import UnfinishedLeases

CHECK_INTERVAL_S = 0.15
# Number of nodes that monitor one service, including standbys.
MONITORS_PER_SERVICE = 3
RETRY_PAUSE_S = 0.7
# How often a standby monitor reads the lease until its turn comes.
LEASE_READ_INTERVAL_S = 0.5

_Task = Callable[[str, int], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class MonitorDependencies:
    """Dependencies of a monitor.

    Args:
        failover: dependencies of a failover.
        seen_leases: reads leases before a failover.
        store_check: checks that the store answers this node.
        process: distinguishes the failovers of this process from those of
            earlier ones of the node.
        confirmer: asks replicas whether a primary may have been replaced.
        leases: tells which primaries have not been replaced.
        restorer: writes leases again that the store has lost.
        has_listings: returns whether the endpoints and the nodes are known.
        live_nodes: returns the heartbeats of the nodes that may monitor.
        members_version: returns a number that changes with these nodes.
        confirm_silence: has other nodes probe a primary; returns False if
            one of them reached it.
        pauses: decide how often an unproved primary is probed.
        publish: sends a change to other nodes at once.
        report_store_lost: called when the store did not answer, so that
            another node takes over.

    """

    failover: FailoverDependencies
    seen_leases: SeenLeases
    store_check: StoreCheck
    process: str
    confirmer: PrimaryConfirmer
    leases: LeaseObserver
    restorer: LeaseRestorer
    has_listings: Callable[[], bool]
    live_nodes: Callable[[], list[MemberBeat]]
    members_version: Callable[[], int]
    confirm_silence: Callable[[str, str], Awaitable[bool]]
    pauses: ProbePauses
    publish: Callable[[], None]
    report_store_lost: Callable[[], None]


class Monitor:
    """Keeps proofs of primaries fresh and replaces primaries that are lost.

    Args:
        deps: dependencies of the monitor.

    """

    def __init__(self, deps: MonitorDependencies) -> None:
        """Start before the first check."""
        self._deps = deps
        self._probing: set[str] = set()
        self._evaluating: set[str] = set()
        self._restoring: set[str] = set()
        self._recording: set[str] = set()
        self._checking: set[str] = set()
        self._failing_over: set[str] = set()
        self._pause_until: dict[str, float] = {}
        self._reason_since: dict[str, float] = {}
        self._next_lease_read_at: dict[str, float] = {}
        self._attempts = count(1)
        self._unfinished = UnfinishedLeases(deps.leases)
        self._ranks: dict[str, tuple[tuple[int, str], int]] = {}

    async def run(self) -> None:
        """Monitor all services until cancelled."""
        async with open_nursery() as nursery:
            with move_on_after(CHECK_INTERVAL_S):
                while not self._deps.has_listings():
                    await self._cluster.wait_for_change()
                # Reads with a bound wait for the first proof, which standbys
                # leave to the first monitor.
                self._start_tasks(nursery, 1)
                await sleep_forever()
            while True:
                self._start_tasks(nursery, MONITORS_PER_SERVICE)
                await sleep(CHECK_INTERVAL_S)

    @property
    def _cluster(self) -> ClusterState:
        return self._deps.failover.cluster

    @property
    def _control(self) -> EndpointControl:
        return self._deps.failover.control

    def _start_tasks(self, nursery: Nursery, monitors: int) -> None:
        for service in self._cluster.endpoints.services():
            rank = self._rank(service)
            if rank >= monitors:
                continue
            # Separate tasks, so that a probe without an answer does not delay
            # the evaluation.
            self._start_task(nursery, self._probe, self._probing, service, rank)
            self._start_task(
                nursery, self._evaluate, self._evaluating, service, rank
            )
            self._start_task(
                nursery,
                self._deps.restorer.restore_if_due,
                self._restoring,
                service,
                rank,
            )
            self._start_task(
                nursery,
                self._deps.failover.groups.record_if_due,
                self._recording,
                service,
                rank,
            )
            self._start_task(
                nursery,
                self._deps.store_check.check_if_due,
                self._checking,
                service,
                rank,
            )

    def _start_task(
        self,
        nursery: Nursery,
        task: _Task,
        running: set[str],
        service: str,
        rank: int,
    ) -> None:
        if service not in running:
            running.add(service)
            nursery.start_soon(self._run_task, task, running, service, rank)

    def _rank(self, service: str) -> int:
        """Return this node's rank, computed when the members change."""
        data_centre = primary_data_centre(self._cluster, service)
        key = self._deps.members_version(), data_centre
        known = self._ranks.get(service)
        if known is not None and known[0] == key:
            return known[1]
        names = rank_monitors(service, data_centre, self._deps.live_nodes())
        node = self._deps.failover.node
        rank = names.index(node) if node in names else len(names)
        self._ranks[service] = key, rank
        return rank

    async def _run_task(
        self, task: _Task, running: set[str], service: str, rank: int
    ) -> None:
        try:
            await task(service, rank)
        except Exception as exc:
            # A failure for one service must not stop the monitoring of others.
            self._deps.failover.metrics.count('task_failures', 'monitor')
            self._deps.failover.log.report(exc)
        finally:
            running.discard(service)

    async def _probe(self, service: str, rank: int) -> None:
        if service in self._failing_over:
            return
        newest = self._cluster.observations.newest(service)
        now = self._cluster.clock()
        probe_if_before = now - PROOF_REQUEST_AFTER_S - rank * RANK_DELAY_S
        primary = self._cluster.primary(service)
        if primary is None:
            await self._find_primary(service)
        elif newest is None or newest.sent_at < probe_if_before:
            if self._deps.pauses.may_probe(service, primary, current_time()):
                await self._probe_primary(service, primary, rank)

    async def _probe_primary(
        self, service: str, endpoint: str, rank: int
    ) -> None:
        sent_at = self._cluster.clock()
        status = await self._control.status(endpoint)
        if status is None:
            self._cluster.record_unanswered(service, sent_at, CONTROL_TIMEOUT_S)
            return
        await self._apply_status(service, endpoint, status, sent_at)
        newest = self._cluster.observations.newest(service)
        if newest is None or newest.sent_at < sent_at:
            self._deps.pauses.record_unproved(
                service, endpoint, rank, current_time()
            )

    async def _find_primary(self, service: str) -> None:
        sent_at = self._cluster.clock()
        members = self._cluster.endpoints.members(service)
        ids = [record.endpoint for record in members]
        statuses = await request_all(ids, self._control.status)
        primaries = [
            name for name, status in statuses.items() if status.is_primary
        ]
        for endpoint in primaries:
            await self._apply_status(
                service, endpoint, statuses[endpoint], sent_at
            )
        if not primaries:
            self._cluster.record_unanswered(service, sent_at, CONTROL_TIMEOUT_S)

    async def _apply_status(
        self,
        service: str,
        endpoint: str,
        status: EndpointStatus,
        sent_at: float,
    ) -> None:
        if not status.is_primary:
            self._cluster.record_not_primary(service, endpoint, 'monitor')
            return
        self._cluster.record_answered(service, sent_at)
        primary = Primary(service, endpoint, status.term)
        self._cluster.record_primary(primary, 'monitor')
        if await self._is_current(service, endpoint, status.term):
            self._cluster.record_proof(
                primary, status.position, sent_at, 'monitor'
            )

    async def _is_current(self, service: str, endpoint: str, term: int) -> bool:
        """Return whether an endpoint that says so is the primary."""
        if await self._deps.leases.permits(service, endpoint):
            return True
        replicas = await self._deps.confirmer.collect(service, endpoint, term)
        return replicas.confirm(term)

    async def _evaluate(self, service: str, rank: int) -> None:
        reason = self._failover_reason(service, PREPARE_TIMEOUTS)
        now = current_time()
        if reason is None:
            self._reason_since.pop(service, None)
            if self._unfinished.is_held(service):
                await self._refresh_lease(service)
            return
        since = self._reason_since.setdefault(service, now)
        ready_at = max(
            since + rank * RANK_DELAY_S, self._pause_until.get(service, 0)
        )
        if now < ready_at:
            if reason != FailoverReason.EVACUATED:
                await self._refresh_lease(service)
            return
        self._failing_over.add(service)
        try:
            await self._run_failover(service, reason)
        finally:
            self._failing_over.discard(service)

    async def _refresh_lease(self, service: str) -> None:
        """Read the lease early, so that its expiry is known when it matters.

        A lease counts as held for its full duration from when this node first
        saw it, and its holder may have stalled.
        """
        deps = self._deps.failover
        now = current_time()
        if now < self._next_lease_read_at.get(service, 0):
            return
        self._next_lease_read_at[service] = now + LEASE_READ_INTERVAL_S
        try:
            await self._deps.seen_leases.read(
                service, self._deps.report_store_lost
            )
        except StoreError as exc:
            deps.log.event('lease_unread', service=service, detail=str(exc))

    async def _is_suspicion_shared(
        self, service: str, began_for: FailoverReason
    ) -> bool:
        """Ask other nodes about a primary that is silent."""
        reason = self._failover_reason(service, PREPARE_TIMEOUTS)
        if began_for == FailoverReason.UNFINISHED:
            return True
        primary = self._cluster.primary(service)
        if reason != FailoverReason.SILENT or primary is None:
            return reason is not None
        return await self._deps.confirm_silence(service, primary)

    def _is_failover_needed(
        self, service: str, began_for: FailoverReason
    ) -> bool:
        if began_for == FailoverReason.UNFINISHED:
            # The lease is held by this failover now.
            return True
        return self._failover_reason(service, REPLACE_TIMEOUTS) is not None

    def _failover_reason(
        self, service: str, timeouts: FailoverTimeouts
    ) -> FailoverReason | None:
        primary = self._cluster.primary(service)
        record = self._cluster.find(primary) if primary else None
        return failover_reason(
            self._cluster.evidence(service, primary),
            record,
            lost=self._cluster.endpoints.is_lost(primary or ''),
            evacuated=may_hand_over(self._cluster, service, primary),
            unfinished=self._unfinished.has_to_finish(
                service, self._cluster.clock()
            ),
            now=self._cluster.clock(),
            timeouts=timeouts,
        )

    async def _attempt_failover(self, plan: FailoverPlan) -> None:
        deps = self._deps.failover
        await ensure_successor(deps, plan)
        seen = await self._deps.seen_leases.read_for_failover(
            plan.service, self._deps.report_store_lost
        )
        await FailoverRunner(deps, plan).run(seen)

    async def _run_failover(self, service: str, reason: FailoverReason) -> None:
        deps = self._deps.failover
        number = next(self._attempts)
        attempt = (
            f'{deps.node}/{self._deps.process}/{current_time():.3f}/{number}'
        )
        deps.log.event('succession_began', service=service, reason=reason.value)
        outcome = 'done'
        plan = FailoverPlan(
            service=service,
            reason=reason,
            attempt=attempt,
            replaced=Primary(
                service,
                self._cluster.primary(service) or '',
                self._cluster.proved_term(service),
            ),
            is_suspicion_shared=partial(
                self._is_suspicion_shared, service, reason
            ),
            is_needed=partial(self._is_failover_needed, service, reason),
        )
        pause_s = RETRY_PAUSE_S
        try:
            await self._attempt_failover(plan)
        except NoSuccessorError as exc:
            outcome = f'{type(exc).__name__}: {exc}'
            pause_s = SUCCESSOR_CHECK_PAUSE_S
        except (FailoverStoppedError, UnreadableLeaseError) as exc:
            # The store answers, also if what it keeps cannot be read.
            outcome = f'{type(exc).__name__}: {exc}'
        except StoreError as exc:
            outcome = f'{type(exc).__name__}: {exc}'
            self._deps.report_store_lost()
        self._pause_until[service] = current_time() + pause_s
        deps.log.event('succession_ended', service=service, outcome=outcome)
        self._deps.publish()
