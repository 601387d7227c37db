"""Asynchronous replication from a primary to the other members of its group."""

from dataclasses import dataclass, field
from functools import partial

from trio import (
    CancelScope,
    Event,
    current_time,
    move_on_at,
    open_nursery,
    sleep,
)

from trefoilhitch._generated.endpoint import (
    GroupMember,
    Holding,
    ReplicateReply,
    ReplicateRequest,
)
from trefoilhitch.endpoint_client import decode_endpoint_error
from trefoilhitch.errors import RefusalError
from trefoilhitch.http_client import HttpClient
from trefoilhitch.json_client import JsonClient
from trefoilhitch_lab.database import Database
from trefoilhitch_lab.network import Link, Network

BEAT_INTERVAL_S = 0.1
SEND_TIMEOUT_S = 0.5
MAX_ENTRIES = 256


@dataclass(slots=True)
class Follower:
    """A member of the group as the primary knows it.

    Args:
        member: name and control address.
        held: position that it holds in the primary's term.
        proved_at: time at which the last round that it accepted began.
        following: position up to which its log is known to match.

    """

    member: GroupMember
    held: int = 0
    proved_at: float = 0
    following: int = 0


@dataclass(slots=True)
class Signal:
    """Wakes any number of waiters, again and again."""

    event: Event = field(default_factory=Event)

    def notify(self) -> None:
        """Wake all who wait now."""
        self.event.set()
        self.event = Event()


class Replicator:
    """Sends the log of a primary to the other members.

    Args:
        name: the primary.
        term: its term.
        database: its log.
        network: carries messages.

    """

    def __init__(
        self,
        *,
        name: str,
        term: int,
        database: Database,
        network: Network,
    ) -> None:
        """Start without followers."""
        self.scope = CancelScope()
        self.appended = Signal()
        self.progressed = Signal()
        self._name = name
        self._term = term
        self._database = database
        self._network = network
        self._followers: list[Follower] = []

    async def run(self, members: list[GroupMember]) -> None:
        """Replicate until the scope is cancelled.

        Args:
            members: all members of the group.

        """
        self._followers = [
            Follower(member, following=len(self._database.log))
            for member in members
            if member.name != self._name
        ]
        with self.scope:
            async with open_nursery() as nursery:
                for follower in self._followers:
                    nursery.start_soon(self._follow, follower)

    def holdings(self, since: float) -> list[Holding]:
        """Return who holds what, by rounds that began at a time or later.

        Args:
            since: monotonic time; 0 for any round.

        Returns:
            Holdings, the primary's own first.

        """
        own = Holding(endpoint=self._name, position=len(self._database.log))
        return [
            own,
            *(
                Holding(endpoint=follower.member.name, position=follower.held)
                for follower in self._followers
                if follower.proved_at >= since and follower.proved_at
            ),
        ]

    async def _follow(self, follower: Follower) -> None:
        client = JsonClient(
            transport=HttpClient(follower.member.control),
            error_decoder=decode_endpoint_error,
        )
        while True:
            wake = self.appended.event
            began = current_time()
            reply = await self._send(client, follower, began + SEND_TIMEOUT_S)
            if reply is None:
                await sleep(BEAT_INTERVAL_S)
                continue
            self._take(follower, reply, began)
            if follower.following < len(self._database.log):
                continue
            with move_on_at(began + BEAT_INTERVAL_S):
                await wake.wait()

    async def _send(
        self,
        client: JsonClient,
        follower: Follower,
        deadline: float,
    ) -> ReplicateReply | None:
        sent_to = follower.following
        previous = self._database.position_at(sent_to)
        req = ReplicateRequest(
            term=self._term,
            primary=self._name,
            previous_term=previous.term,
            previous_position=previous.position,
            entries=self._database.log[sent_to : sent_to + MAX_ENTRIES],
        )
        link = Link(self._network, self._name, follower.member.name)
        call = partial(
            client.post,
            '/v1/replicate',
            req,
            ReplicateReply,
            deadline,
        )
        try:
            return await link.exchange(deadline, call)
        except RefusalError:
            return None

    def _take(
        self, follower: Follower, reply: ReplicateReply, began: float
    ) -> None:
        if reply.accepted:
            follower.following = reply.held_position
            follower.held = reply.held_position
            follower.proved_at = began
        else:
            follower.following = min(
                max(0, follower.following - 1),
                reply.held_position,
            )
        self.progressed.notify()
