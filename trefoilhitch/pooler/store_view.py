"""Brings what the store says into what this node believes."""

from dataclasses import dataclass
from random import Random

from trio import current_time, open_nursery

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.control import EndpointControl
from trefoilhitch.pooler.current_declaration import (
    CurrentDeclaration,
    Declaration,
)
from trefoilhitch.pooler.endpoint_registry import EndpointRecord
from trefoilhitch.pooler.follower import Changes, ChangeSource, Follower
from trefoilhitch.pooler.link_pool import LinkPool


@dataclass(frozen=True, slots=True)
class StoreViewParts:
    """What following the store needs.

    Args:
        endpoints: entries of endpoints.
        declarations: the operators' declaration.
        knowledge: takes the endpoints.
        declared: takes the declaration.
        pool: connections to close when endpoints leave.
        control: connections to close when endpoints are gone.
        log: takes note of what changes.
        random: spreads retries.

    """

    endpoints: ChangeSource[EndpointRecord]
    declarations: ChangeSource[Declaration]
    knowledge: ClusterState
    declared: CurrentDeclaration
    pool: LinkPool
    control: EndpointControl
    log: DecisionLog
    random: Random


class StoreView:
    """Follows endpoints and the declaration.

    Args:
        parts: what it needs.

    """

    def __init__(self, parts: StoreViewParts) -> None:
        """Start without having read anything."""
        self._parts = parts
        self._endpoints = Follower(
            kind='endpoints',
            source=parts.endpoints,
            replace_all=self._list_endpoints,
            apply=self._change_endpoints,
            log=parts.log,
            random=parts.random,
        )
        self._declarations = Follower(
            kind='declaration',
            source=parts.declarations,
            replace_all=self._take_declarations,
            apply=self._take_declarations,
            log=parts.log,
            random=parts.random,
        )

    @property
    def listed(self) -> bool:
        """Whether the endpoints have been read."""
        return self._endpoints.listed

    async def run(self) -> None:
        """Follow the store for ever."""
        async with open_nursery() as nursery:
            nursery.start_soon(self._endpoints.run)
            nursery.start_soon(self._declarations.run)

    def forget_lost(self) -> None:
        """Drop endpoints whose entries stayed away."""
        parts = self._parts
        for endpoint in parts.knowledge.endpoints.drop_expired(current_time()):
            parts.log.event('endpoint_gone', endpoint=endpoint)
            parts.pool.retire(endpoint)
            parts.control.close(endpoint)
            parts.knowledge.notify_change()

    def _list_endpoints(self, listing: Changes[EndpointRecord]) -> None:
        for record in listing.present.values():
            self._take_endpoint(record)
        book = self._parts.knowledge.endpoints
        book.replace_all(listing.present, current_time())
        self._parts.knowledge.notify_change()

    def _change_endpoints(self, changes: Changes[EndpointRecord]) -> None:
        for record in changes.present.values():
            self._take_endpoint(record)
        for endpoint in changes.absent:
            self._parts.knowledge.endpoints.mark_missing(
                endpoint, current_time()
            )
        self._parts.knowledge.notify_change()

    def _take_endpoint(self, record: EndpointRecord) -> None:
        parts = self._parts
        known = parts.knowledge.find(record.endpoint)
        parts.knowledge.endpoints.put(record)
        if known == record:
            return
        parts.log.event(
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
            parts.pool.retire(record.endpoint)
        if restarted:
            parts.control.close(record.endpoint)

    def _take_declarations(self, changes: Changes[Declaration]) -> None:
        for declaration in changes.present.values():
            self._parts.declared.apply_if_newer(declaration)
