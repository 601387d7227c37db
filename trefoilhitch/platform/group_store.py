"""Records of database groups in the platform's store."""

from trefoilhitch.json_decoding import UnreadableJsonError, decode_json
from trefoilhitch.platform._generated.platform import (
    GroupEntry,
    GroupMemberEntry,
)
from trefoilhitch.platform.object_store import GROUP_KIND, ObjectStoreClient
from trefoilhitch.platform.unreadable_reporter import UnreadableReporter
from trefoilhitch.pooler.recorded_group import RecordedGroup, RecordedMember


class PlatformGroupStore:
    """Reads and writes records of groups in the platform's store.

    Args:
        store: client of the store.
        unreadable: records what cannot be decoded.

    """

    def __init__(
        self, store: ObjectStoreClient, unreadable: UnreadableReporter
    ) -> None:
        """Initialise with the store's client and the reporter."""
        self._store = store
        self._unreadable = unreadable

    async def read_group(self, service: str, deadline: float) -> RecordedGroup:
        """Read the record of a group.

        Args:
            service: service of the group.
            deadline: monotonic time in seconds.

        Returns:
            The record; without members if there is none or it cannot be read.

        Raises:
            StoreUnavailableError: no valid response.

        """
        stored = await self._store.get(GROUP_KIND, service, deadline)
        era = self._store.era
        if stored is None:
            return RecordedGroup(era=era)
        try:
            entry = decode_json(stored.spec, GroupEntry)
        except UnreadableJsonError as exc:
            self._unreadable.record('group_ignored', GROUP_KIND, service, exc)
            return RecordedGroup(revision=stored.meta.revision, era=era)
        members = sorted(_read_member(each) for each in entry.members)
        return RecordedGroup(tuple(members), stored.meta.revision, era)

    async def write_group(
        self, service: str, group: RecordedGroup, deadline: float
    ) -> bool:
        """Write a record if its revision and era are still the store's.

        Args:
            service: service of the group.
            group: the record; its revision is the one to replace.
            deadline: monotonic time in seconds.

        Returns:
            False if another revision is stored or the store was restored.

        Raises:
            StoreUnavailableError: no valid response; the write may still take
                effect.

        """
        entry = GroupEntry(
            members=[_write_member(each) for each in group.members]
        )
        stored = await self._store.put_in_era(
            GROUP_KIND,
            service,
            entry,
            revision=group.revision,
            era=group.era,
            deadline=deadline,
        )
        return stored is not None


def _read_member(entry: GroupMemberEntry) -> RecordedMember:
    return RecordedMember(
        entry.endpoint,
        entry.address,
        entry.data_centre,
        entry.started_at_ms,
        entry.leaving,
    )


def _write_member(member: RecordedMember) -> GroupMemberEntry:
    return GroupMemberEntry(
        endpoint=member.endpoint,
        address=member.address,
        data_centre=member.data_centre,
        started_at_ms=member.started_at_ms,
        leaving=member.leaving,
    )
