"""Eras of the store that only another node names."""

from random import Random

from trio import current_time, open_nursery, sleep
from trio.testing import wait_all_tasks_blocked

from tests.support import with_virtual_clock
from trefoilhitch.decision_log import NullLog
from trefoilhitch.errors import StoreUnavailableError
from trefoilhitch.pooler.era_checker import (
    CHECK_TIMEOUT_S,
    FIRST_PAUSE_S,
    MAX_PAUSE_S,
    EraChecker,
)
from trefoilhitch.pooler.store_era import StoreEra

ODD_ERA = 2**40
ROUND_TRIP_S = 0.01
HINT_INTERVAL_S = 0.05
PLAYED_S = 60


class Store:
    """A store in its first era, and a node that knows it.

    Args:
        named: era that its responses name.

    """

    def __init__(self) -> None:
        """Start with a response."""
        self.named = 1
        self.is_away = False
        self.asked_at: list[float] = []
        self.era = StoreEra(clock=current_time, log=NullLog())
        self.era.observe(1)
        self.era.confirm(current_time())
        self.checker = EraChecker(
            era=self.era, ask=self.ask, random=Random(1), log=NullLog()
        )

    async def ask(self, _deadline: float) -> None:
        """Respond to the node."""
        sent_at = current_time()
        self.asked_at.append(sent_at)
        await sleep(ROUND_TRIP_S)
        if self.is_away:
            raise StoreUnavailableError('away')
        self.era.observe(self.named)
        self.era.confirm(sent_at)


@with_virtual_clock
async def test_named_era_counts_once_the_store_names_it() -> None:
    """Guards against a node that learns late of a restored store."""
    store = Store()
    async with open_nursery() as nursery:
        nursery.start_soon(store.checker.run)
        await wait_all_tasks_blocked()
        assert not store.asked_at
        store.named = 2
        store.era.hint(2)
        assert store.era.current == 1
        await sleep(2 * ROUND_TRIP_S)
        nursery.cancel_scope.cancel()
    assert store.era.current == 2
    assert len(store.asked_at) == 1


@with_virtual_clock
async def test_store_is_asked_before_a_write_once_a_node_named_an_era() -> None:
    """Guards against a lease that is written without knowing of the era."""
    store = Store()
    assert store.era.is_confirmed(CHECK_TIMEOUT_S)
    store.era.hint(2)
    assert not store.era.is_confirmed(CHECK_TIMEOUT_S)
    await store.ask(0)
    assert store.era.is_confirmed(CHECK_TIMEOUT_S)


@with_virtual_clock
async def test_response_to_an_earlier_request_refutes_no_era() -> None:
    """Guards against a watch from before that hides a restored store."""
    store = Store()
    sent_at = current_time()
    await sleep(ROUND_TRIP_S)
    store.era.hint(2)
    store.era.confirm(sent_at)
    assert store.era.is_in_doubt


@with_virtual_clock
async def test_named_era_is_checked_again_while_the_store_is_away() -> None:
    """Guards against an era that is forgotten after a failed request."""
    store = Store()
    store.is_away = True
    async with open_nursery() as nursery:
        nursery.start_soon(store.checker.run)
        store.era.hint(2)
        await sleep(FIRST_PAUSE_S)
        store.is_away = False
        store.named = 2
        await sleep(FIRST_PAUSE_S * 2)
        nursery.cancel_scope.cancel()
    assert store.era.current == 2


@with_virtual_clock
async def test_wrong_era_that_is_named_again_causes_few_requests() -> None:
    """Guards against a node that makes others flood the store."""
    store = Store()
    async with open_nursery() as nursery:
        nursery.start_soon(store.checker.run)
        for number in range(int(PLAYED_S / HINT_INTERVAL_S)):
            store.era.hint(ODD_ERA + number)
            await sleep(HINT_INTERVAL_S)
        nursery.cancel_scope.cancel()
    assert store.era.current == 1
    # Five pauses until the longest, each at least half as long as stated.
    assert len(store.asked_at) <= 6 + PLAYED_S / (MAX_PAUSE_S / 2)
