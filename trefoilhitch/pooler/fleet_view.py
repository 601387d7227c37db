"""The nodes that pool connections: who they are and who of them is live."""

from collections.abc import Callable, Iterable
from random import Random

from msgspec.structs import replace as replace_message

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.membership import Membership

# One heartbeat of another node goes along with each so many messages, so that
# what they carry does not grow with the fleet.
TELL_EVERY = 3


class FleetView:
    """What a node knows of the other nodes.

    Args:
        beat: this node's first heartbeat.
        random: picks nodes to talk to.
        clock: seconds, on a clock that counts suspended time.

    """

    def __init__(
        self,
        *,
        beat: MemberBeat,
        random: Random,
        clock: Callable[[], float],
    ) -> None:
        """Start knowing only of itself."""
        # Whether all nodes that had registered have been read from the store.
        self.listed = False
        self._beat = beat
        self._random = random
        self._clock = clock
        self._membership = Membership().observe([beat], clock())
        self._told = 0
        self._order: dict[bool, list[str]] = {True: [], False: []}

    @property
    def beat(self) -> MemberBeat:
        """Newest heartbeat of this node."""
        return self._beat

    def next_beat(self, revision: int) -> MemberBeat:
        """Make a new heartbeat of this node.

        Args:
            revision: revision of the declaration in force.

        Returns:
            The heartbeat.

        """
        counter = self._beat.counter + 1
        self._beat = replace_message(
            self._beat, counter=counter, revision=revision
        )
        self.observe([self._beat])
        return self._beat

    def leave(self) -> None:
        """Say from now on that this node is about to end."""
        self._beat = replace_message(self._beat, state='leaving')

    def restart_as(self, incarnation: int) -> None:
        """Take an incarnation above that of an earlier process.

        Args:
            incarnation: the incarnation.

        """
        self._beat = replace_message(self._beat, incarnation=incarnation)

    def observe(self, beats: Iterable[MemberBeat]) -> None:
        """Take over heartbeats.

        Args:
            beats: heartbeats, new and old.

        """
        self._membership = self._membership.observe(beats, self._clock())

    def told(self) -> list[MemberBeat]:
        """Return heartbeats for another node, this node's own first."""
        self._told += 1
        other = [] if self._told % TELL_EVERY else self.sample(1)
        return [self._beat, *other]

    def live(self) -> list[MemberBeat]:
        """Return the live nodes, this one among them unless it leaves."""
        return self._membership.live(self._clock())

    def peers(self) -> list[MemberBeat]:
        """Return the other nodes that can be reached."""
        return [
            beat
            for beat in self._membership.reachable(self._clock())
            if beat.node != self._beat.node
        ]

    def sample(self, number: int) -> list[MemberBeat]:
        """Return some of the other nodes that can be reached.

        Args:
            number: how many at most.

        Returns:
            Nodes in a random order.

        """
        others = self.peers()
        return self._random.sample(others, min(number, len(others)))

    def remembered(self) -> list[MemberBeat]:
        """Return the nodes that may still spend rates and hold connections."""
        now = self._clock()
        return [
            member.beat
            for member in self._membership.members.values()
            if member.beat.state == 'live' or member.expires_at > now
        ]

    def forget(self) -> None:
        """Drop nodes that failed long ago."""
        self._membership = self._membership.forget(self._clock())

    def next_peer(self, *, near: bool) -> str | None:
        """Return the address of the node to talk to next.

        Args:
            near: whether it is in this node's data centre.

        Returns:
            Each such node in turn, in a random order, failed ones among
            them; None if there is none.

        """
        known = {
            member.beat.address
            for member in self._membership.members.values()
            if member.beat.address != self._beat.address
            and (member.beat.data_centre == self._beat.data_centre) == near
        }
        order = [each for each in self._order[near] if each in known]
        if not order:
            order = sorted(known)
            self._random.shuffle(order)
        self._order[near] = order
        return order.pop() if order else None
