"""Brings what the store says into what this node believes."""

from dataclasses import dataclass
from random import Random

from trio import current_time, open_nursery

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.connection_pool import ConnectionPool
from trefoilhitch.pooler.current_declaration import (
    CurrentDeclaration,
    Declaration,
)
from trefoilhitch.pooler.endpoint_control import EndpointControl
from trefoilhitch.pooler.endpoint_registry import EndpointRecord
from trefoilhitch.pooler.object_watcher import (
    Changes,
    ChangeSource,
    ObjectWatcher,
)


@dataclass(frozen=True, slots=True)
class StoreSyncDependencies:
    """What following the store needs.

    Args:
        endpoints: entries of endpoints.
        declarations: the operators' declaration.
        cluster: takes the endpoints.
        declaration: takes the declaration.
        pool: connections to close when endpoints leave.
        control: connections to close when endpoints are gone.
        log: takes note of what changes.
        random: spreads retries.

    """

    endpoints: ChangeSource[EndpointRecord]
    declarations: ChangeSource[Declaration]
    cluster: ClusterState
    declaration: CurrentDeclaration
    pool: ConnectionPool
    control: EndpointControl
    log: DecisionLog
    random: Random


class StoreSync:
    """Follows endpoints and the declaration.

    Args:
        deps: what it needs.

    """

    def __init__(self, deps: StoreSyncDependencies) -> None:
        """Start without having read anything."""
        self._deps = deps
        self._endpoints = ObjectWatcher(
            kind='endpoints',
            source=deps.endpoints,
            replace_all=self._replace_endpoints,
            apply=self._apply_endpoint_changes,
            log=deps.log,
            random=deps.random,
        )
        self._declarations = ObjectWatcher(
            kind='declaration',
            source=deps.declarations,
            replace_all=self._apply_declarations,
            apply=self._apply_declarations,
            log=deps.log,
            random=deps.random,
        )

    @property
    def endpoints_listed(self) -> bool:
        """Whether the endpoints have been read."""
        return self._endpoints.listed

    async def run(self) -> None:
        """Follow the store for ever."""
        async with open_nursery() as nursery:
            nursery.start_soon(self._endpoints.run)
            nursery.start_soon(self._declarations.run)

    def remove_lost_endpoints(self) -> None:
        """Drop endpoints whose entries stayed away."""
        deps = self._deps
        for endpoint in deps.cluster.endpoints.drop_expired(current_time()):
            deps.log.event('endpoint_gone', endpoint=endpoint)
            deps.pool.close_idle(endpoint)
            deps.control.close(endpoint)
            deps.cluster.notify_change()

    def _replace_endpoints(self, listing: Changes[EndpointRecord]) -> None:
        for record in listing.present.values():
            self._apply_endpoint(record)
        endpoints = self._deps.cluster.endpoints
        endpoints.replace_all(listing.present, current_time())
        self._deps.cluster.notify_change()

    def _apply_endpoint_changes(self, changes: Changes[EndpointRecord]) -> None:
        for record in changes.present.values():
            self._apply_endpoint(record)
        for endpoint in changes.absent:
            self._deps.cluster.endpoints.mark_missing(endpoint, current_time())
        self._deps.cluster.notify_change()

    def _apply_endpoint(self, record: EndpointRecord) -> None:
        deps = self._deps
        known = deps.cluster.find(record.endpoint)
        deps.cluster.endpoints.put(record)
        if known == record:
            return
        deps.log.event(
            'endpoint_changed',
            endpoint=record.endpoint,
            service=record.service,
            role=record.role,
            leaving=record.leaving,
        )
        restarted = (
            known is not None and known.started_at_ms != record.started_at_ms
        )
        if restarted or record.leaving:
            deps.pool.close_idle(record.endpoint)
        if restarted:
            deps.control.close(record.endpoint)

    def _apply_declarations(self, changes: Changes[Declaration]) -> None:
        for declaration in changes.present.values():
            self._deps.declaration.apply_if_newer(declaration)
