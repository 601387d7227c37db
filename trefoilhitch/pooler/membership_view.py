"""The nodes of the pooler and their liveness, as one node knows them."""

from collections.abc import Callable, Iterable
from random import Random

from msgspec.structs import replace as replace_message

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.member_table import MemberTable

# One message in this many relays a heartbeat of another node, so that the size
# of messages does not grow with the number of nodes.
RELAY_EVERY_MESSAGES = 3


class MembershipView:
    """The nodes that this node knows.

    Args:
        heartbeat: first heartbeat of this node.
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
        self._heartbeat = heartbeat
        self._random = random
        self._clock = clock
        self._members = MemberTable().merge([heartbeat], clock())
        self._messages_sent = 0
        self._gossip_order: dict[bool, list[str]] = {True: [], False: []}

    @property
    def heartbeat(self) -> MemberBeat:
        """Newest heartbeat of this node."""
        return self._heartbeat

    def next_heartbeat(self, revision: int) -> MemberBeat:
        """Create the next heartbeat of this node.

        Args:
            revision: revision of the declaration in force.

        Returns:
            The heartbeat.

        """
        counter = self._heartbeat.counter + 1
        self._heartbeat = replace_message(
            self._heartbeat, counter=counter, revision=revision
        )
        self.merge([self._heartbeat])
        return self._heartbeat

    def mark_leaving(self) -> None:
        """Mark this node as leaving in its heartbeats from now on."""
        self._heartbeat = replace_message(self._heartbeat, state='leaving')

    def set_incarnation(self, incarnation: int) -> None:
        """Set an incarnation above that of an earlier process of this node.

        Args:
            incarnation: the incarnation.

        """
        self._heartbeat = replace_message(
            self._heartbeat, incarnation=incarnation
        )

    def merge(self, heartbeats: Iterable[MemberBeat]) -> None:
        """Merge heartbeats into the membership.

        Args:
            heartbeats: heartbeats, which may be older than known ones.

        """
        self._members = self._members.merge(heartbeats, self._clock())

    def heartbeats_to_send(self) -> list[MemberBeat]:
        """Return the heartbeats of the next message, this node's own first."""
        self._messages_sent += 1
        other = (
            [] if self._messages_sent % RELAY_EVERY_MESSAGES else self.sample(1)
        )
        return [self._heartbeat, *other]

    def live(self) -> list[MemberBeat]:
        """Return the live nodes, including this one unless it is leaving."""
        return self._members.live(self._clock())

    def peers(self) -> list[MemberBeat]:
        """Return the other reachable nodes."""
        return [
            heartbeat
            for heartbeat in self._members.reachable(self._clock())
            if heartbeat.node != self._heartbeat.node
        ]

    def sample(self, count: int) -> list[MemberBeat]:
        """Return a random sample of the other reachable nodes.

        Args:
            count: maximum number of nodes.

        Returns:
            Nodes in random order.

        """
        others = self.peers()
        return self._random.sample(others, min(count, len(others)))

    def possibly_active(self) -> list[MemberBeat]:
        """Return the nodes that may still spend tokens or hold connections."""
        now = self._clock()
        return [
            member.beat
            for member in self._members.members.values()
            if member.beat.state == 'live' or member.expires_at > now
        ]

    def drop_expired(self) -> None:
        """Drop nodes that failed long ago."""
        self._members = self._members.without_expired(self._clock())

    def next_gossip_address(self, *, same_data_centre: bool) -> str | None:
        """Return the address of the next node to exchange state with.

        Successive calls return each known node in turn, in random order and
        including failed ones.

        Args:
            same_data_centre: whether to choose among the nodes of this node's
                data centre or among the others.

        Returns:
            A peer address, None if there is no such node.

        """
        known = {
            member.beat.address
            for member in self._members.members.values()
            if member.beat.address != self._heartbeat.address
            and (member.beat.data_centre == self._heartbeat.data_centre)
            == same_data_centre
        }
        order = [
            address
            for address in self._gossip_order[same_data_centre]
            if address in known
        ]
        if not order:
            order = sorted(known)
            self._random.shuffle(order)
        self._gossip_order[same_data_centre] = order
        return order.pop() if order else None
