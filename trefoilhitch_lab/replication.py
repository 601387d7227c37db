"""Replication of the primary's log to the other members of its group."""

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
from trefoilhitch_lab.network import Channel, Network

HEARTBEAT_INTERVAL_S = 0.1
SEND_TIMEOUT_S = 0.5
MAX_ENTRIES = 256


@dataclass(slots=True)
class ReplicaProgress:
    """Replication progress of one replica, as the primary knows it.

    Args:
        member: name and control address of the replica.
        confirmed_position: position up to which the replica confirmed the
            log in the primary's term.
        confirmed_at: time at which the last accepted request was sent; 0
            before the first one.
        matched_position: position up to which the replica's log is assumed
            to match; the next request starts there.

    """

    member: GroupMember
    confirmed_position: int = 0
    confirmed_at: float = 0
    matched_position: int = 0


@dataclass(slots=True)
class Signal:
    """A reusable event.

    Args:
        event: set by the next notification, and then replaced.

    """

    event: Event = field(default_factory=Event)

    def notify(self) -> None:
        """Wake all tasks that wait for the current event."""
        self.event.set()
        self.event = Event()


class Replicator:
    """Sends the log of a primary to the other members.

    Args:
        name: name of the primary.
        term: term of the primary.
        database: database whose log is replicated.
        network: network that carries the messages.

    """

    def __init__(
        self,
        *,
        name: str,
        term: int,
        database: Database,
        network: Network,
    ) -> None:
        """Prepare replication; `run` starts it."""
        self.scope = CancelScope()
        self.appended = Signal()
        self.progressed = Signal()
        self._name = name
        self._term = term
        self._database = database
        self._network = network
        self._replicas: list[ReplicaProgress] = []

    async def run(self, members: list[GroupMember]) -> None:
        """Replicate until the scope is cancelled.

        Args:
            members: all members of the group.

        """
        self._replicas = [
            ReplicaProgress(member, matched_position=len(self._database.log))
            for member in members
            if member.name != self._name
        ]
        with self.scope:
            async with open_nursery() as nursery:
                for replica in self._replicas:
                    nursery.start_soon(self._replicate_to, replica)

    def holdings(self, since: float) -> list[Holding]:
        """Return the positions that the members hold.

        Args:
            since: monotonic time; replicas count only if they accepted a
                request that was sent at this time or later. 0 admits any.

        Returns:
            Position of each member, the primary first.

        """
        own = Holding(endpoint=self._name, position=len(self._database.log))
        return [
            own,
            *(
                Holding(
                    endpoint=replica.member.name,
                    position=replica.confirmed_position,
                )
                for replica in self._replicas
                if replica.confirmed_at >= since and replica.confirmed_at
            ),
        ]

    async def _replicate_to(self, replica: ReplicaProgress) -> None:
        client = JsonClient(
            transport=HttpClient(replica.member.control),
            error_decoder=decode_endpoint_error,
        )
        while True:
            appended = self.appended.event
            sent_at = current_time()
            reply = await self._send(client, replica, sent_at + SEND_TIMEOUT_S)
            if reply is None:
                await sleep(HEARTBEAT_INTERVAL_S)
                continue
            self._apply_reply(replica, reply, sent_at)
            if replica.matched_position < len(self._database.log):
                continue
            with move_on_at(sent_at + HEARTBEAT_INTERVAL_S):
                await appended.wait()

    async def _send(
        self,
        client: JsonClient,
        replica: ReplicaProgress,
        deadline: float,
    ) -> ReplicateReply | None:
        previous_position = replica.matched_position
        previous = self._database.position_at(previous_position)
        req = ReplicateRequest(
            term=self._term,
            primary=self._name,
            previous_term=previous.term,
            previous_position=previous.position,
            entries=self._database.log[
                previous_position : previous_position + MAX_ENTRIES
            ],
        )
        channel = Channel(self._network, self._name, replica.member.name)
        send_request = partial(
            client.post,
            '/v1/replicate',
            req,
            ReplicateReply,
            deadline,
        )
        try:
            return await channel.exchange(deadline, send_request)
        except RefusalError:
            return None

    def _apply_reply(
        self, replica: ReplicaProgress, reply: ReplicateReply, sent_at: float
    ) -> None:
        if reply.accepted:
            replica.matched_position = reply.held_position
            replica.confirmed_position = reply.held_position
            replica.confirmed_at = sent_at
        else:
            replica.matched_position = min(
                max(0, replica.matched_position - 1),
                reply.held_position,
            )
        self.progressed.notify()
