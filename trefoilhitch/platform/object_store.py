"""Client of the platform's object store."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, Final, TypeVar
from urllib.parse import quote, urlencode

from msgspec import Struct
from msgspec.json import encode

from trefoilhitch.decimal_text import parse_decimal
from trefoilhitch.errors import (
    ConnectionLostError,
    DeadlineError,
    EarlierEraError,
    StoreConflictError,
    StoreHistoryGoneError,
    StoreUnavailableError,
    UnreachableError,
)
from trefoilhitch.http_client import HttpClient
from trefoilhitch.http_message import HttpRequest, HttpResponse
from trefoilhitch.json_decoding import UnreadableJsonError
from trefoilhitch.platform.stored_objects import (
    ChangeList,
    DecodedPage,
    ObjectChange,
    StoredObject,
    decode_events,
    decode_object,
    decode_page,
)
from trefoilhitch.pooler.era_numbers import MAX_ERA, NO_ERA
from trefoilhitch.pooler.lease import ERA_MAX_AGE_S
from trefoilhitch.pooler.store_era import StoreEra

CONFIG_KIND: Final = 'config'
CONFIG_NAME: Final = 'main'
ENDPOINT_KIND: Final = 'servers'
EVACUATION_KIND: Final = 'evacuations'
NODE_KIND: Final = 'trefoilhitch_nodes'
LEASE_KIND: Final = 'trefoilhitch_leases'
GROUP_KIND: Final = 'trefoilhitch_groups'
# Names the era of the store in each of its responses.
ERA_HEADER: Final = 'store-era'
_OBJECTS_PATH = '/-/objects/'
_STALE_PARAMETER = 'allow_stale'
ReplyT = TypeVar('ReplyT')


class ObjectStoreClient:
    """Sends requests to the platform's object store.

    Args:
        address: `ADDRESS:PORT`.
        era: is told the era that each response names.

    """

    def __init__(self, address: str, era: StoreEra) -> None:
        """Initialise a client without connections."""
        self._era = era
        self._client = HttpClient(address, max_idle=4)

    @property
    def era(self) -> int:
        """Era of the store, as its last response or a later one named it."""
        return self._era.current

    async def list_kind(
        self, kind: str, deadline: float, *, may_be_stale: bool = False
    ) -> ChangeList:
        """Read all objects of a kind.

        Args:
            kind: kind of the objects.
            deadline: monotonic time in seconds.
            may_be_stale: whether objects may be some seconds old, which costs
                the store less.

        Returns:
            The objects, and the revision to watch from.

        Raises:
            StoreUnavailableError: no valid response, or the store was restored
                between two pages.

        """
        changes: list[ObjectChange] = []
        nameless = 0
        after = ''
        revision = 0
        era = NO_ERA
        while True:
            path = _list_path(kind, after, may_be_stale=may_be_stale)
            page = await self._read_page(path, deadline, era)
            era = self._era.current
            # Keep the first page's revision, so that the watch returns all
            # changes made while the other pages were read.
            revision = revision or page.revision
            nameless += page.nameless
            changes.extend(page.changes)
            if not page.has_more:
                return ChangeList(tuple(changes), revision, era, nameless)
            after = _next_page_after(page, after)

    async def watch(
        self, kind: str, revision: int, wait_ms: int, deadline: float
    ) -> ChangeList:
        """Wait for changes of a kind.

        Args:
            kind: kind of the objects.
            revision: latest revision that the caller has seen.
            wait_ms: how long the store waits for a change, in milliseconds.
            deadline: monotonic time in seconds.

        Returns:
            The changes, possibly none, and the new revision.

        Raises:
            StoreHistoryGoneError: the store no longer has the changes since
                that revision; the kind has to be listed again.
            StoreUnavailableError: no valid response.

        """
        target = f'{_OBJECTS_PATH}{kind}?watch={revision}&wait_ms={wait_ms}'
        resp = await self._request(HttpRequest('GET', target), deadline)
        if resp.status == HTTPStatus.GONE:
            raise StoreHistoryGoneError(kind)
        events = _decode_response(resp, decode_events)
        return ChangeList(
            events.changes, events.revision, self._era.current, events.nameless
        )

    async def get(
        self,
        kind: str,
        name: str,
        deadline: float,
        *,
        may_be_stale: bool = False,
    ) -> StoredObject | None:
        """Read an object.

        Args:
            kind: kind of the object.
            name: name of the object.
            deadline: monotonic time in seconds.
            may_be_stale: whether the object may be some seconds old, which
                costs the store less.

        Returns:
            The object, None if there is none.

        Raises:
            StoreUnavailableError: no valid response.

        """
        path = f'{_OBJECTS_PATH}{kind}/{quote(name, safe="")}'
        query = _query(may_be_stale=may_be_stale)
        resp = await self._request(HttpRequest('GET', path + query), deadline)
        if resp.status == HTTPStatus.NOT_FOUND:
            return None
        return _decode_response(resp, decode_object)

    async def put(
        self,
        kind: str,
        name: str,
        spec: Struct,
        revision: int,
        deadline: float,
    ) -> StoredObject:
        """Write an object if the given revision is still the stored one.

        Args:
            kind: kind of the object.
            name: name of the object.
            spec: content of the object.
            revision: revision to replace, 0 to create the object.
            deadline: monotonic time in seconds.

        Returns:
            The object as stored.

        Raises:
            StoreConflictError: the store has another revision.
            StoreUnavailableError: no valid response; the write may still take
                effect.

        """
        meta: dict[str, Any] = {'name': name, 'finalizers': []}
        path = f'{_OBJECTS_PATH}{kind}'
        if revision:
            meta['revision'] = revision
            path = f'{path}/{quote(name, safe="")}'
        body = encode({'meta': meta, 'spec': spec})
        method = 'PUT' if revision else 'POST'
        req = HttpRequest(method, path, body=body)
        resp = await self._request(req, deadline)
        if resp.status in {HTTPStatus.CONFLICT, HTTPStatus.NOT_FOUND}:
            raise StoreConflictError(_stored_revision(resp))
        return _decode_response(resp, decode_object)

    async def put_in_era(
        self,
        kind: str,
        name: str,
        spec: Struct,
        *,
        revision: int,
        era: int,
        deadline: float,
    ) -> StoredObject | None:
        """Write an object if its revision and era are still the store's.

        Args:
            kind: kind of the object.
            name: name of the object.
            spec: content of the object.
            revision: revision to replace, 0 to create the object.
            era: era of the store in which that revision was read.
            deadline: monotonic time in seconds.

        Returns:
            The object as stored, None if another revision is stored or the
            store was restored since that one was read; it may then have been
            written all the same.

        Raises:
            StoreUnavailableError: no valid response; the write may still take
                effect.

        """
        if not self._era.is_confirmed(ERA_MAX_AGE_S):
            await self.get(kind, name, deadline)
        if era != self.era:
            # The revision may belong to another write by now.
            return None
        try:
            stored = await self.put(kind, name, spec, revision, deadline)
        except StoreConflictError:
            return None
        return stored if era == self.era else None

    async def delete(self, kind: str, name: str, deadline: float) -> None:
        """Remove an object regardless of its revision.

        Args:
            kind: kind of the object.
            name: name of the object.
            deadline: monotonic time in seconds.

        Raises:
            StoreUnavailableError: no response; the removal may still take
                effect.

        """
        req = HttpRequest(
            'DELETE', f'{_OBJECTS_PATH}{kind}/{quote(name, safe="")}'
        )
        await self._request(req, deadline)

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    async def _read_page(
        self, path: str, deadline: float, era: int
    ) -> DecodedPage:
        """Read a page, which has to be of the same era as the one before."""
        resp = await self._request(HttpRequest('GET', path), deadline)
        if era not in {NO_ERA, self._era.current}:
            raise StoreUnavailableError('restored during the listing')
        return _decode_response(resp, decode_page)

    async def _request(self, req: HttpRequest, deadline: float) -> HttpResponse:
        # A response that may be some seconds old does not prove that its era
        # is still the present one.
        is_fresh = _STALE_PARAMETER not in req.query
        sent_at = self._era.now()
        try:
            resp = await self._client.request(req, deadline)
        except (UnreachableError, ConnectionLostError, DeadlineError) as exc:
            raise StoreUnavailableError(str(exc)) from exc
        self._check_era(_read_era(resp))
        if is_fresh:
            self._era.confirm(sent_at)
        return resp

    def _check_era(self, era: int) -> None:
        self._era.observe(era)
        if era and era != self._era.current:
            raise EarlierEraError(f'response of the earlier era {era}')


def _list_path(kind: str, after: str, *, may_be_stale: bool) -> str:
    query = _query(after, may_be_stale=may_be_stale)
    return f'{_OBJECTS_PATH}{kind}{query}'


def _query(after: str = '', *, may_be_stale: bool) -> str:
    fields = {'after': after} if after else {}
    if may_be_stale:
        fields[_STALE_PARAMETER] = '1'
    return f'?{urlencode(fields, quote_via=quote)}' if fields else ''


def _next_page_after(page: DecodedPage, after: str) -> str:
    """Return the name after which the next page begins."""
    names = [change.stored.meta.name for change in page.changes]
    if not names or names[-1] == after:
        # Without the other pages, objects would seem to be gone.
        raise StoreUnavailableError('no name to continue the listing from')
    return names[-1]


def _read_era(resp: HttpResponse) -> int:
    text = resp.headers.get(ERA_HEADER)
    if text is None:
        return NO_ERA
    era = parse_decimal(text)
    if era is None or era > MAX_ERA:
        raise StoreUnavailableError('malformed era')
    return era


def _decode_response(
    resp: HttpResponse, decode: Callable[[bytes], ReplyT]
) -> ReplyT:
    if resp.status not in {HTTPStatus.OK, HTTPStatus.CREATED}:
        raise StoreUnavailableError(f'status {resp.status}')
    try:
        return decode(resp.body)
    except UnreadableJsonError as exc:
        raise StoreUnavailableError(f'malformed response: {exc}') from exc


def _stored_revision(resp: HttpResponse) -> int:
    try:
        return decode_object(resp.body).meta.revision
    except UnreadableJsonError:
        return 0
