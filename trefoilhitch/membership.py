"""What a node knows of the fleet: itself, its peers, and who owns what."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Literal, TypeAlias

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
    """Who and where a node is.

    Args:
        node: its name.
        address: its `ADDRESS:PEER_PORT`.
        region: its region.
        data_centre: its data centre.
        incarnation: number that is higher after each start.

    """

    node: str
    address: str
    region: str
    data_centre: str
    incarnation: int

    @property
    def location(self) -> PlacementNode:
        """Return where the node is."""
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
    """Tracks live nodes, and places endpoints and monitors on them.

    Args:
        identity: this node.
        clock: returns monotonic time.
        log: takes note of placements.

    """

    def __init__(
        self,
        *,
        identity: Identity,
        clock: Callable[[], float],
        log: DecisionLog,
    ) -> None:
        """Start alone."""
        self.identity = identity
        self.state: NodeState = 'live'
        self._clock = clock
        self._log = log
        self._table = MemberTable()
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
        """Advance this node's heartbeat.

        Args:
            revision: configuration that is in force here.

        Returns:
            All heartbeats known, and recent changes of primaries.

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
        """Return all that this node would tell a peer now.

        Returns:
            Heartbeats, and recent changes of primaries.

        """
        return Heartbeat(
            beats=self.reachable(),
            changes=self._changes.unexpired(self._clock()),
        )

    def exchange(self, heartbeat: Heartbeat) -> Heartbeat:
        """Take a peer's heartbeat, and answer with what it does not know.

        Args:
            heartbeat: all that the peer knows.

        Returns:
            Newer heartbeats, and recent changes of primaries.

        """
        self.merge(heartbeat)
        now = self._clock()
        return Heartbeat(
            beats=self._table.newer_than(heartbeat.beats, now),
            changes=self._changes.unexpired(now),
        )

    def merge(self, heartbeat: Heartbeat) -> None:
        """Take heartbeats that were heard.

        Args:
            heartbeat: heartbeats of any nodes.

        """
        now = self._clock()
        merged = self._table.merge(heartbeat.beats, now)
        self._table = merged.without_expired(now)
        if heartbeat.changes:
            self.apply_changes(heartbeat.changes)

    def apply_changes(self, changes: Iterable[GroupChange]) -> None:
        """Take changes of primaries, and pass on what is news.

        Args:
            changes: what was heard, or what this node did.

        """
        newer = self._changes.newer_than_known(changes)
        self._changes = self._changes.merge(newer, self._clock())
        for change in newer:
            for notify in self._listeners:
                notify(change)

    def on_change(self, notify: Callable[[GroupChange], None]) -> None:
        """Have a function called for each news of a primary.

        Args:
            notify: the function.

        """
        self._listeners.append(notify)

    def update_listed_vms(self, vms: VmList) -> None:
        """Take the platform's list of VMs.

        Args:
            vms: the list, which may lag.

        """
        self._listed_addresses = {vm.name: vm.address for vm in vms.vms}

    def mark_unreachable(self, node: str) -> None:
        """Give a node no work for a while, because it refused a connection.

        Args:
            node: its name.

        """
        self._unreachable_until[node] = self._clock() + UNREACHABLE_DURATION_S
        self._workers_expire_at = -math.inf

    def reachable(self) -> list[MemberBeat]:
        """Return the newest heartbeats of all nodes that answer."""
        return self._table.reachable(self._clock())

    def is_isolated(self) -> bool:
        """Tell whether other nodes are known, but none answers.

        Returns:
            True if this node is cut off from all others.

        """
        others = len(self.reachable()) - 1
        return not others and bool(self.peer_addresses())

    def peer_addresses(self) -> list[str]:
        """Return the addresses of all other nodes, heard or only listed."""
        reachable = {beat.node: beat.address for beat in self.reachable()}
        known = {**self._listed_addresses, **reachable}
        known.pop(self.identity.node, None)
        return [address for _, address in sorted(known.items())]

    def newest_revision(self) -> tuple[int, str]:
        """Return the highest revision heard of, and who has it."""
        newest = max(self.reachable(), key=lambda beat: beat.revision)
        return newest.revision, newest.address

    def address_of(self, node: str) -> str | None:
        """Return a node's address.

        Args:
            node: its name.

        Returns:
            `ADDRESS:PEER_PORT`, or None if it is not known.

        """
        member = self._table.members.get(node)
        return (
            member.beat.address if member else self._listed_addresses.get(node)
        )

    def incarnation_of(self, node: str) -> int | None:
        """Return the incarnation of a node that was last heard.

        Args:
            node: its name.

        Returns:
            The incarnation, or None if it is not known.

        """
        member = self._table.members.get(node)
        return member.beat.incarnation if member else None

    def owner_of(self, endpoint: Endpoint) -> str:
        """Return the node that owns an endpoint's slots.

        Args:
            endpoint: the declared endpoint.

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
        """Return the nodes that monitor a service's group, by rank.

        Args:
            service: its name.

        Returns:
            Node names.

        """
        return choose_monitors(service, self._workers(), MONITORS_PER_GROUP)

    def is_store_watcher(self) -> bool:
        """Tell whether this node watches the store for its data centre.

        Returns:
            True if it is one of the chosen few.

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
        """Return the nodes that take work; the same list while they stay."""
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
