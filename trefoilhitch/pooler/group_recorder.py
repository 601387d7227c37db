"""Records the members of database groups in the store, and learns them."""

import math
from dataclasses import replace
from functools import partial

from trio import current_time

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.errors import StoreError
from trefoilhitch.pooler.endpoint_registry import EndpointRegistry
from trefoilhitch.pooler.ports import GroupStore
from trefoilhitch.pooler.recorded_group import (
    RecordedGroup,
    RecordedMember,
    read_members,
    record_members,
)
from trefoilhitch.pooler.store_era import StoreEra
from trefoilhitch.pooler.store_retry import (
    ATTEMPT_TIMEOUT_S,
    read_with_retries,
)

# Time for all attempts of one read.
READ_TIMEOUT_S = 1.5
RETRY_PAUSE_S = 1.0
# How much later than the monitor before it a monitor records a change.
RECORD_DELAY_S = 1.0

_Members = tuple[RecordedMember, ...]


class GroupRecorder:
    """Keeps the record of each group's members up to date.

    A record names at least the members that any earlier one named, apart from
    those that this process has seen to be gone or replaced. Without a record,
    the members count as known once the directory's entries have settled.

    Args:
        store: stores the records.
        endpoints: known endpoints.
        store_era: era of the store.
        log: records writes and failures.

    """

    def __init__(
        self,
        *,
        store: GroupStore,
        endpoints: EndpointRegistry,
        store_era: StoreEra,
        log: DecisionLog,
    ) -> None:
        """Start before the first record is read."""
        self._store = store
        self._endpoints = endpoints
        self._store_era = store_era
        self._log = log
        # Members as the store holds them, and its era.
        self._recorded: dict[str, tuple[int, _Members]] = {}
        self._changed_at: dict[str, float] = {}
        self._retry_at: dict[str, float] = {}

    async def learn(self, service: str) -> bool:
        """Learn the members of a group from its record.

        Args:
            service: service of the group.

        Returns:
            Whether all members are known.

        Raises:
            StoreUnavailableError: the store did not answer.

        """
        group = await self._read(service)
        return self._names_all(group)

    async def record_if_due(self, service: str, rank: int) -> None:
        """Record the members of a group if they have changed.

        Args:
            service: service of the group.
            rank: number of nodes that record them earlier than this one.

        """
        if not self._is_due(service, rank):
            return
        self._retry_at[service] = current_time() + RETRY_PAUSE_S
        try:
            await self._record(service)
        except StoreError as exc:
            self._log.event(
                'group_unrecorded', service=service, detail=str(exc)
            )

    async def _record(self, service: str) -> None:
        group = await self._read(service)
        members = self._members(service)
        if members == group.members or not self._names_all(group):
            return
        changed = RecordedGroup(members, group.revision, group.era)
        deadline = current_time() + ATTEMPT_TIMEOUT_S
        if await self._store.write_group(service, changed, deadline):
            self._recorded[service] = (group.era, members)
            self._retry_at.pop(service)
            self._log.event(
                'group_recorded',
                service=service,
                members=[each.endpoint for each in members],
                previous=[each.endpoint for each in group.members],
            )

    def _names_all(self, group: RecordedGroup) -> bool:
        """Return whether a record and the directory name all members."""
        if group.members:
            return True
        return self._endpoints.has_settled(current_time())

    async def _read(self, service: str) -> RecordedGroup:
        group = await read_with_retries(
            partial(self._store.read_group, service),
            current_time() + READ_TIMEOUT_S,
        )
        self._recorded[service] = (group.era, group.members)
        learnt = [
            record.endpoint
            for record in read_members(service, group.members)
            if self._endpoints.remember(record, current_time())
        ]
        if learnt:
            self._log.event('members_learnt', service=service, members=learnt)
        return group

    def _is_due(self, service: str, rank: int) -> bool:
        now = current_time()
        recorded = self._recorded.get(service)
        retry_at = self._retry_at.get(service, -math.inf)
        if recorded is None:
            return now >= retry_at
        if recorded == (self._store_era.current, self._members(service)):
            self._changed_at.pop(service, None)
            return False
        if not self._endpoints.has_settled(now):
            return False
        changed_at = self._changed_at.setdefault(service, now)
        return now >= max(changed_at + rank * RECORD_DELAY_S, retry_at)

    def _members(self, service: str) -> _Members:
        restarted = self._endpoints.restarted
        return record_members(
            replace(each, started_at_ms=restarted.first_start(each))
            for each in self._endpoints.log_holders(service)
        )
