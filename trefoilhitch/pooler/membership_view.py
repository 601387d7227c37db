"""The nodes of the pooler and their liveness, as one node knows them."""

from collections.abc import Callable, Iterable
from random import Random

from msgspec.structs import replace as replace_message

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.pooler.member_registry import MemberRegistry

# A node that left or failed takes part in nothing; suspected nodes still do.
_LIVE_STATES = frozenset(('live', 'suspected'))


class MembershipView:
    """The nodes that this node knows.

    Args:
        heartbeat: first state of this node.
        random: chooses peers.
        clock: returns seconds on a clock that includes suspended time.

    """

    def __init__(
        self,
        *,
        heartbeat: MemberBeat,
        random: Random,
        clock: Callable[[], float],
    ) -> None:
        """Create a view that holds only this node."""
        # Whether the registered nodes have been read from the store.
        self.nodes_listed = False
        self._random = random
        self._clock = clock
        self._registry = MemberRegistry(heartbeat, clock())
        self._live: tuple[int, list[MemberBeat]] = (-1, [])

    @property
    def heartbeat(self) -> MemberBeat:
        """State of this node."""
        return self._registry.own

    @property
    def version(self) -> int:
        """Number that increases whenever a member or its state changes."""
        return self._registry.version

    def update_revision(self, revision: int) -> None:
        """Set the revision of the declaration that this node reports.

        Args:
            revision: revision of the declaration in force.

        """
        own = replace_message(self.heartbeat, revision=revision)
        self._registry.update_own(own, self._clock())

    def mark_store_lost(self, *, lost: bool) -> None:
        """Tell other nodes whether this one is without the store.

        Args:
            lost: whether the store does not answer this node.

        """
        own = self.heartbeat
        if own.store_lost != lost:
            changed = replace_message(
                own, store_lost=lost, counter=own.counter + 1
            )
            self._registry.update_own(changed, self._clock())

    def mark_leaving(self) -> None:
        """Mark this node as leaving from now on."""
        own = self.heartbeat
        leaving = replace_message(own, state='leaving', counter=own.counter + 1)
        self._registry.update_own(leaving, self._clock())

    def set_incarnation(self, incarnation: int) -> None:
        """Set an incarnation above that of an earlier process of this node.

        Args:
            incarnation: the incarnation.

        """
        own = replace_message(self.heartbeat, incarnation=incarnation)
        self._registry.update_own(own, self._clock())

    def merge(self, heartbeats: Iterable[MemberBeat]) -> None:
        """Merge states that another node or the store holds.

        Args:
            heartbeats: states, which may be older than known ones.

        """
        self._registry.merge(heartbeats, self._clock())

    def heartbeats_to_send(self) -> list[MemberBeat]:
        """Return the states of the next message, this node's own first."""
        own = self.heartbeat
        changes = self._registry.changes_to_send()
        return [own, *(beat for beat in changes if beat.node != own.node)]

    def record_answer(self) -> None:
        """Record that a node answered."""
        self._registry.record_answer()

    def record_silence(self, address: str, *, confirmed: bool) -> None:
        """Record that a node answered neither this node nor others.

        Args:
            address: peer address of the node.
            confirmed: whether another node responded that it does not reach
                the node either.

        """
        node = self._node_at(address)
        if node is not None:
            self._registry.record_silence(
                node.node, self._clock(), confirmed=confirmed
            )

    def all_beats(self) -> list[MemberBeat]:
        """Return the states of all known nodes."""
        return self._registry.beats()

    def doubts_about(self, address: str) -> list[MemberBeat]:
        """Return the state of a node that is not taken for live.

        Args:
            address: peer address of the node.

        Returns:
            Its state, nothing if it is live or unknown.

        """
        node = self._node_at(address)
        return [node] if node is not None and node.state != 'live' else []

    def live(self) -> list[MemberBeat]:
        """Return the live nodes, including this one unless it is leaving."""
        version, live = self._live
        if version != self.version:
            live = [
                beat
                for beat in self._registry.beats()
                if beat.state in _LIVE_STATES
            ]
            self._live = self.version, live
        return live

    def peers(self) -> list[MemberBeat]:
        """Return the other live nodes."""
        own = self.heartbeat.node
        return [beat for beat in self.live() if beat.node != own]

    def is_near(self, member: MemberBeat) -> bool:
        """Return whether a node is in this node's data centre.

        Args:
            member: state of the node.

        """
        return member.data_centre == self.heartbeat.data_centre

    def sample(self, count: int) -> list[MemberBeat]:
        """Return a random sample of the other live nodes.

        Args:
            count: maximum number of nodes.

        Returns:
            Nodes in random order.

        """
        others = self.peers()
        return self._random.sample(others, min(count, len(others)))

    def possibly_active(self) -> list[MemberBeat]:
        """Return the nodes that may still spend tokens or hold connections."""
        return [
            beat for beat in self._registry.beats() if beat.state != 'leaving'
        ]

    def expire(self) -> list[str]:
        """Declare suspected nodes failed after a timeout.

        Returns:
            Names of the nodes that were declared failed.

        """
        return self._registry.expire(self._clock())

    def _node_at(self, address: str) -> MemberBeat | None:
        return next(
            (
                beat
                for beat in self._registry.beats()
                if beat.address == address
            ),
            None,
        )
