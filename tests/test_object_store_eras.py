"""Responses of a store that is restored while it is read."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from http import HTTPStatus

import pytest
from msgspec.json import encode
from trio import current_time, open_nursery, sleep

from tests.support import with_virtual_clock
from trefoilhitch.decision_log import NullLog
from trefoilhitch.errors import StoreUnavailableError
from trefoilhitch.http_message import HttpRequest, HttpResponse
from trefoilhitch.http_server import HttpServer, SharedHandlerFactory
from trefoilhitch.metrics import Metrics
from trefoilhitch.platform.lease_store import PlatformLeaseStore
from trefoilhitch.platform.object_store import (
    ERA_HEADER,
    ObjectStoreClient,
)
from trefoilhitch.platform.stored_objects import ChangeList
from trefoilhitch.platform.unreadable_reporter import UnreadableReporter
from trefoilhitch.pooler.lease import ERA_MAX_AGE_S, LEASE_DURATION_S
from trefoilhitch.pooler.store_era import StoreEra

TIMEOUT_S = 1.0


def page(name: str, era: int, *, has_more: bool) -> HttpResponse:
    """Return a page of a listing with one object."""
    stored = {'meta': {'name': name, 'revision': 3}, 'spec': {}}
    body = {'items': [stored], 'has_more': has_more, 'current_rev': 9}
    return HttpResponse(200, encode(body), {ERA_HEADER: str(era)})


class PlannedStore:
    """Store that answers with planned responses."""

    def __init__(self, *responses: HttpResponse) -> None:
        """Set the responses."""
        self._planned = list(responses)

    async def respond(self, req: HttpRequest) -> HttpResponse:
        """Return the next response."""
        return self._planned.pop(0)


@asynccontextmanager
async def client_of(
    *responses: HttpResponse,
) -> AsyncIterator[ObjectStoreClient]:
    """Yield a client of a store with planned responses."""
    handlers = SharedHandlerFactory(PlannedStore(*responses))
    async with open_nursery() as nursery:
        server = HttpServer(factory=handlers, reporter=NullLog())
        port = await server.listen(nursery, '127.0.0.1', 0)
        era = StoreEra(clock=current_time, log=NullLog())
        yield ObjectStoreClient(f'127.0.0.1:{port}', era)
        nursery.cancel_scope.cancel()


def names_of(listed: ChangeList) -> list[str]:
    """Return the names of the listed objects."""
    return [change.stored.meta.name for change in listed.changes]


@with_virtual_clock
async def test_pages_of_two_eras_are_one_listing() -> None:
    first = page('a', 1, has_more=True)
    async with client_of(first, page('b', 2, has_more=False)) as store:
        with pytest.raises(StoreUnavailableError):
            await store.list_kind('servers', current_time() + TIMEOUT_S)


@with_virtual_clock
async def test_response_of_an_earlier_era_is_used_after_a_later_one() -> None:
    first = page('a', 2, has_more=False)
    async with client_of(first, page('b', 1, has_more=False)) as store:
        listed = await store.list_kind('servers', current_time() + TIMEOUT_S)
        assert (listed.era, listed.revision) == (2, 9)
        with pytest.raises(StoreUnavailableError):
            await store.list_kind('servers', current_time() + TIMEOUT_S)


@with_virtual_clock
async def test_lease_of_a_later_era_with_the_same_revision_is_replaced() -> (
    None
):
    missing = [
        HttpResponse(HTTPStatus.NOT_FOUND, b'', {ERA_HEADER: str(era)})
        for era in (1, 2)
    ]
    async with client_of(*missing) as store:
        reporter = UnreadableReporter(NullLog(), Metrics())
        leases = PlatformLeaseStore(store, reporter)
        deadline = current_time() + LEASE_DURATION_S
        lease = await leases.read_lease('ledger', deadline)
        await sleep(ERA_MAX_AGE_S)
        # The store is asked for its era, and gets no write.
        assert await leases.write_lease('ledger', lease, deadline) is None


@with_virtual_clock
async def test_check_accepts_an_outdated_copy() -> None:
    """Guards against a monitor that leaves its place after a restoration."""
    responses = [
        HttpResponse(status, b'', {ERA_HEADER: str(era)})
        for status, era in (
            (HTTPStatus.NOT_FOUND, 2),
            (HTTPStatus.NOT_FOUND, 1),
            (HTTPStatus.NOT_FOUND, 1),
            (HTTPStatus.SERVICE_UNAVAILABLE, 2),
        )
    ]
    async with client_of(*responses) as store:
        reporter = UnreadableReporter(NullLog(), Metrics())
        leases = PlatformLeaseStore(store, reporter)
        deadline = current_time() + TIMEOUT_S
        await leases.read_lease('ledger', deadline)
        await leases.check('ledger', deadline)
        # A lease of the earlier era is still refused.
        with pytest.raises(StoreUnavailableError):
            await leases.read_lease('ledger', deadline)
        with pytest.raises(StoreUnavailableError):
            await leases.check('ledger', deadline)


@with_virtual_clock
async def test_pages_of_one_era_are_refused() -> None:
    for era in (0, 2):
        first = page('a', era, has_more=True)
        async with client_of(first, page('b', era, has_more=False)) as store:
            listed = await store.list_kind(
                'servers', current_time() + TIMEOUT_S
            )
        assert names_of(listed) == ['a', 'b']
        assert listed.era == era


@pytest.mark.parametrize(
    'era', ['9' * 5000, '99999999999', '-1', '+1', '1.5', 'x', '\u00b2', '']
)
def test_malformed_era_ends_the_caller(era: str) -> None:
    async def play() -> None:
        odd = HttpResponse(200, page('a', 1, has_more=False).body)
        answer = replace(odd, headers={ERA_HEADER: era})
        async with client_of(answer, page('b', 1, has_more=False)) as store:
            deadline = current_time() + TIMEOUT_S
            with pytest.raises(StoreUnavailableError):
                await store.list_kind('servers', deadline)
            listed = await store.list_kind('servers', deadline)
        assert names_of(listed) == ['b']

    with_virtual_clock(play)()
