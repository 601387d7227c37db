"""Watches of a store that was restored, on the virtual clock."""

from random import Random

from trio import (
    current_time,
    move_on_after,
    open_nursery,
    sleep,
    sleep_forever,
)

from tests.support import with_virtual_clock
from trefoilhitch.decision_log import NullLog
from trefoilhitch.errors import StoreUnavailableError
from trefoilhitch.pooler.object_watcher import (
    MAX_PAUSE_S,
    Changes,
    ObjectWatcher,
)
from trefoilhitch.pooler.store_era import StoreEra
from trefoilhitch.retry import MAX_DELAY_S, backoff_s, exponential_s

SOON_S = 1.0
OUTAGE_S = 3600.0


class Source:
    """Source whose objects tell how often they were listed."""

    def __init__(self) -> None:
        """Start in the first era."""
        self.era = 1
        self.listing_count = 0

    async def read_all(self, deadline: float) -> Changes[int]:
        """List the objects."""
        self.listing_count += 1
        return Changes({'main': self.listing_count}, (), 30, self.era)

    async def wait(
        self, revision: int, wait_s: float, deadline: float
    ) -> Changes[int]:
        """Report no change for long, or at once after a restoration."""
        if self.era == 1:
            await sleep_forever()
        await sleep(SOON_S)
        return Changes({}, (), 31, self.era)


class Watched:
    """A watcher with what it applied."""

    def __init__(
        self, *, watches: bool = True, source: Source | None = None
    ) -> None:
        """Create the watcher."""
        self.source = source or Source()
        self.watches = watches
        self.listed: list[int] = []
        self.changed: list[int] = []
        self.era = StoreEra(clock=current_time, log=NullLog())
        self.era.observe(1)
        self.watcher = ObjectWatcher[int](
            kind='declaration',
            source=self.source,
            replace_all=lambda listing: self.listed.extend(
                listing.present.values()
            ),
            apply=lambda changes: self.changed.extend(changes.present.values()),
            log=NullLog(),
            random=Random(1),
            store_era=self.era,
            may_watch=lambda: self.watches,
        )

    def restore(self) -> None:
        """Begin the second era."""
        self.source.era = 2


@with_virtual_clock
async def test_open_watch_goes_on_in_a_later_era() -> None:
    watched = Watched()
    async with open_nursery() as nursery:
        nursery.start_soon(watched.watcher.run)
        await sleep(SOON_S)
        watched.restore()
        watched.era.observe(2)
        await sleep(SOON_S)
        assert watched.listed == [1, 2]
        assert watched.watcher.era == 2
        nursery.cancel_scope.cancel()


@with_virtual_clock
async def test_watch_goes_on_from_a_revision_of_an_earlier_era() -> None:
    watched = Watched()
    async with open_nursery() as nursery:
        nursery.start_soon(watched.watcher.run)
        await sleep(SOON_S)
        watched.restore()
        # Nothing but the response of the watch names the new era.
        watched.era.observe(2)
        await sleep(3 * SOON_S)
        assert watched.listed == [1, 2]
        nursery.cancel_scope.cancel()


@with_virtual_clock
async def test_new_watcher_goes_on_from_what_other_nodes_sent() -> None:
    watched = Watched(watches=False)
    async with open_nursery() as nursery:
        nursery.start_soon(watched.watcher.run)
        await sleep(SOON_S)
        watched.restore()
        watched.watches = True
        await sleep(SOON_S)
        assert watched.listed == [1, 2]
        nursery.cancel_scope.cancel()


@with_virtual_clock
async def test_entries_of_a_later_era_with_a_lower_revision_are_ignored() -> (
    None
):
    watched = Watched()
    watched.watcher.apply_from_peer(Changes({'main': 5}, (), 40, 1))
    watched.watcher.apply_from_peer(Changes({'main': 6}, (), 20, 2))
    watched.watcher.apply_from_peer(Changes({'main': 7}, (), 50, 1))
    assert watched.listed == [5, 6]
    assert watched.watcher.revision == 20


@with_virtual_clock
async def test_entries_of_a_node_of_an_earlier_version_are_ignored() -> None:
    watched = Watched()
    watched.watcher.apply_from_peer(Changes({'main': 5}, (), 20, 2))
    watched.watcher.apply_from_peer(Changes({'main': 6}, (), 21))
    assert watched.changed == [6]
    assert watched.watcher.era == 2


class UnavailableSource(Source):
    """Source that does not answer."""

    async def read_all(self, deadline: float) -> Changes[int]:
        """Count the request and fail."""
        self.listing_count += 1
        raise StoreUnavailableError('no answer')


@with_virtual_clock
async def test_outage_of_an_hour_ends_the_watch() -> None:
    watched = Watched(source=UnavailableSource())
    with move_on_after(OUTAGE_S) as scope:
        await watched.watcher.run()
    assert scope.cancelled_caught
    assert watched.source.listing_count > OUTAGE_S / (2 * MAX_PAUSE_S)


def test_backoff_after_thousands_of_failures_is_the_longest() -> None:
    assert backoff_s(5000, 0) == MAX_DELAY_S / 2
    assert exponential_s(5000, 1, 8) == 8
    assert [exponential_s(each, 1, 8) for each in range(5)] == [1, 2, 4, 8, 8]
