"""Emulated database group: endpoints, replication and promotion."""

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from trio import BrokenResourceError, Event, Nursery, sleep

from trefoilhitch_lab.prepared_names import HeldPeak
from trefoilhitch_lab.wire_endpoint import WireEndpoint
from trefoilhitch_lab.wire_log import (
    ExecutedStatement,
    LogEntry,
    ReceivedLine,
)

# Number of replicas that must hold a commit before it is acknowledged.
SYNC_REPLICAS = 1
PROMOTION_DURATION_S = 0.3


@dataclass(slots=True)
class _PendingCommit:
    """A commit that waits until enough replicas hold it.

    Args:
        primary: endpoint that made the commit.
        entry: the commit.
        holders: ids of the replicas that hold it.
        is_discarded: whether the endpoint has replaced it by another
            primary's log.
        ended: set once they are enough, or it is discarded.

    """

    primary: WireEndpoint
    entry: LogEntry
    holders: set[str] = field(default_factory=set)
    is_discarded: bool = False
    ended: Event = field(default_factory=Event)


class WireGroup:
    """A database group with one primary and its replicas.

    Args:
        service: name of the service that the group belongs to.
        on_role_change: called after a promotion.
        keeps_replaced: whether a primary that is cut off goes on as primary
            after another endpoint was promoted.

    """

    def __init__(
        self,
        service: str,
        *,
        on_role_change: Callable[[], None],
        keeps_replaced: bool = False,
    ) -> None:
        """Prepare a group without endpoints."""
        self.service = service
        self.keeps_replaced = keeps_replaced
        self.term = 1
        self.endpoints: dict[str, WireEndpoint] = {}
        self.received: list[ReceivedLine] = []
        self.executed: list[ExecutedStatement] = []
        # Messages that the protocol forbids.
        self.violations: list[ReceivedLine] = []
        self.held_peak = HeldPeak()
        self.acknowledged_entries: list[LogEntry] = []
        self.lost_entries: list[LogEntry] = []
        self._sync_replicas = SYNC_REPLICAS
        self._pending: list[_PendingCommit] = []
        self._on_role_change = on_role_change
        self._nursery: Nursery | None = None
        self._connection_numbers = count(1)

    async def start(
        self, nursery: Nursery, data_centres: tuple[str, ...]
    ) -> None:
        """Start one endpoint in each data centre; the first is the primary.

        Args:
            nursery: runs the endpoints.
            data_centres: names of the data centres.

        """
        self._nursery = nursery
        for number, data_centre in enumerate(data_centres):
            name = f'{self.service}-{number}'
            endpoint = WireEndpoint(self, name, data_centre)
            await endpoint.start(nursery)
            self.endpoints[name] = endpoint
        next(iter(self.endpoints.values())).is_primary = True

    @property
    def primary(self) -> WireEndpoint | None:
        """The primary of the latest term, or None if there is none."""
        primaries = [
            each for each in self.endpoints.values() if each.is_primary
        ]
        return max(primaries, key=lambda each: each.terms.known, default=None)

    def replicas(self) -> list[WireEndpoint]:
        """Return the endpoints that are not the primary."""
        return [each for each in self.endpoints.values() if not each.is_primary]

    async def commit(
        self,
        primary: WireEndpoint,
        writes: dict[str, str],
        request_ids: tuple[str, ...],
    ) -> None:
        """Commit at the primary and wait until enough replicas hold it.

        Args:
            primary: endpoint that received the statements.
            writes: the written texts by row name.
            request_ids: ids of the statements that wrote them.

        Raises:
            BrokenResourceError: the endpoint has discarded the commit; its
                connection closes without an answer.

        """
        entry = LogEntry(
            primary.terms.known,
            primary.position[1] + 1,
            dict(writes),
            request_ids,
        )
        primary.log.append(entry)
        primary.applied_count = len(primary.log)
        pending = _PendingCommit(primary, entry)
        self._pending.append(pending)
        for replica in self.endpoints.values():
            if replica is not primary and self._nursery is not None:
                self._nursery.start_soon(
                    self._replicate, primary, replica, pending
                )
        try:
            if self._sync_replicas:
                await pending.ended.wait()
        finally:
            self._pending.remove(pending)
        if pending.is_discarded:
            raise BrokenResourceError('the commit was discarded')
        self.acknowledged_entries.append(entry)

    async def promote(self, endpoint: str) -> bool:
        """Promote an endpoint to primary of the next term.

        Args:
            endpoint: id of the endpoint.

        Returns:
            False if the endpoint is unknown or down, or has left the group by
            the time the promotion takes effect.

        """
        candidate = self.endpoints.get(endpoint)
        if candidate is None or candidate.faults.down:
            return False
        if candidate.is_primary:
            return True
        await sleep(PROMOTION_DURATION_S)
        if self.endpoints.get(endpoint) is not candidate:
            return False
        self.lost_entries.extend(
            entry
            for entry in self.acknowledged_entries
            if entry not in candidate.log
        )
        self.term += 1
        for each in self.endpoints.values():
            self._announce(candidate, each)
        candidate.applied_count = len(candidate.log)
        self._on_role_change()
        return True

    def catch_up(self, replica: WireEndpoint) -> None:
        """Copy the primary's log to a replica, if both run and are connected.

        Commits that waited for a replica are acknowledged.

        Args:
            replica: endpoint that receives the log.

        """
        primary = self.primary
        if primary is None or replica is primary or replica.terms.fenced:
            return
        if not (primary.is_connected and replica.is_connected):
            return
        replica.log = list(primary.log)
        replica.terms.known = max(replica.terms.known, primary.terms.known)
        replica.applied_count = min(replica.applied_count, len(replica.log))
        self._end_discarded(replica)
        for pending in self._pending:
            if any(entry is pending.entry for entry in replica.log):
                self._record_holder(pending, replica)
        self._schedule_apply(replica)

    def next_connection(self) -> int:
        """Return the number of a new connection."""
        return next(self._connection_numbers)

    def run_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay.

        Args:
            delay_s: the delay in seconds.
            action: what to run.

        """
        if self._nursery is not None:
            self._nursery.start_soon(_run_after, delay_s, action)

    def _announce(self, candidate: WireEndpoint, other: WireEndpoint) -> None:
        """Tell an endpoint that another one was promoted."""
        is_cut = other.faults.cut_from_group and other is not candidate
        if self.keeps_replaced and is_cut:
            return
        other.is_primary = other is candidate
        other.terms.known = self.term
        if other.terms.fenced <= self.term:
            other.terms.fenced = 0
        self.catch_up(other)

    async def _replicate(
        self,
        primary: WireEndpoint,
        replica: WireEndpoint,
        pending: _PendingCommit,
    ) -> None:
        await sleep(replica.faults.receive_delay_s)
        entry = pending.entry
        if not (primary.is_connected and replica.is_connected):
            return
        if replica.terms.fenced:
            return
        # Commits that a demoted primary had made still reach its replicas.
        if not primary.terms.known == entry.term == replica.terms.known:
            return
        replica.receive_entry(primary, entry)
        self._end_discarded(replica)
        self._record_holder(pending, replica)
        self._schedule_apply(replica)

    def _end_discarded(self, replaced: WireEndpoint) -> None:
        """End the commits that a replaced primary's log lacks.

        A session that waits for such a commit would hold one of the
        endpoint's connections for ever.
        """
        for pending in self._pending:
            if pending.primary is replaced and not any(
                entry is pending.entry for entry in replaced.log
            ):
                pending.is_discarded = True
                pending.ended.set()

    def _record_holder(
        self, pending: _PendingCommit, replica: WireEndpoint
    ) -> None:
        pending.holders.add(replica.endpoint)
        if len(pending.holders) >= self._sync_replicas:
            pending.ended.set()

    def _schedule_apply(self, replica: WireEndpoint) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(
                _apply_after_lag, replica, len(replica.log)
            )


async def _run_after(delay_s: float, action: Callable[[], None]) -> None:
    await sleep(delay_s)
    action()


async def _apply_after_lag(replica: WireEndpoint, entry_count: int) -> None:
    await sleep(replica.faults.apply_lag_s)
    replica.applied_count = max(
        replica.applied_count, min(entry_count, len(replica.log))
    )
