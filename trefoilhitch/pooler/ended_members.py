"""Members of database groups that have ended, until they are logged."""

from dataclasses import dataclass
from enum import Enum

from trefoilhitch.pooler.endpoint_record import EndpointRecord


class MemberEnd(Enum):
    """How a member of a group ended."""

    # It announced its shutdown, and its log is gone with it.
    LEFT = 'left'
    # Its entry has been missing for too long. It still counts as a holder of
    # its group's log.
    LOST = 'lost'
    # It was lost long ago, and counts as a holder of the log no more.
    FORGOTTEN = 'forgotten'
    # Another endpoint started at its address, and has its log.
    REPLACED = 'replaced'


@dataclass(frozen=True, slots=True)
class EndedMember:
    """A member of a group that has ended.

    Args:
        record: its newest entry.
        end: how it ended.

    """

    record: EndpointRecord
    end: MemberEnd


class EndedMembers:
    """Collects the members that have ended."""

    def __init__(self) -> None:
        """Start without members."""
        self._ended: list[EndedMember] = []

    def add(self, record: EndpointRecord, end: MemberEnd) -> None:
        """Add a member.

        Args:
            record: its newest entry.
            end: how it ended.

        """
        self._ended.append(EndedMember(record, end))

    def take(self) -> list[EndedMember]:
        """Remove and return the collected members, the oldest first."""
        taken = self._ended
        self._ended = []
        return taken
