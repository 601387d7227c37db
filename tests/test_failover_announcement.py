"""What the holder of a lease learns from the nodes that it tells."""

from random import Random
from typing import Any, cast

import pytest
from trio import current_time, sleep

from tests.support import with_virtual_clock
from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.peer import (
    FailoverNotice,
    FailoverNoticeReply,
    MemberBeat,
)
from trefoilhitch.pooler.acknowledged_positions import AcknowledgedPositions
from trefoilhitch.pooler.acknowledging.failover_announcement import (
    NOTICE_TIMEOUT_S,
    Announcer,
    FailoverAnnouncement,
)
from trefoilhitch.pooler.acknowledging.failover_notices import (
    FailoverNotices,
    ReceivedNotice,
)
from trefoilhitch.pooler.membership_view import MembershipView

SERVICE = 'ledger'
ATTEMPT = 'node-1/1'
OWN = 'node-1'
ADDRESSES = {OWN: '127.0.0.1:1', 'node-2': '127.0.0.1:2', 'node-3': '[::1]:3'}
NOTICE = FailoverNotice(
    service=SERVICE, attempt=ATTEMPT, address=ADDRESSES[OWN]
)
NONE_ACKNOWLEDGED = FailoverNoticeReply()


def at(term: int, position: int) -> LogPosition:
    """Return a position."""
    return LogPosition(term=term, position=position)


def reply(term: int, position: int) -> FailoverNoticeReply:
    """Return the answer of a node that has acknowledged commits."""
    return FailoverNoticeReply(term=term, position=position)


def beat(node: str, state: str = 'live') -> MemberBeat:
    """Return the state of a node."""
    return MemberBeat(
        node=node,
        address=ADDRESSES[node],
        region='himal',
        data_centre='patan',
        incarnation=1,
        counter=1,
        state=cast('Any', state),
    )


class Nodes:
    """The nodes, with the answers that a test sets; others are silent."""

    def __init__(self, *others: MemberBeat) -> None:
        """Start with this node and others."""
        self.replies: dict[str, FailoverNoticeReply] = {}
        self.asked: list[str] = []
        self.membership = MembershipView(
            heartbeat=beat(OWN), random=Random(0), clock=current_time
        )
        self.membership.merge(others)
        self.acknowledged = AcknowledgedPositions()
        self.notices = FailoverNotices()
        self.announcer = Announcer(
            membership=self.membership,
            client=cast('Any', self),
            notices=self.notices,
            acknowledged=self.acknowledged,
            clock=current_time,
        )

    def begin(self) -> FailoverAnnouncement:
        """Return the announcement of this node's failover."""
        return self.announcer.begin(SERVICE, ATTEMPT)

    async def request(
        self,
        address: str,
        call: str,
        message: FailoverNotice,
        _reply_type: type[FailoverNoticeReply],
        *,
        timeout_s: float,
    ) -> FailoverNoticeReply | None:
        """Answer as another node, None after the timeout if it is silent."""
        assert (call, message) == ('failover_notice', NOTICE)
        self.asked.append(address)
        answer = self.replies.get(address)
        if answer is None:
            await sleep(timeout_s)
        return answer

    def set_reply(self, node: str, answer: FailoverNoticeReply) -> None:
        """Let another node answer from now on."""
        self.replies[ADDRESSES[node]] = answer


@with_virtual_clock
async def test_own_node_is_recorded_without_a_request() -> None:
    """Guards against a holder that acknowledges without its own permission."""
    nodes = Nodes()
    nodes.acknowledged.record(SERVICE, at(1, 7))
    nodes.acknowledged.record('billing', at(1, 9))
    announcement = nodes.begin()
    assert announcement.unanswered == [OWN]
    await announcement.send()
    assert not nodes.asked
    assert announcement.floor == at(1, 7)
    assert not announcement.unanswered
    assert not announcement.lacks_answers
    assert nodes.notices.newer_than(SERVICE, 0) == ReceivedNotice(
        ATTEMPT, ADDRESSES[OWN], 0
    )
    assert nodes.notices.newer_than('billing', 0) is None


@pytest.mark.parametrize(
    ('own', 'others', 'floor'),
    [
        (None, (NONE_ACKNOWLEDGED, NONE_ACKNOWLEDGED), None),
        (None, (NONE_ACKNOWLEDGED, reply(1, 5)), at(1, 5)),
        (None, (reply(1, 5), NONE_ACKNOWLEDGED), at(1, 5)),
        (None, (reply(1, 5), reply(1, 4)), at(1, 5)),
        (at(1, 6), (reply(1, 5), reply(1, 4)), at(1, 6)),
        # A later term counts more than a higher number.
        (at(1, 9), (reply(2, 3), reply(1, 8)), at(2, 3)),
        (None, (reply(1, 0), NONE_ACKNOWLEDGED), at(1, 0)),
    ],
)
def test_floor_is_the_furthest_answer(
    own: LogPosition | None,
    others: tuple[FailoverNoticeReply, FailoverNoticeReply],
    floor: LogPosition | None,
) -> None:
    """Guards against a promotion that drops what another node acknowledged."""

    @with_virtual_clock
    async def play() -> None:
        nodes = Nodes(beat('node-2'), beat('node-3'))
        for node, answer in zip(('node-2', 'node-3'), others, strict=True):
            nodes.set_reply(node, answer)
        if own is not None:
            nodes.acknowledged.record(SERVICE, own)
        announcement = nodes.begin()
        await announcement.send()
        assert announcement.floor == floor
        assert not announcement.lacks_answers

    play()


@pytest.mark.parametrize(
    ('state', 'lacks_answers'),
    [
        ('live', True),
        ('suspected', True),
        ('leaving', False),
        # A node that has crashed delays no failover.
        ('failed', False),
    ],
)
def test_node_that_may_still_acknowledge_has_to_answer(
    state: str, lacks_answers: bool
) -> None:
    """Guards against commits that a silent node acknowledges meanwhile."""

    @with_virtual_clock
    async def play() -> None:
        nodes = Nodes(beat('node-2', state), beat('node-3'))
        nodes.set_reply('node-3', NONE_ACKNOWLEDGED)
        announcement = nodes.begin()
        await announcement.send()
        assert announcement.unanswered == ['node-2']
        assert announcement.lacks_answers == lacks_answers

    play()


@pytest.mark.parametrize('state', ['suspected', 'failed', 'leaving'])
def test_node_that_is_not_taken_for_live_is_told(state: str) -> None:
    """Guards against a node that is taken for failed and acknowledges."""

    @with_virtual_clock
    async def play() -> None:
        nodes = Nodes(beat('node-2', state))
        nodes.set_reply('node-2', reply(1, 5))
        announcement = nodes.begin()
        await announcement.send()
        assert announcement.floor == at(1, 5)
        assert not announcement.unanswered

    play()


@with_virtual_clock
async def test_only_nodes_without_an_answer_are_told_again() -> None:
    """Guards against a node that missed the first announcement for good."""
    nodes = Nodes(beat('node-2'), beat('node-3'))
    nodes.set_reply('node-2', reply(1, 5))
    announcement = nodes.begin()
    await announcement.send()
    assert sorted(nodes.asked) == [ADDRESSES['node-2'], ADDRESSES['node-3']]
    assert announcement.unanswered == ['node-3']
    nodes.asked.clear()
    nodes.set_reply('node-3', reply(1, 6))
    await announcement.send()
    assert nodes.asked == [ADDRESSES['node-3']]
    assert announcement.floor == at(1, 6)
    assert not announcement.lacks_answers
    await announcement.send()
    assert nodes.asked == [ADDRESSES['node-3']]


@with_virtual_clock
async def test_node_that_joins_during_a_failover_is_told() -> None:
    """Guards against commits of a node that started after the first notice."""
    nodes = Nodes()
    announcement = nodes.begin()
    await announcement.send()
    nodes.membership.merge([beat('node-2')])
    assert announcement.lacks_answers
    nodes.set_reply('node-2', reply(1, 5))
    await announcement.send()
    assert announcement.floor == at(1, 5)
    assert not announcement.lacks_answers


@with_virtual_clock
async def test_silent_nodes_delay_an_announcement_once() -> None:
    """Guards against a failover that waits for each silent node in turn."""
    nodes = Nodes(beat('node-2'), beat('node-3'))
    await nodes.begin().send()
    assert current_time() == NOTICE_TIMEOUT_S


@with_virtual_clock
async def test_notice_of_another_node_is_recorded_with_its_time() -> None:
    """Guards against acknowledgements by a view older than the notice."""
    nodes = Nodes(beat('node-2'))
    nodes.acknowledged.record(SERVICE, at(1, 7))
    await sleep(3)
    notice = FailoverNotice(
        service=SERVICE, attempt='node-2/1', address=ADDRESSES['node-2']
    )
    assert nodes.announcer.reply(notice) == reply(1, 7)
    assert nodes.notices.newer_than(SERVICE, 2) == ReceivedNotice(
        'node-2/1', ADDRESSES['node-2'], 3
    )


@with_virtual_clock
async def test_node_without_commits_answers_that_it_has_none() -> None:
    """Guards against a node whose missing answer is taken for none."""
    nodes = Nodes()
    assert nodes.announcer.reply(NOTICE) == NONE_ACKNOWLEDGED
