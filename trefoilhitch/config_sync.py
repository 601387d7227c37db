"""Synchronises a node's configuration with the store and with its peers."""

from random import Random

from trio import sleep

from trefoilhitch._generated.peer import ConfigQuery
from trefoilhitch._generated.store import Head, StoredObject
from trefoilhitch.clock import deadline_after_ms
from trefoilhitch.config import BundleError, Config, ConfigHolder
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.errors import (
    RefusalError,
    StoreConflictError,
    StoreError,
)
from trefoilhitch.head_repair import (
    BUNDLE_OBJECT_NAME,
    HEAD_OBJECT_NAME,
    HeadState,
    compare_head,
    raise_head,
    write_lost_head,
)
from trefoilhitch.json_decoding import UnreadableJsonError, decode_json
from trefoilhitch.membership import Membership
from trefoilhitch.peer_client import PeerClients
from trefoilhitch.retry import MAX_DELAY_S, backoff_s
from trefoilhitch.store import ObjectStore

READ_TIMEOUT_MS = 2000
WATCH_TIMEOUT_MS = 25000
PEER_TIMEOUT_MS = 2000
PEER_INTERVAL_S = 0.25
MAX_BACKOFF_ATTEMPT = 6


class ConfigSync:
    """Keeps a node's configuration at the newest known revision.

    Args:
        holder: holds the configuration in force on this node.
        store: stores the head and the bundles.
        membership: provides the newest revision among all nodes.
        peers: creates clients for other nodes.
        log: records changes of configuration and failures.

    """

    def __init__(
        self,
        *,
        holder: ConfigHolder,
        store: ObjectStore,
        membership: Membership,
        peers: PeerClients,
        log: DecisionLog,
    ) -> None:
        """Start with no known version of the head."""
        self._holder = holder
        self._store = store
        self._membership = membership
        self._peers = peers
        self._log = log
        self._head_version = 0
        self._unreadable_offers: dict[str, int] = {}

    async def watch_store(self, random: Random) -> None:
        """Watch the head in the store until cancelled.

        The store is watched while this node is one of its data centre's
        watchers, or has no configuration yet.

        Args:
            random: adds jitter to the retry delays.

        """
        failures = 0
        while True:
            if not self._must_watch_store():
                await sleep(PEER_INTERVAL_S)
                continue
            try:
                await self._watch_head()
            except (StoreError, BundleError, RefusalError) as exc:
                failures = min(failures + 1, MAX_BACKOFF_ATTEMPT)
                # A store that was away may have been restored, and may assign
                # the known version to another head.
                self._head_version = 0
                self._log.event('store_unavailable', detail=str(exc))
                await sleep(backoff_s(failures, random.random()) + MAX_DELAY_S)
            else:
                failures = 0

    async def follow_peers(self) -> None:
        """Fetch newer configurations from peers until cancelled."""
        while True:
            await sleep(PEER_INTERVAL_S)
            for revision, address in self._membership.revisions():
                if self._is_wanted(revision, address):
                    await self._fetch_from_peer(revision, address)

    def _is_wanted(self, revision: int, address: str) -> bool:
        newer = revision > self._holder.current.revision
        return newer and self._unreadable_offers.get(address) != revision

    def _must_watch_store(self) -> bool:
        return (
            not self._holder.current.revision
            or self._membership.is_store_watcher()
        )

    async def _watch_head(self) -> None:
        stored = await self._store.watch(
            HEAD_OBJECT_NAME,
            self._head_version,
            deadline_after_ms(WATCH_TIMEOUT_MS),
        )
        head = read_head(stored)
        state = compare_head(head, self._holder.current)
        if state == HeadState.NEWER:
            bundle = await self._store.get(
                BUNDLE_OBJECT_NAME.format(digest=head.bundle),
                deadline_after_ms(READ_TIMEOUT_MS),
            )
            self._apply(Config.from_body(head.revision, bundle.body), 'store')
        self._head_version = stored.version
        if state in {HeadState.LOST, HeadState.REPLACED}:
            await self._repair_head(head, state)

    async def _repair_head(self, head: Head, state: HeadState) -> None:
        """Write the head of a restored store; the next watch reads it."""
        current = self._holder.current
        version = self._head_version
        try:
            if state == HeadState.LOST:
                await write_lost_head(self._store, current, version)
            else:
                await raise_head(self._store, head, version)
        except StoreConflictError as exc:
            # Another node was first.
            self._log.event('head_changed', version=exc.version)
            return
        self._log.event(
            'head_repaired',
            state=state.value,
            stored=head.revision,
            in_force=current.revision,
            operator=head.operator,
        )

    async def _fetch_from_peer(self, revision: int, address: str) -> None:
        query = ConfigQuery(revision=self._holder.current.revision)
        try:
            offer = await self._peers.at(address).config(
                query,
                deadline_after_ms(PEER_TIMEOUT_MS),
            )
        except RefusalError as exc:
            self._log.event(
                'peer_config_failed', address=address, code=exc.code
            )
            return
        if not offer.body:
            return
        try:
            offered = Config.from_body(offer.revision, offer.body)
        except BundleError as exc:
            # The peer is asked again once it has another revision.
            self._unreadable_offers[address] = revision
            self._log.event(
                'peer_config_unreadable', address=address, detail=str(exc)
            )
            return
        self._apply(offered, address)

    def _apply(self, offered: Config, source: str) -> None:
        if self._holder.apply_if_newer(offered):
            self._log.event('config', revision=offered.revision, source=source)


def read_head(stored: StoredObject) -> Head:
    """Decode the head object.

    Args:
        stored: head object from the store.

    Returns:
        The head; revision 0 if the object does not exist yet.

    Raises:
        BundleError: the object cannot be decoded.

    """
    if not stored.version:
        return Head(revision=0, bundle='')
    try:
        return decode_json(stored.body, Head)
    except UnreadableJsonError as exc:
        raise BundleError(f'unreadable head: {exc}') from exc
