"""Applies the store's endpoints and declaration to this node's state."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from trio import current_time

from trefoilhitch._generated.peer import EntriesReply
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.connection_pool import ConnectionPool
from trefoilhitch.pooler.current_declaration import (
    CurrentDeclaration,
    Declaration,
)
from trefoilhitch.pooler.endpoint_control import EndpointControl
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.entry_log import EntryLog, read_changes
from trefoilhitch.pooler.era_numbers import NO_ERA
from trefoilhitch.pooler.evacuation.evacuation_feed import EvacuationFeed
from trefoilhitch.pooler.object_watcher import (
    Changes,
    ChangeSource,
    ObjectWatcher,
)
from trefoilhitch.pooler.store_era import StoreEra


@dataclass(frozen=True, slots=True)
class StoreSyncDependencies:
    """Dependencies of the store's synchronisation.

    Args:
        endpoints: source of the endpoints' entries.
        declarations: source of the operators' declaration.
        cluster: receives the endpoints.
        declaration: receives the declaration.
        pool: closes idle connections when endpoints leave.
        control: closes its connections when endpoints are gone.
        log: records changes of endpoints.
        random: adds jitter to retries.
        store_era: era of the store.
        may_watch: returns whether this node watches the store.
        spread: tells other nodes that this one has something newer; the
            argument tells whether it comes from the store.
        evacuations: source and receiver of the evacuations, None if the
            deployment has none.

    """

    endpoints: ChangeSource[EndpointRecord]
    declarations: ChangeSource[Declaration]
    cluster: ClusterState
    declaration: CurrentDeclaration
    pool: ConnectionPool
    control: EndpointControl
    log: DecisionLog
    random: Random
    store_era: StoreEra
    may_watch: Callable[[], bool]
    spread: Callable[[bool], None]
    evacuations: EvacuationFeed | None = None


class StoreSync:
    """Watches the endpoints and the declaration in the store.

    Args:
        deps: dependencies of the synchronisation.

    """

    def __init__(self, deps: StoreSyncDependencies) -> None:
        """Start before the first listing."""
        self.entry_log = EntryLog()
        self._is_applying_peer_entries = False
        self._deps = deps
        self._endpoints = ObjectWatcher(
            kind='endpoints',
            source=deps.endpoints,
            replace_all=self._replace_endpoints,
            apply=self._apply_endpoint_changes,
            log=deps.log,
            random=deps.random,
            store_era=deps.store_era,
            may_watch=deps.may_watch,
        )
        self._declarations = ObjectWatcher(
            kind='declaration',
            source=deps.declarations,
            replace_all=self._apply_declarations,
            apply=self._apply_declarations,
            log=deps.log,
            random=deps.random,
            store_era=deps.store_era,
            may_watch=deps.may_watch,
        )
        self._evacuations = (
            ObjectWatcher(
                kind='evacuations',
                source=deps.evacuations.source,
                replace_all=deps.evacuations.replace_all,
                apply=deps.evacuations.apply,
                log=deps.log,
                random=deps.random,
                store_era=deps.store_era,
                may_watch=deps.may_watch,
            )
            if deps.evacuations
            else None
        )

    @property
    def endpoints_listed(self) -> bool:
        """Whether the endpoints have been listed."""
        return self._endpoints.listed

    @property
    def is_store_lost(self) -> bool:
        """Whether the store does not answer this node."""
        watchers = (self._endpoints, self._declarations, self._evacuations)
        return any(each is not None and each.is_failing for each in watchers)

    @property
    def evacuations_listed(self) -> bool:
        """Whether the evacuations have been listed, or none are kept."""
        return self._evacuations is None or self._evacuations.listed

    def apply_entries(self, reply: EntriesReply) -> None:
        """Apply the entries that another node sent.

        Args:
            reply: entries that changed after this node's revision.

        """
        if not self._endpoints.listed:
            return
        self._is_applying_peer_entries = True
        try:
            self._endpoints.apply_from_peer(read_changes(reply))
        finally:
            self._is_applying_peer_entries = False

    async def watch_endpoints(self) -> None:
        """Watch the endpoints' entries until cancelled."""
        await self._endpoints.run()

    async def watch_declaration(self) -> None:
        """Watch the declaration until cancelled."""
        await self._declarations.run()

    async def watch_evacuations(self) -> None:
        """Watch the evacuations until cancelled, if any are kept."""
        if self._evacuations is not None:
            await self._evacuations.run()

    def remove_lost_endpoints(self) -> None:
        """Remove endpoints whose entries have been missing for too long."""
        deps = self._deps
        for endpoint in deps.cluster.endpoints.drop_expired(current_time()):
            deps.pool.close_idle(endpoint)
            deps.control.close(endpoint)
            deps.cluster.notify_change()
        self._log_ended()

    def _replace_endpoints(self, listing: Changes[EndpointRecord]) -> None:
        is_restored = self.entry_log.era not in {NO_ERA, listing.era}
        self.entry_log.replace_all(listing)
        if is_restored:
            self._spread_entries()
        for record in listing.present.values():
            self._apply_endpoint(record)
        endpoints = self._deps.cluster.endpoints
        endpoints.replace_all(listing.present, current_time())
        self._log_ended()
        self._deps.cluster.notify_change()

    def _apply_endpoint_changes(self, changes: Changes[EndpointRecord]) -> None:
        self.entry_log.apply(changes)
        if changes.present or changes.absent:
            self._spread_entries()
        for record in changes.present.values():
            self._apply_endpoint(record)
        for endpoint in changes.absent:
            self._deps.cluster.endpoints.mark_missing(endpoint, current_time())
        self._log_ended()
        self._deps.cluster.notify_change()

    def _log_ended(self) -> None:
        """Log which members of groups have ended."""
        endpoints = self._deps.cluster.endpoints
        for ended in endpoints.ended.take():
            if endpoints.get(ended.record.endpoint) is None:
                endpoints.listings.forget(ended.record.endpoint)
            self._deps.log.event(
                'endpoint_gone',
                endpoint=ended.record.endpoint,
                service=ended.record.service,
                address=ended.record.address,
                reason=ended.end.value,
            )

    def _spread_entries(self) -> None:
        self._deps.spread(not self._is_applying_peer_entries)

    def _apply_endpoint(self, entry: EndpointRecord) -> None:
        deps = self._deps
        known = deps.cluster.find(entry.endpoint)
        was_listed = deps.cluster.endpoints.was_listed(entry.endpoint)
        record = deps.cluster.endpoints.put(entry)
        deps.cluster.endpoints.listings.record(entry, current_time())
        if record.leaving:
            # One that this node never saw ready may have begun long ago.
            since = current_time() if was_listed else -math.inf
            deps.cluster.endpoints.record_leaving(record.endpoint, since)
        if known == record:
            return
        restarted = (
            known is not None and known.started_at_ms != record.started_at_ms
        )
        deps.log.event(
            'endpoint_changed',
            endpoint=record.endpoint,
            service=record.service,
            role=record.role,
            leaving=record.leaving,
            started_at_ms=record.started_at_ms,
            restarted=restarted,
            first=not was_listed,
        )
        if restarted or record.leaving:
            deps.pool.close_idle(record.endpoint)
        if restarted:
            deps.control.close(record.endpoint)

    def _apply_declarations(self, changes: Changes[Declaration]) -> None:
        for declaration in changes.present.values():
            if self._deps.declaration.apply_if_newer(declaration):
                self._deps.spread(True)
