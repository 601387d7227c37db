"""Watches one kind of stored objects: lists them, then applies changes."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import Random
from typing import Generic, Protocol, TypeVar

from trio import current_time, sleep

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.errors import StoreHistoryGoneError, StoreUnavailableError
from trefoilhitch.pooler.era_numbers import NO_ERA
from trefoilhitch.pooler.store_era import StoreEra
from trefoilhitch.retry import exponential_s

READ_TIMEOUT_S = 1.5
# How long the store holds a watch request open. Keep-alive probes close a
# connection that went silent much earlier.
WATCH_TIMEOUT_S = 20.0
WATCH_MARGIN_S = 1.0
# How often a node checks whether it has to watch the store.
WATCHER_CHECK_INTERVAL_S = 0.25
FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 1.5

ItemT = TypeVar('ItemT')


@dataclass(frozen=True, slots=True)
class Changes(Generic[ItemT]):
    """Objects that exist, and names of objects that do not.

    Args:
        present: readable objects by name.
        absent: names of objects that were removed or cannot be read.
        revision: store revision up to which the changes are complete.
        era: era of the store to which the revision belongs.

    """

    present: Mapping[str, ItemT]
    absent: tuple[str, ...]
    revision: int
    era: int = NO_ERA


class ChangeSource(Protocol[ItemT]):
    """Source of one kind of stored objects."""

    async def read_all(self, deadline: float) -> Changes[ItemT]:
        """Read all objects in their current state."""

    async def wait(
        self, revision: int, wait_s: float, deadline: float
    ) -> Changes[ItemT]:
        """Wait up to `wait_s` seconds for changes after a revision."""


class ObjectWatcher(Generic[ItemT]):
    """Keeps a local copy of one kind of objects up to date.

    Args:
        kind: name of the kind, for the log.
        source: lists the objects and waits for changes.
        replace_all: applies a full listing.
        apply: applies changes.
        log: records listings and outages.
        random: adds jitter to retries.
        store_era: era of the store; what was read in an earlier one has to be
            listed again.
        may_watch: returns whether this node watches the store; others list the
            objects once and get changes from its peers.

    """

    def __init__(
        self,
        *,
        kind: str,
        source: ChangeSource[ItemT],
        replace_all: Callable[[Changes[ItemT]], None],
        apply: Callable[[Changes[ItemT]], None],
        log: DecisionLog,
        random: Random,
        store_era: StoreEra,
        may_watch: Callable[[], bool],
    ) -> None:
        """Start without a listing."""
        self.listed = False
        self.revision = 0
        self.era = NO_ERA
        self._store_era = store_era
        self._may_watch = may_watch
        self._kind = kind
        self._source = source
        self._replace_all = replace_all
        self._apply = apply
        self._log = log
        self._random = random
        self._failures = 0

    @property
    def is_failing(self) -> bool:
        """Whether the store did not answer the last request."""
        return self._failures > 0

    def apply_from_peer(self, changes: Changes[ItemT]) -> None:
        """Apply changes that another node has read from the store.

        Args:
            changes: all changes after `revision`, or all objects if they are
                of a later era.

        """
        self._log.event(
            'changes_received',
            listing=self._kind,
            revision=changes.revision,
            era=changes.era,
            previous=self.revision,
        )
        # A node of an earlier version names no era.
        era = changes.era or self.era
        if era > self.era:
            self._apply_listing(changes)
        elif era == self.era and changes.revision > self.revision:
            self.revision = changes.revision
            self._apply(changes)

    async def run(self) -> None:
        """Watch the objects until cancelled."""
        while True:
            try:
                await self._watch()
            except StoreHistoryGoneError:
                self._log.event('history_gone', listing=self._kind)
            except StoreUnavailableError as exc:
                await self._pause(exc)
            except Exception:
                self._failures += 1
                raise

    async def _watch(self) -> None:
        listing = await self._source.read_all(current_time() + READ_TIMEOUT_S)
        self._record_listing(listing)
        self._apply_listing(listing)
        while self._may_watch():
            await self._apply_next_changes()
        await self._wait_until_needed()

    def _apply_listing(self, listing: Changes[ItemT]) -> None:
        self.era = listing.era
        self.revision = listing.revision
        self._replace_all(listing)

    async def _apply_next_changes(self) -> None:
        era = self.era
        deadline = current_time() + WATCH_TIMEOUT_S + WATCH_MARGIN_S
        changes = None
        with self._store_era.cancel_when_over(era):
            changes = await self._source.wait(
                self.revision, WATCH_TIMEOUT_S, deadline
            )
        if changes is None or {changes.era, self.era} != {era}:
            raise StoreHistoryGoneError(self._kind)
        self._failures = 0
        self.revision = max(self.revision, changes.revision)
        self._apply(changes)

    async def _wait_until_needed(self) -> None:
        """Wait until this node watches the store.

        Until then it gets changes from others, whose era may be another one
        than that of the store; so it lists the objects again afterwards.
        """
        while not self._may_watch():
            await sleep(WATCHER_CHECK_INTERVAL_S)

    def _record_listing(self, listing: Changes[ItemT]) -> None:
        self._log.event(
            'listing_read',
            listing=self._kind,
            revision=listing.revision,
            era=listing.era,
            previous=self.revision,
            failures=self._failures,
        )
        self.listed = True
        self._failures = 0

    async def _pause(self, exc: StoreUnavailableError) -> None:
        if not self._failures:
            self._log.event('store_lost', listing=self._kind, detail=str(exc))
        pause_s = exponential_s(self._failures, FIRST_PAUSE_S, MAX_PAUSE_S)
        self._failures += 1
        await sleep(pause_s * (0.5 + self._random.random()))
