"""Holders of leases that are asked whether their failover still runs."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import pytest
from trio import current_time, sleep

from tests.support import with_virtual_clock
from trefoilhitch._generated.peer import (
    LeaseAttemptReply,
    LeaseAttemptRequest,
)
from trefoilhitch.decision_log import NullLog
from trefoilhitch.pooler.lease import (
    LEASE_DURATION_S,
    LeaseRecord,
    ObservedLease,
    may_acquire,
)
from trefoilhitch.pooler.lease_client import LeaseClient
from trefoilhitch.pooler.ports import LeaseStore
from trefoilhitch.pooler.seen_leases import (
    HOLDER_QUERY_INTERVAL_S,
    HOLDER_TIMEOUT_S,
    SeenLeases,
)
from trefoilhitch.pooler.store_era import StoreEra

SERVICE = 'ledger'
NODE = 'node-1'
ADDRESS = '127.0.0.1:7100'
OWN_ADDRESS = '127.0.0.1:7101'
HELD = LeaseRecord(
    revision=3,
    token=7,
    holder='node-2',
    address=ADDRESS,
    attempt='node-2/1',
    era=1,
)
STEP_S = 0.1
# A lease of the second era that was written in the first one.
OUTDATED = replace(HELD, era=2)


@dataclass
class Store(LeaseStore):
    """Store of one lease."""

    lease: LeaseRecord = HELD

    async def read_lease(self, service: str, deadline: float) -> LeaseRecord:
        """Read the lease."""
        return self.lease


@dataclass
class Holder:
    """The holder, as a client that reaches it.

    Args:
        reply: its answer, None if it does not answer.
        on_request: called before the answer arrives.

    """

    reply: LeaseAttemptReply | None
    on_request: Callable[[], None] = lambda: None
    requests: list[tuple[str, LeaseAttemptRequest]] = field(
        default_factory=list
    )

    async def request(
        self,
        address: str,
        name: str,
        message: LeaseAttemptRequest,
        reply_type: type[LeaseAttemptReply],
        *,
        timeout_s: float,
    ) -> LeaseAttemptReply | None:
        """Answer a request, or let it time out."""
        assert name == 'lease_attempt'
        self.requests.append((address, message))
        self.on_request()
        if self.reply is None:
            await sleep(timeout_s)
        return self.reply


def ignore() -> None:
    """Do nothing."""


def seen_leases(store: Store, holder: Any) -> SeenLeases:
    """Return the leases as a node sees them."""
    era = StoreEra(clock=current_time, log=NullLog())
    era.observe(store.lease.era)
    return SeenLeases(
        leases=LeaseClient(store),
        client=holder,
        node=NODE,
        address=OWN_ADDRESS,
        clock=current_time,
        store_era=era,
        log=NullLog(),
    )


async def is_free(leases: SeenLeases) -> bool:
    """Read the lease for a failover; return whether it may be acquired."""
    seen = await leases.read_for_failover(SERVICE, ignore)
    return may_acquire(seen, NODE, current_time(), -LEASE_DURATION_S)


@with_virtual_clock
async def test_holder_that_denies_the_attempt_loses_its_lease() -> None:
    holder = Holder(LeaseAttemptReply(running=False))
    leases = seen_leases(Store(), holder)
    assert await is_free(leases)
    assert await is_free(leases)
    message = LeaseAttemptRequest(node=HELD.holder, attempt=HELD.attempt)
    assert holder.requests == [(ADDRESS, message)]


@pytest.mark.parametrize('reply', [None, LeaseAttemptReply(running=True)])
def test_holder_that_may_go_on_keeps_its_lease(
    reply: LeaseAttemptReply | None,
) -> None:
    """Guards against two holders, and against a storm of requests."""

    @with_virtual_clock
    async def play() -> None:
        holder = Holder(reply)
        leases = seen_leases(Store(), holder)
        while current_time() < LEASE_DURATION_S:
            assert not await is_free(leases)
            await sleep(STEP_S)
        assert await is_free(leases)
        limit = LEASE_DURATION_S / HOLDER_QUERY_INTERVAL_S + 1
        assert 1 < len(holder.requests) <= limit

    play()


@pytest.mark.parametrize(
    'lease',
    [
        replace(HELD, address=''),
        replace(HELD, address=OWN_ADDRESS),
        replace(HELD, attempt=''),
        replace(HELD, holder=''),
        replace(HELD, holder=NODE),
        OUTDATED,
    ],
)
def test_holder_is_asked_in_vain(lease: LeaseRecord) -> None:
    """Guards against requests whose answer decides nothing."""

    @with_virtual_clock
    async def play() -> None:
        holder = Holder(LeaseAttemptReply(running=False))
        await is_free(seen_leases(Store(lease), holder))
        assert holder.requests == []

    play()


def test_answer_does_not_release_a_lease_of_an_earlier_era() -> None:
    ended = ObservedLease(OUTDATED, 0, has_ended=True)
    assert not may_acquire(ended, NODE, LEASE_DURATION_S - STEP_S, 0)


@with_virtual_clock
async def test_answer_releases_another_revision() -> None:
    """Guards against a lease that changed while its holder was asked."""
    store = Store()
    leases = seen_leases(store, Holder(LeaseAttemptReply(running=False)))
    assert await is_free(leases)
    store.lease = replace(HELD, revision=4, attempt='node-2/2')
    seen = await leases.read(SERVICE, ignore)
    assert not seen.has_ended


@with_virtual_clock
async def test_lease_that_changes_meanwhile_is_not_marked() -> None:
    store = Store()
    changed = replace(HELD, revision=4, attempt='node-2/2')
    later: list[ObservedLease] = []
    holder = Holder(LeaseAttemptReply(running=False))
    leases = seen_leases(store, holder)

    async def change(*args: object, **fields: object) -> LeaseAttemptReply:
        store.lease = changed
        later.append(await leases.read(SERVICE, ignore))
        return LeaseAttemptReply(running=False)

    holder.request = change
    ended = await leases.read_for_failover(SERVICE, ignore)
    assert ended.record == HELD
    assert not (await leases.read(SERVICE, ignore)).has_ended
    assert later[0].record == changed


@with_virtual_clock
async def test_silent_holder_delays_a_failover_by_its_timeout_only() -> None:
    started_at = current_time()
    assert not await is_free(seen_leases(Store(), Holder(None)))
    assert current_time() - started_at <= HOLDER_TIMEOUT_S
