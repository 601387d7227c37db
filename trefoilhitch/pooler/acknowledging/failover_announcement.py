"""Announces a failover to the nodes, and learns what they have acknowledged."""

from collections.abc import Callable
from dataclasses import dataclass

from trio import open_nursery

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.peer import (
    FailoverNotice,
    FailoverNoticeReply,
    MemberBeat,
)
from trefoilhitch.pooler.acknowledged_positions import (
    AcknowledgedPositions,
)
from trefoilhitch.pooler.acknowledging.failover_notices import (
    FailoverNotices,
    ReceivedNotice,
)
from trefoilhitch.pooler.membership_view import MembershipView
from trefoilhitch.pooler.observations import later_position
from trefoilhitch.pooler.peer_client import PeerClient

NOTICE_TIMEOUT_S = 0.3
# States of nodes that serve no clients if they do not answer.
ENDING_STATES = frozenset(('failed', 'leaving'))


@dataclass(frozen=True, slots=True)
class Announcer:
    """What nodes need to announce their failovers.

    Args:
        membership: the known nodes.
        client: sends requests to other nodes.
        notices: the failovers that this node knows of.
        acknowledged: positions that this node has acknowledged.
        clock: returns seconds on a clock that includes suspended time.

    """

    membership: MembershipView
    client: PeerClient
    notices: FailoverNotices
    acknowledged: AcknowledgedPositions
    clock: Callable[[], float]

    def begin(self, service: str, attempt: str) -> 'FailoverAnnouncement':
        """Return the announcement of a failover that holds the lease.

        Args:
            service: service whose primary is replaced.
            attempt: unique id of the failover.

        """
        return FailoverAnnouncement(self, service, attempt)

    def reply(self, notice: FailoverNotice) -> FailoverNoticeReply:
        """Record the failover of another node.

        Args:
            notice: the failover.

        Returns:
            What this node has acknowledged; from now on it asks before it
            acknowledges more.

        """
        self.notices.record(
            notice.service,
            ReceivedNotice(notice.attempt, notice.address, self.clock()),
        )
        furthest = self.acknowledged.furthest(notice.service)
        if furthest is None:
            return FailoverNoticeReply()
        return FailoverNoticeReply(
            term=furthest.term, position=furthest.position
        )


class FailoverAnnouncement:
    """Tells all nodes of one failover.

    Args:
        announcer: this node's access to others.
        service: service whose primary is replaced.
        attempt: unique id of the failover.

    """

    def __init__(
        self, announcer: Announcer, service: str, attempt: str
    ) -> None:
        """Start before the first node is told."""
        # Position that some node has surely acknowledged, None if none has.
        self.floor: LogPosition | None = None
        self._announcer = announcer
        self._answered: set[str] = set()
        own = announcer.membership.heartbeat
        self._own = own.node
        self._notice = FailoverNotice(
            service=service, attempt=attempt, address=own.address
        )

    @property
    def unanswered(self) -> list[str]:
        """Names of the nodes that have not answered, sorted."""
        known = {beat.node for beat in self._announcer.membership.all_beats()}
        return sorted(known - self._answered)

    @property
    def lacks_answers(self) -> bool:
        """Whether a node that may still acknowledge commits did not answer."""
        beats = self._announcer.membership.all_beats()
        return any(
            beat.state not in ENDING_STATES and beat.node not in self._answered
            for beat in beats
        )

    async def send(self) -> None:
        """Tell the nodes that have not answered yet."""
        waiting = set(self.unanswered)
        async with open_nursery() as nursery:
            for beat in self._announcer.membership.all_beats():
                if beat.node in waiting:
                    nursery.start_soon(self._tell, beat)

    async def _tell(self, beat: MemberBeat) -> None:
        if beat.node == self._own:
            self._record(beat.node, self._announcer.reply(self._notice))
            return
        reply = await self._announcer.client.request(
            beat.address,
            'failover_notice',
            self._notice,
            FailoverNoticeReply,
            timeout_s=NOTICE_TIMEOUT_S,
        )
        if reply is not None:
            self._record(beat.node, reply)

    def _record(self, node: str, reply: FailoverNoticeReply) -> None:
        self._answered.add(node)
        if reply.position is not None:
            position = LogPosition(term=reply.term, position=reply.position)
            self.floor = later_position(self.floor, position)
