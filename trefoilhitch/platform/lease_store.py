"""Leases and node entries in the platform's store."""

from contextlib import suppress

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.errors import (
    EarlierEraError,
    StoreConflictError,
    StoreUnavailableError,
    UnreadableLeaseError,
)
from trefoilhitch.json_decoding import UnreadableJsonError, decode_json
from trefoilhitch.platform._generated.platform import LeaseEntry, NodeEntry
from trefoilhitch.platform.object_store import (
    LEASE_KIND,
    NODE_KIND,
    ObjectStoreClient,
)
from trefoilhitch.platform.stored_objects import StoredObject
from trefoilhitch.platform.unreadable_reporter import UnreadableReporter
from trefoilhitch.pooler.lease import LeaseListing, LeaseRecord

# Holder of a lease that cannot be read: whether a failover is under way is
# unknown, so that the lease permits nothing.
UNREADABLE_HOLDER = '?'


class PlatformLeaseStore:
    """Reads and writes leases in the platform's store.

    Args:
        store: client of the store.
        unreadable: records leases that cannot be decoded.

    """

    def __init__(
        self, store: ObjectStoreClient, unreadable: UnreadableReporter
    ) -> None:
        """Initialise with the store's client and the reporter."""
        self._store = store
        self._unreadable = unreadable

    async def list_leases(self, deadline: float) -> LeaseListing:
        """Read the leases of all services that have one.

        Args:
            deadline: monotonic time in seconds.

        Returns:
            The leases; one that cannot be read counts as held.

        Raises:
            StoreUnavailableError: no valid response, or the service of a lease
                cannot be read.

        """
        listed = await self._store.list_kind(LEASE_KIND, deadline)
        if listed.nameless:
            self._unreadable.record_nameless(LEASE_KIND, listed.nameless)
            raise StoreUnavailableError('a lease without a readable name')
        leases = {
            change.stored.meta.name: self._read_listed(
                change.stored, listed.era
            )
            for change in listed.changes
        }
        return LeaseListing(leases, listed.era)

    async def read_lease(self, service: str, deadline: float) -> LeaseRecord:
        """Read a lease; one that does not exist has revision 0.

        Args:
            service: service that the lease is for.
            deadline: monotonic time in seconds.

        Returns:
            The lease.

        Raises:
            StoreUnavailableError: no valid response.
            UnreadableLeaseError: its content cannot be read, so that its
                fencing token is unknown.

        """
        stored = await self._store.get(LEASE_KIND, service, deadline)
        era = self._store.era
        if stored is None:
            return LeaseRecord(era=era)
        try:
            return _decode_lease(stored, era)
        except UnreadableLeaseError as exc:
            self._unreadable.record('lease_ignored', LEASE_KIND, service, exc)
            raise

    async def check(self, service: str, deadline: float) -> None:
        """Check that the store answers, with a lease that may be outdated.

        A copy from before a restoration is an answer as well.

        Args:
            service: service that the lease is for.
            deadline: monotonic time in seconds.

        Raises:
            StoreUnavailableError: no valid response.

        """
        with suppress(EarlierEraError):
            await self._store.get(
                LEASE_KIND, service, deadline, may_be_stale=True
            )

    async def write_lease(
        self, service: str, lease: LeaseRecord, deadline: float
    ) -> LeaseRecord | None:
        """Write a lease if its revision and era are still the store's.

        Args:
            service: service that the lease is for.
            lease: the lease; its revision is the one to replace.
            deadline: monotonic time in seconds.

        Returns:
            The lease as stored, None if another revision is stored or the
            store was restored since the lease was read; it may then have
            been written all the same.

        Raises:
            StoreUnavailableError: no valid response; the write may still take
                effect.

        """
        entry = LeaseEntry(
            token=lease.token,
            holder=lease.holder,
            address=lease.address,
            attempt=lease.attempt,
            candidate=lease.candidate,
            primary=lease.primary,
            term=lease.term,
        )
        stored = await self._store.put_in_era(
            LEASE_KIND,
            service,
            entry,
            revision=lease.revision,
            era=lease.era,
            deadline=deadline,
        )
        if stored is None:
            return None
        try:
            return _decode_lease(stored, lease.era)
        except UnreadableLeaseError as exc:
            # Not what was written, so the response proves nothing.
            raise StoreUnavailableError(str(exc)) from exc

    def _read_listed(self, stored: StoredObject, era: int) -> LeaseRecord:
        try:
            return _decode_lease(stored, era)
        except UnreadableLeaseError as exc:
            meta = stored.meta
            self._unreadable.record('lease_ignored', LEASE_KIND, meta.name, exc)
            return LeaseRecord(
                revision=meta.revision, holder=UNREADABLE_HOLDER, era=era
            )


class PlatformNodeRegistry:
    """Reads and writes the entries of nodes in the platform's store.

    Args:
        store: client of the store.
        unreadable: records entries that cannot be decoded.

    """

    def __init__(
        self, store: ObjectStoreClient, unreadable: UnreadableReporter
    ) -> None:
        """Initialise with the store's client and the reporter."""
        self._store = store
        self._unreadable = unreadable

    async def list_nodes(
        self, deadline: float, *, may_be_stale: bool = False
    ) -> list[MemberBeat]:
        """Read the entries of all nodes.

        Args:
            deadline: monotonic time in seconds.
            may_be_stale: whether entries may be some seconds old, which costs
                the store less.

        Returns:
            Heartbeats with counter 0, so that any heartbeat from the node
            itself is newer.

        Raises:
            StoreUnavailableError: no valid response.

        """
        listed = await self._store.list_kind(
            NODE_KIND, deadline, may_be_stale=may_be_stale
        )
        if listed.nameless:
            self._unreadable.record_nameless(NODE_KIND, listed.nameless)
        heartbeats = [
            self._read_heartbeat(change.stored) for change in listed.changes
        ]
        return [each for each in heartbeats if each is not None]

    async def read_entry(self, node: str, deadline: float) -> None:
        """Read a node's entry, for the era that the response names.

        Args:
            node: name of the node.
            deadline: monotonic time in seconds.

        Raises:
            StoreUnavailableError: no valid response.

        """
        await self._store.get(NODE_KIND, node, deadline)

    async def register(self, heartbeat: MemberBeat, deadline: float) -> None:
        """Write this node's entry.

        Args:
            heartbeat: this node's heartbeat.
            deadline: monotonic time in seconds.

        Raises:
            StoreConflictError: another writer changed the entry first.
            StoreUnavailableError: no valid response; the write may still take
                effect.

        """
        entry = NodeEntry(
            address=heartbeat.address,
            region=heartbeat.region,
            data_centre=heartbeat.data_centre,
            incarnation=heartbeat.incarnation,
            capacity=heartbeat.capacity,
        )
        try:
            await self._store.put(NODE_KIND, heartbeat.node, entry, 0, deadline)
        except StoreConflictError as exc:
            await self._store.put(
                NODE_KIND, heartbeat.node, entry, exc.version, deadline
            )

    async def deregister(self, node: str, deadline: float) -> None:
        """Remove this node's entry.

        Args:
            node: name of the node.
            deadline: monotonic time in seconds.

        Raises:
            StoreUnavailableError: no valid response; the removal may still take
                effect.

        """
        await self._store.delete(NODE_KIND, node, deadline)

    def _read_heartbeat(self, stored: StoredObject) -> MemberBeat | None:
        name = stored.meta.name
        try:
            return _decode_heartbeat(stored)
        except UnreadableJsonError as exc:
            self._unreadable.record('node_entry_ignored', NODE_KIND, name, exc)
            return None


def _decode_lease(stored: StoredObject, era: int) -> LeaseRecord:
    try:
        entry = decode_json(stored.spec, LeaseEntry)
    except UnreadableJsonError as exc:
        raise UnreadableLeaseError(f'malformed lease: {exc}') from exc
    return LeaseRecord(
        revision=stored.meta.revision,
        token=entry.token,
        holder=entry.holder,
        address=entry.address,
        attempt=entry.attempt,
        candidate=entry.candidate,
        primary=entry.primary,
        term=entry.term,
        era=era,
    )


def _decode_heartbeat(stored: StoredObject) -> MemberBeat:
    entry = decode_json(stored.spec, NodeEntry)
    return MemberBeat(
        node=stored.meta.name,
        address=entry.address,
        region=entry.region,
        data_centre=entry.data_centre,
        incarnation=entry.incarnation,
        counter=0,
        state='live',
        capacity=entry.capacity,
    )
