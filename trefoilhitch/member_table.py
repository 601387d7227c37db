"""Membership: which nodes are live, from heartbeats over a lagging list."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Self

from trefoilhitch._generated.peer import MemberBeat

FAILURE_TIMEOUT_S = 3.0
FORGET_TIMEOUT_S = 600.0


@dataclass(frozen=True, slots=True)
class Member:
    """A node as this node knows it.

    Args:
        beat: its newest heartbeat.
        expires_at: monotonic time after which it counts as failed.

    """

    beat: MemberBeat
    expires_at: float

    @classmethod
    def from_beat(cls, beat: MemberBeat, now: float) -> Self:
        """Build a member that was heard just now.

        Args:
            beat: its newest heartbeat.
            now: monotonic time.

        Returns:
            The member.

        """
        return cls(beat, now + FAILURE_TIMEOUT_S)


@dataclass(frozen=True, slots=True)
class MemberTable:
    """What a node knows of all nodes.

    Args:
        members: members by node name.

    """

    members: Mapping[str, Member] = field(default_factory=dict)

    def merge(self, beats: Iterable[MemberBeat], now: float) -> 'MemberTable':
        """Return the membership after some heartbeats were heard.

        A heartbeat counts only if it is newer than the one known: from a later
        incarnation, or with a higher counter of the same one.

        Args:
            beats: heartbeats, new and old.
            now: monotonic time.

        Returns:
            The new membership.

        """
        members = dict(self.members)
        for beat in beats:
            recorded = members.get(beat.node)
            if recorded is None or _version(beat) > _version(recorded.beat):
                members[beat.node] = Member.from_beat(beat, now)
        return MemberTable(members)

    def without_expired(self, now: float) -> 'MemberTable':
        """Return the membership without nodes that failed long ago.

        Args:
            now: monotonic time.

        Returns:
            The new membership.

        """
        return MemberTable(
            {
                name: member
                for name, member in self.members.items()
                if now < member.expires_at + FORGET_TIMEOUT_S
            }
        )

    def newer_than(
        self,
        beats: Iterable[MemberBeat],
        now: float,
    ) -> list[MemberBeat]:
        """Return what the sender of some heartbeats does not know yet.

        Args:
            beats: all heartbeats that the sender knows.
            now: monotonic time.

        Returns:
            Heartbeats that are newer here, of nodes that did not fail.

        """
        known_versions = {beat.node: _version(beat) for beat in beats}
        return [
            beat
            for beat in self.reachable(now)
            if beat.node not in known_versions
            or _version(beat) > known_versions[beat.node]
        ]

    def live(self, now: float) -> list[MemberBeat]:
        """Return the nodes that may be given work.

        Args:
            now: monotonic time.

        Returns:
            Newest heartbeats of nodes neither failed nor leaving, by name.

        """
        return [beat for beat in self.reachable(now) if beat.state == 'live']

    def reachable(self, now: float) -> list[MemberBeat]:
        """Return the nodes that answer, those that are leaving among them.

        Args:
            now: monotonic time.

        Returns:
            Newest heartbeats of nodes that did not fail, by name.

        """
        return [
            member.beat
            for _, member in sorted(self.members.items())
            if now < member.expires_at
        ]


def _version(beat: MemberBeat) -> tuple[int, int]:
    return beat.incarnation, beat.counter
