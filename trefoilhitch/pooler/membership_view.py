"""The nodes that pool connections: who they are and who of them is live."""

from collections.abc import Callable, Iterable
from random import Random

from msgspec.structs import replace as replace_message

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.member_table import MemberTable

# One heartbeat of another node goes along with each so many messages, so that
# what they carry does not grow with the fleet.
RELAY_EVERY_MESSAGES = 3


class MembershipView:
    """What a node knows of the other nodes.

    Args:
        heartbeat: this node's first heartbeat.
        random: picks nodes to talk to.
        clock: seconds, on a clock that counts suspended time.

    """

    def __init__(
        self,
        *,
        heartbeat: MemberBeat,
        random: Random,
        clock: Callable[[], float],
    ) -> None:
        """Start knowing only of itself."""
        # Whether all nodes that had registered have been read from the store.
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
        """Make a new heartbeat of this node.

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
        """Say from now on that this node is about to end."""
        self._heartbeat = replace_message(self._heartbeat, state='leaving')

    def set_incarnation(self, incarnation: int) -> None:
        """Take an incarnation above that of an earlier process.

        Args:
            incarnation: the incarnation.

        """
        self._heartbeat = replace_message(
            self._heartbeat, incarnation=incarnation
        )

    def merge(self, heartbeats: Iterable[MemberBeat]) -> None:
        """Take over heartbeats.

        Args:
            heartbeats: heartbeats, new and old.

        """
        self._members = self._members.merge(heartbeats, self._clock())

    def heartbeats_to_send(self) -> list[MemberBeat]:
        """Return heartbeats for another node, this node's own first."""
        self._messages_sent += 1
        other = (
            [] if self._messages_sent % RELAY_EVERY_MESSAGES else self.sample(1)
        )
        return [self._heartbeat, *other]

    def live(self) -> list[MemberBeat]:
        """Return the live nodes, this one among them unless it leaves."""
        return self._members.live(self._clock())

    def peers(self) -> list[MemberBeat]:
        """Return the other nodes that can be reached."""
        return [
            beat
            for beat in self._members.reachable(self._clock())
            if beat.node != self._heartbeat.node
        ]

    def sample(self, count: int) -> list[MemberBeat]:
        """Return some of the other nodes that can be reached.

        Args:
            count: how many at most.

        Returns:
            Nodes in a random order.

        """
        others = self.peers()
        return self._random.sample(others, min(count, len(others)))

    def possibly_active(self) -> list[MemberBeat]:
        """Return the nodes that may still spend rates and hold connections."""
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
        """Return the address of the node to talk to next.

        Args:
            same_data_centre: whether it is in this node's data centre.

        Returns:
            Each such node in turn, in a random order, failed ones among
            them; None if there is none.

        """
        known = {
            member.beat.address
            for member in self._members.members.values()
            if member.beat.address != self._heartbeat.address
            and (member.beat.data_centre == self._heartbeat.data_centre)
            == same_data_centre
        }
        order = [
            each
            for each in self._gossip_order[same_data_centre]
            if each in known
        ]
        if not order:
            order = sorted(known)
            self._random.shuffle(order)
        self._gossip_order[same_data_centre] = order
        return order.pop() if order else None
