"""What a node makes of the entries that it reads from the store."""

from dataclasses import replace
from random import Random
from typing import Any, cast

from trio import current_time, open_nursery, sleep, sleep_forever

from tests.support import with_virtual_clock
from tests.test_leaving_endpoints import READY
from trefoilhitch.decision_log import DecisionLog, NullLog
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.current_declaration import CurrentDeclaration
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.endpoint_selection import EndpointSelector
from trefoilhitch.pooler.object_watcher import Changes
from trefoilhitch.pooler.store_era import StoreEra
from trefoilhitch.pooler.store_sync import StoreSync, StoreSyncDependencies

DRAIN_TIMEOUT_S = 7.0


class Unused:
    """Part of a node that the test does not look at."""

    def close_idle(self, endpoint: str) -> None:
        """Do nothing."""

    def close(self, endpoint: str) -> None:
        """Do nothing."""


class Source:
    """Source that lists entries, and reports one change after a second."""

    def __init__(self, *entries: EndpointRecord) -> None:
        """Set the entries: the first is listed, the others follow."""
        self._entries = list(entries)

    async def read_all(self, deadline: float) -> Changes[Any]:
        """List the first entry."""
        return self._next()

    async def wait(
        self, revision: int, wait_s: float, deadline: float
    ) -> Changes[Any]:
        """Report the next entry."""
        await sleep(1)
        if not self._entries:
            await sleep_forever()
        return self._next()

    def _next(self) -> Changes[Any]:
        present = {each.endpoint: each for each in self._entries[:1]}
        self._entries = self._entries[1:]
        return Changes(present, (), 1)


def make_sync(
    cluster: ClusterState, log: DecisionLog, *entries: EndpointRecord
) -> StoreSync:
    """Return a synchronisation; the store lists the entries by turns."""
    return StoreSync(
        StoreSyncDependencies(
            endpoints=Source(*entries),
            declarations=Source(),
            cluster=cluster,
            declaration=CurrentDeclaration(),
            pool=cast('Any', Unused()),
            control=cast('Any', Unused()),
            log=log,
            random=Random(1),
            store_era=StoreEra(clock=current_time, log=log),
            may_watch=lambda: True,
            spread=lambda from_store: None,
        )
    )


async def has_left_after(*entries: EndpointRecord, wait_s: float) -> bool:
    """Return whether the endpoint of some entries has left after a time."""
    clock = current_time
    cluster = ClusterState(
        selector=EndpointSelector(data_centre='patan', regions={}),
        log=NullLog(),
        clock=clock,
        drain_timeout_s=DRAIN_TIMEOUT_S,
    )
    sync = make_sync(cluster, NullLog(), *entries)
    async with open_nursery() as nursery:
        nursery.start_soon(sync.watch_endpoints)
        nursery.start_soon(sync.watch_declaration)
        await sleep(wait_s)
        nursery.cancel_scope.cancel()
    return cluster.endpoints.has_left(READY.endpoint, current_time())


@with_virtual_clock
async def test_restarted_node_uses_an_endpoint_that_has_left() -> None:
    leaving = replace(READY, leaving=True)
    assert await has_left_after(leaving, wait_s=0.5)


@with_virtual_clock
async def test_endpoint_that_begins_to_leave_is_not_used() -> None:
    leaving = replace(READY, leaving=True)
    assert not await has_left_after(READY, leaving, wait_s=1.5)
    assert await has_left_after(READY, leaving, wait_s=1 + DRAIN_TIMEOUT_S)
