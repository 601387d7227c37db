"""Table of the cluster's nodes, built from their heartbeats."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Self

from trefoilhitch._generated.peer import MemberBeat

FAILURE_TIMEOUT_S = 3.0
FORGET_TIMEOUT_S = 600.0


@dataclass(frozen=True, slots=True)
class Member:
    """A node and its newest heartbeat.

    Args:
        beat: newest heartbeat.
        expires_at: monotonic time in seconds from which the node counts as
            failed, unless a newer heartbeat arrives.

    """

    beat: MemberBeat
    expires_at: float

    @classmethod
    def from_beat(cls, beat: MemberBeat, now: float) -> Self:
        """Build a member from a heartbeat that has just arrived.

        Args:
            beat: newest heartbeat of the node.
            now: monotonic time in seconds.

        Returns:
            The member.

        """
        return cls(beat, now + FAILURE_TIMEOUT_S)


@dataclass(frozen=True, slots=True)
class MemberTable:
    """Immutable table of all known nodes.

    Args:
        members: members by node name.
        own: name of this node, which is always reachable for itself: its own
            heartbeat expires while its process is suspended.

    """

    members: Mapping[str, Member] = field(default_factory=dict)
    own: str = ''

    def merge(self, beats: Iterable[MemberBeat], now: float) -> 'MemberTable':
        """Return a table that includes the given heartbeats.

        A heartbeat replaces the recorded one only if it is newer: if its
        incarnation is later, or the same with a higher counter.

        Args:
            beats: heartbeats in any order, including outdated ones.
            now: monotonic time in seconds.

        Returns:
            The merged table.

        """
        members = dict(self.members)
        for beat in beats:
            recorded = members.get(beat.node)
            if recorded is None or _version(beat) > _version(recorded.beat):
                members[beat.node] = Member.from_beat(beat, now)
        return MemberTable(members, self.own)

    def without_expired(self, now: float) -> 'MemberTable':
        """Return a table without the nodes that failed long ago.

        Args:
            now: monotonic time in seconds.

        Returns:
            The table without these nodes.

        """
        return MemberTable(
            {
                name: member
                for name, member in self.members.items()
                if name == self.own
                or now < member.expires_at + FORGET_TIMEOUT_S
            },
            self.own,
        )

    def newer_than(
        self,
        beats: Iterable[MemberBeat],
        now: float,
    ) -> list[MemberBeat]:
        """Return the heartbeats that a peer does not have yet.

        Args:
            beats: all heartbeats that the peer sent.
            now: monotonic time in seconds.

        Returns:
            Heartbeats of reachable nodes that are newer than the peer's, or
            missing there.

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
            now: monotonic time in seconds.

        Returns:
            Newest heartbeats of the nodes that have not failed and are not
            leaving, ordered by name.

        """
        return [beat for beat in self.reachable(now) if beat.state == 'live']

    def reachable(self, now: float) -> list[MemberBeat]:
        """Return the nodes that have not failed, including leaving ones.

        Args:
            now: monotonic time in seconds.

        Returns:
            Newest heartbeats of these nodes, ordered by name.

        """
        return [
            member.beat
            for name, member in sorted(self.members.items())
            if name == self.own or now < member.expires_at
        ]


def _version(beat: MemberBeat) -> tuple[int, int]:
    return beat.incarnation, beat.counter
