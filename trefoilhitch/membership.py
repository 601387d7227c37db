"""Cluster membership of a node, and the placement of work on live nodes."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Literal, TypeAlias

from trio import current_time

from trefoilhitch._generated.peer import GroupChange, Heartbeat, MemberBeat
from trefoilhitch._generated.record import PlacementNode, PlacementRecord
from trefoilhitch._generated.store import Endpoint, VmList
from trefoilhitch.config import location_of
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.group_changes import GroupChanges
from trefoilhitch.member_table import MemberTable
from trefoilhitch.placement import choose_monitors, choose_owner

NodeState: TypeAlias = Literal['live', 'leaving']
MONITORS_PER_GROUP = 2
STORE_WATCHERS_PER_DATA_CENTRE = 2
UNREACHABLE_DURATION_S = 1.0
WORKERS_CACHE_TTL_S = 0.05


@dataclass(frozen=True, slots=True)
class Identity:
    """Name, address and location of a node.

    Args:
        node: name of the node.
        address: peer address as `ADDRESS:PEER_PORT`.
        region: region of the node.
        data_centre: data centre of the node.
        incarnation: number that increases with each start of the node.

    """

    node: str
    address: str
    region: str
    data_centre: str
    incarnation: int

    @property
    def location(self) -> PlacementNode:
        """Return the node's name, region and data centre."""
        return PlacementNode(
            name=self.node,
            region=self.region,
            data_centre=self.data_centre,
        )


@dataclass(frozen=True, slots=True)
class _CachedOwner:
    owner: str
    nodes: list[PlacementNode]


class Membership:
    """Tracks live nodes, and assigns endpoints and monitors to them.

    Args:
        identity: identity of this node.
        log: records placement decisions.
        clock: returns monotonic time in seconds.

    """

    def __init__(
        self,
        *,
        identity: Identity,
        log: DecisionLog,
        clock: Callable[[], float] = current_time,
    ) -> None:
        """Start with this node as the only member."""
        self.identity = identity
        self.state: NodeState = 'live'
        self._clock = clock
        self._log = log
        self._table = MemberTable(own=identity.node)
        self._counter = 0
        self._listed_addresses: dict[str, str] = {}
        self._unreachable_until: dict[str, float] = {}
        self._changes = GroupChanges()
        self._listeners: list[Callable[[GroupChange], None]] = []
        self._cached_owners: dict[str, _CachedOwner] = {}
        self._cached_workers: list[PlacementNode] = []
        self._workers_expire_at = -math.inf
        self.advance_heartbeat(0)

    def advance_heartbeat(self, revision: int) -> Heartbeat:
        """Increment this node's heartbeat counter.

        Args:
            revision: revision of the configuration in force on this node.

        Returns:
            The heartbeats of all reachable nodes, and recent changes of
            primaries.

        """
        self._counter += 1
        own = MemberBeat(
            node=self.identity.node,
            address=self.identity.address,
            region=self.identity.region,
            data_centre=self.identity.data_centre,
            incarnation=self.identity.incarnation,
            counter=self._counter,
            state=self.state,
            revision=revision,
        )
        self.merge(Heartbeat(beats=[own]))
        return self.heartbeat()

    def heartbeat(self) -> Heartbeat:
        """Return the message that this node would send to a peer now.

        Returns:
            The heartbeats of all reachable nodes, and recent changes of
            primaries.

        """
        return Heartbeat(
            beats=self.reachable(),
            changes=self._changes.unexpired(self._clock()),
        )

    def exchange(self, heartbeat: Heartbeat) -> Heartbeat:
        """Merge a peer's message and build the response to it.

        Args:
            heartbeat: all heartbeats that the peer has.

        Returns:
            The heartbeats that the peer does not have yet, and recent changes
            of primaries.

        """
        self.merge(heartbeat)
        now = self._clock()
        return Heartbeat(
            beats=self._table.newer_than(heartbeat.beats, now),
            changes=self._changes.unexpired(now),
        )

    def merge(self, heartbeat: Heartbeat) -> None:
        """Merge received heartbeats and changes of primaries.

        Args:
            heartbeat: heartbeats of any nodes, and changes of primaries.

        """
        now = self._clock()
        merged = self._table.merge(heartbeat.beats, now)
        self._table = merged.without_expired(now)
        if heartbeat.changes:
            self.apply_changes(heartbeat.changes)

    def apply_changes(self, changes: Iterable[GroupChange]) -> None:
        """Apply changes of primaries and notify listeners of the newer ones.

        The newer changes are also sent with this node's next heartbeats.

        Args:
            changes: changes received from peers or made by this node.

        """
        newer = self._changes.newer_than_known(changes)
        self._changes = self._changes.merge(newer, self._clock())
        for change in newer:
            for notify in self._listeners:
                notify(change)

    def on_change(self, notify: Callable[[GroupChange], None]) -> None:
        """Register a listener for changes of primaries.

        Args:
            notify: called once for each newer change.

        """
        self._listeners.append(notify)

    def update_listed_vms(self, vms: VmList) -> None:
        """Replace the addresses from the platform's list of VMs.

        Args:
            vms: the list, which may be outdated.

        """
        self._listed_addresses = {vm.name: vm.address for vm in vms.vms}

    def mark_unreachable(self, node: str) -> None:
        """Assign no work to a node for `UNREACHABLE_DURATION_S`.

        Called when a connection to the node cannot be opened.

        Args:
            node: name of the node.

        """
        self._unreachable_until[node] = self._clock() + UNREACHABLE_DURATION_S
        self._workers_expire_at = -math.inf

    def reachable(self) -> list[MemberBeat]:
        """Return the newest heartbeats of all nodes that have not failed."""
        return self._table.reachable(self._clock())

    def is_isolated(self) -> bool:
        """Return whether other nodes are known but none is reachable.

        Returns:
            True if this node is cut off from all others.

        """
        others = len(self.reachable()) - 1
        return not others and bool(self.peer_addresses())

    def peer_addresses(self) -> list[str]:
        """Return the addresses of all other nodes, ordered by node name.

        A reachable node's address comes from its heartbeat, any other address
        from the list of VMs.
        """
        reachable = {beat.node: beat.address for beat in self.reachable()}
        known = {**self._listed_addresses, **reachable}
        known.pop(self.identity.node, None)
        return [address for _, address in sorted(known.items())]

    def revisions(self) -> list[tuple[int, str]]:
        """Return all nodes' revisions and addresses, the highest first."""
        return sorted(
            ((beat.revision, beat.address) for beat in self.reachable()),
            reverse=True,
        )

    def address_of(self, node: str) -> str | None:
        """Return a node's peer address.

        Args:
            node: name of the node.

        Returns:
            `ADDRESS:PEER_PORT`, or None if the node is unknown.

        """
        member = self._table.members.get(node)
        return (
            member.beat.address if member else self._listed_addresses.get(node)
        )

    def incarnation_of(self, node: str) -> int | None:
        """Return the incarnation in a node's newest heartbeat.

        Args:
            node: name of the node.

        Returns:
            The incarnation, or None if no heartbeat is recorded.

        """
        member = self._table.members.get(node)
        return member.beat.incarnation if member else None

    def owner_of(self, endpoint: Endpoint) -> str:
        """Return the node that owns an endpoint's slots.

        Args:
            endpoint: declared endpoint.

        Returns:
            The owner's name.

        """
        nodes = self._workers()
        cached = self._cached_owners.get(endpoint.name)
        if cached is not None and cached.nodes is nodes:
            return cached.owner
        chosen = (
            choose_owner(location_of(endpoint), nodes) or self.identity.node
        )
        self._cached_owners[endpoint.name] = _CachedOwner(chosen, nodes)
        if cached is None or cached.owner != chosen:
            self._log_placement(endpoint, nodes, chosen)
        return chosen

    def monitors_of(self, service: str) -> list[str]:
        """Return the nodes that monitor a service's database group.

        Args:
            service: name of the service.

        Returns:
            Node names, ordered by rank.

        """
        return choose_monitors(service, self._workers(), MONITORS_PER_GROUP)

    def is_store_watcher(self) -> bool:
        """Return whether this node watches the store for its data centre.

        Returns:
            True if it is one of the `STORE_WATCHERS_PER_DATA_CENTRE` chosen
            nodes.

        """
        local_nodes = [
            node
            for node in self._workers()
            if node.data_centre == self.identity.data_centre
        ]
        return self.identity.node in choose_monitors(
            'watcher', local_nodes, STORE_WATCHERS_PER_DATA_CENTRE
        )

    def _workers(self) -> list[PlacementNode]:
        """Return the nodes that may be given work.

        The same list object is returned until the set of nodes changes, so
        that `owner_of` can compare by identity.
        """
        now = self._clock()
        if now < self._workers_expire_at:
            return self._cached_workers
        workers = [
            PlacementNode(
                name=beat.node,
                region=beat.region,
                data_centre=beat.data_centre,
            )
            for beat in self._table.live(now)
            if self._unreachable_until.get(beat.node, 0) <= now
        ]
        if workers != self._cached_workers:
            self._cached_workers = workers
        self._workers_expire_at = now + WORKERS_CACHE_TTL_S
        return self._cached_workers

    def _log_placement(
        self,
        endpoint: Endpoint,
        nodes: list[PlacementNode],
        chosen: str,
    ) -> None:
        self._log.decision(
            PlacementRecord(
                kind='placement',
                at=self._clock(),
                endpoint=endpoint.name,
                region=endpoint.region,
                data_centre=endpoint.data_centre,
                nodes=nodes,
                owner=chosen,
            ),
        )
