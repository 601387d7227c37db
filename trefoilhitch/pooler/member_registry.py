"""Members of the cluster and their states, by failure detection and gossip.

A member counts as live until it is found failed, so the cost of keeping it
does not grow with the number of members. The states follow SWIM (Das, Gupta,
Motivala 2002): a node that does not answer, neither directly nor to others, is
suspected; a suspected node refutes this with a higher counter, or is declared
failed after a timeout. Changes travel on messages that are sent anyway, each a
number of times that grows with the logarithm of the number of members. As in
Lifeguard (Dadgar, Phillips, Currey 2018), a node whose own requests fail
often waits longer before it declares others failed. A silent node counts as
such a failure only if none of the nodes that were asked to probe it responded.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import ceil, log2
from types import MappingProxyType

from msgspec.structs import replace as replace_message

from trefoilhitch._generated.peer import MemberBeat

SUSPICION_TIMEOUT_S = 1.5
# Time after which a failed member is forgotten.
FORGET_TIMEOUT_S = 600.0
# How often a node sends a change within its data centre, times the logarithm of
# the number of members, and how often to others. There a few nodes of each data
# centre have to learn of it, and some of the messages are lost.
NEAR_SPREAD_FACTOR = 3
FAR_SENDS = 6
# Changes in one message within a data centre, where a partition that separates
# many nodes has to become known soon, and between data centres, where bytes
# are expensive.
MAX_NEAR_CHANGES = 24
MAX_FAR_CHANGES = 10
# By whether the receiver is in the data centre of this node.
_MAX_CHANGES = MappingProxyType(
    {True: MAX_NEAR_CHANGES, False: MAX_FAR_CHANGES}
)
# Highest number of own failures that lengthen the suspicion timeout.
MAX_OWN_FAILURES = 4
# Counter from which a node begins another incarnation to contradict others.
MAX_COUNTER = 1_000_000_000
# Other nodes accept no later one.
MAX_INCARNATION = 8999999999999999999
_STATE_ORDER = MappingProxyType(
    {'live': 0, 'suspected': 1, 'failed': 2, 'leaving': 3}
)


@dataclass(slots=True)
class Member:
    """A member and its newest known state.

    Args:
        beat: newest state.
        changed_at: when the state was learnt, in seconds.
        sends_left: how often the state is still to be sent, by whether the
            receivers are in the data centre of this node.

    """

    beat: MemberBeat
    changed_at: float
    sends_left: Counter[bool] = field(default_factory=Counter)


class MemberRegistry:
    """States of all members as one node knows them.

    Args:
        own: state of this node.
        now: time in seconds.

    """

    def __init__(self, own: MemberBeat, now: float) -> None:
        """Start with this node as the only member."""
        self.version = 0
        self._own = own
        self._members = {own.node: Member(own, now)}
        self._own_failures = 0

    @property
    def own(self) -> MemberBeat:
        """State of this node."""
        return self._own

    def update_own(self, beat: MemberBeat, now: float) -> None:
        """Replace the state of this node.

        Args:
            beat: the new state.
            now: time in seconds.

        """
        changed = _version(beat) != _version(self._own)
        self._own = beat
        if changed:
            self._store(beat, now)
        else:
            self._members[beat.node].beat = beat

    def merge(self, beats: Iterable[MemberBeat], now: float) -> None:
        """Merge the states that another node sent.

        Args:
            beats: states, possibly outdated ones.
            now: time in seconds.

        """
        for beat in beats:
            if beat.node == self._own.node:
                self._refute(beat, now)
                continue
            known = self._members.get(beat.node)
            if known is None or _version(beat) > _version(known.beat):
                self._store(beat, now)
            elif _version(beat) == _version(known.beat):
                known.beat = beat

    def record_answer(self) -> None:
        """Record that a member answered this node."""
        self._own_failures = max(0, self._own_failures - 1)

    def record_silence(self, node: str, now: float, *, confirmed: bool) -> None:
        """Suspect a member that answered neither this node nor others.

        Args:
            node: name of the member.
            now: time in seconds.
            confirmed: whether another node responded that it does not reach
                the member either. The connections of this node work then, so
                that the silence is no failure of its own.

        """
        if not confirmed:
            self._own_failures = min(MAX_OWN_FAILURES, self._own_failures + 1)
        known = self._members.get(node)
        if known is not None and known.beat.state == 'live':
            self._store(replace_message(known.beat, state='suspected'), now)

    def expire(self, now: float) -> list[str]:
        """Declare suspected members failed, and forget long failed ones.

        Args:
            now: time in seconds.

        Returns:
            Names of the members that were declared failed.

        """
        timeout_s = SUSPICION_TIMEOUT_S * (1 + self._own_failures)
        failed = [
            name
            for name, member in self._members.items()
            if member.beat.state == 'suspected'
            and now >= member.changed_at + timeout_s
        ]
        for lost in failed:
            beat = self._members[lost].beat
            self._store(replace_message(beat, state='failed'), now)
        self._forget(now)
        return failed

    def changes_to_send(self, *, near: bool) -> list[MemberBeat]:
        """Return the changes for the next message, the least sent first.

        Args:
            near: whether the receiver is in the data centre of this node.

        """
        pending = [
            each for each in self._members.values() if each.sends_left[near]
        ]
        pending.sort(key=lambda each: -each.sends_left[near])
        chosen = pending[: _MAX_CHANGES[near]]
        for member in chosen:
            member.sends_left[near] -= 1
        return [each.beat for each in chosen]

    def beats(self) -> list[MemberBeat]:
        """Return the states of all members, including failed ones."""
        return [member.beat for _, member in sorted(self._members.items())]

    def state_of(self, node: str) -> MemberBeat | None:
        """Return the state of a member, None if it is unknown.

        Args:
            node: name of the member.

        """
        known = self._members.get(node)
        return known.beat if known else None

    def _refute(self, beat: MemberBeat, now: float) -> None:
        """Contradict a newer statement about this node.

        A process that took this one's place answers for itself.
        """
        own = self._own
        is_successor = (
            beat.state == 'live'
            and beat.incarnation > own.incarnation
            and beat.address != own.address
        )
        if is_successor or _version(beat) <= _version(own):
            return
        self._own = replace_message(
            own, incarnation=beat.incarnation, counter=beat.counter + 1
        )
        if beat.counter >= MAX_COUNTER:
            incarnation = min(beat.incarnation + 1, MAX_INCARNATION)
            self._own = replace_message(own, incarnation=incarnation, counter=1)
        self._store(self._own, now)

    def _store(self, beat: MemberBeat, now: float) -> None:
        logarithm = ceil(log2(len(self._members) + 1))
        sends = Counter(
            {True: NEAR_SPREAD_FACTOR * logarithm, False: FAR_SENDS}
        )
        self._members[beat.node] = Member(beat, now, sends)
        self.version += 1

    def _forget(self, now: float) -> None:
        forgotten = [
            name
            for name, member in self._members.items()
            if member.beat.state in {'failed', 'leaving'}
            and now >= member.changed_at + FORGET_TIMEOUT_S
            and name != self._own.node
        ]
        for name in forgotten:
            self._members.pop(name)
            self.version += 1


def _version(beat: MemberBeat) -> tuple[int, int, int]:
    return beat.incarnation, beat.counter, _STATE_ORDER[beat.state]
