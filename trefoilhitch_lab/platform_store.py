"""Stand-in of the platform's store and of its call that changes a lead."""

from collections import Counter
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any
from urllib.parse import unquote

from msgspec.json import decode, encode
from trio import Event, move_on_after, sleep, sleep_forever

from trefoilhitch.http_message import HttpRequest, HttpResponse
from trefoilhitch_lab.wire_group import WireGroup

PAGE_OBJECTS = 50
_ROOT = '/-/objects/'
_MS_PER_S = 1000


@dataclass(slots=True)
class PlatformFaults:
    """Fault switches of the store and of the promotion call.

    Args:
        outage: answer 503 without doing anything.
        silent: answer nothing.
        delay_s: answer so much later.
        lose_answers: number of coming writes or orders that are done without
            an answer.
        late_orders: number of coming orders that get no answer and are
            carried out `late_by_s` later.
        late_by_s: how much later.
        deaf_watches: watches hear of nothing.

    """

    outage: bool = False
    silent: bool = False
    delay_s: float = 0
    lose_answers: int = 0
    late_orders: int = 0
    late_by_s: float = 3
    deaf_watches: bool = False


@dataclass(frozen=True, slots=True)
class _Change:
    revision: int
    kind: str
    stored: dict[str, Any]
    removed: bool


@dataclass(slots=True)
class StoreContent:
    """What the store holds, shared by all ways to reach it.

    Args:
        by_kind: objects by kind and name.
        revision: the store's revision.
        changes: its history.
        forgotten: revision up to which history is gone.
        changed: set at the next change.

    """

    by_kind: dict[str, dict[str, dict[str, Any]]] = field(default_factory=dict)
    revision: int = 1
    changes: list[_Change] = field(default_factory=list)
    forgotten: int = 0
    changed: Event = field(default_factory=Event)

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object whatever its revision.

        Args:
            kind: its kind.
            name: its name.
            spec: its content.

        Returns:
            The object as stored.

        """
        self.revision += 1
        meta = {'name': name, 'revision': self.revision, 'finalizers': []}
        stored = {'meta': meta, 'spec': spec, 'status': None}
        self.by_kind.setdefault(kind, {})[name] = stored
        self._note(_Change(self.revision, kind, stored, removed=False))
        return stored

    def remove(self, kind: str, name: str) -> None:
        """Remove an object.

        Args:
            kind: its kind.
            name: its name.

        """
        stored = self.by_kind.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._note(_Change(self.revision, kind, stored, removed=True))

    def forget(self) -> None:
        """Discard the history and end all watches."""
        self.forgotten = self.revision
        self.changes.clear()
        self._wake()

    def _note(self, change: _Change) -> None:
        self.changes.append(change)
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = Event()


class PlatformStore:
    """One way to reach the store, with fault switches of its own.

    Args:
        kept: what the store holds.

    """

    def __init__(self, kept: StoreContent) -> None:
        """Start healthy."""
        self.kept = kept
        self.faults = PlatformFaults()
        self.calls: Counter[str] = Counter()

    async def respond(self, req: HttpRequest) -> HttpResponse:
        """Answer a call.

        Args:
            req: the whole request.

        Returns:
            The whole answer.

        """
        self.calls[req.method] += 1
        await sleep(self.faults.delay_s)
        if self.faults.silent:
            await sleep_forever()
        if self.faults.outage:
            return HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE)
        kind, _, name = req.path.removeprefix(_ROOT).partition('/')
        if 'watch' in req.query:
            return await self._watch(kind, req.query)
        if req.method != 'GET':
            return self._change(kind, unquote(name), req)
        if name:
            stored = self.kept.by_kind.get(kind, {}).get(unquote(name))
            return _reply(stored) if stored else _status(HTTPStatus.NOT_FOUND)
        return self._list(kind, req.query.get('after', ''))

    def _list(self, kind: str, after: str) -> HttpResponse:
        of_kind = self.kept.by_kind.get(kind, {})
        names = [name for name in sorted(of_kind) if name > after]
        page = names[:PAGE_OBJECTS]
        return _reply(
            {
                'items': [of_kind[name] for name in page],
                'has_more': len(names) > len(page),
                'current_rev': self.kept.revision,
            }
        )

    async def _watch(self, kind: str, query: dict[str, str]) -> HttpResponse:
        revision = int(query['watch'])
        with move_on_after(int(query['wait_ms']) / _MS_PER_S):
            while not self._news(kind, revision):
                if revision < self.kept.forgotten:
                    return _status(HTTPStatus.GONE)
                await self.kept.changed.wait()
        if revision < self.kept.forgotten:
            return _status(HTTPStatus.GONE)
        if self.faults.outage:
            return _status(HTTPStatus.SERVICE_UNAVAILABLE)
        events = [
            {'object': change.stored, 'tombstone': change.removed}
            for change in self._news(kind, revision)
        ]
        return _reply({'events': events, 'current_rev': self.kept.revision})

    def _news(self, kind: str, revision: int) -> list[_Change]:
        if self.faults.deaf_watches:
            return []
        return [
            change
            for change in self.kept.changes
            if change.kind == kind and change.revision > revision
        ]

    def _change(self, kind: str, name: str, req: HttpRequest) -> HttpResponse:
        of_kind = self.kept.by_kind.setdefault(kind, {})
        if req.method == 'DELETE':
            self.kept.remove(kind, name)
            return _reply({})
        sent = decode(req.body)
        meta = sent['meta']
        known = of_kind.get(meta['name'])
        if req.method == 'PUT' and known is None:
            return _status(HTTPStatus.NOT_FOUND)
        if known is not None and _conflicts(req.method, meta, known):
            return _reply(known, HTTPStatus.CONFLICT)
        stored = self.kept.put(kind, meta['name'], sent['spec'])
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            return HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE, close=True)
        return _reply(stored)


@dataclass(frozen=True, slots=True)
class PromotionOrder:
    """An order as the platform received it.

    Args:
        service: the service.
        endpoint: the endpoint that shall lead.
        holder: node that sent it.
        token: its fencing token.

    """

    service: str
    endpoint: str
    holder: str
    token: int


class PromotionApi:
    """Carries out changes of leads, checked by fencing tokens.

    Args:
        groups: database groups by service.

    """

    def __init__(self, groups: dict[str, WireGroup]) -> None:
        """Start without orders."""
        self.faults = PlatformFaults()
        self.received: list[PromotionOrder] = []
        self.done: list[PromotionOrder] = []
        self._groups = groups
        self._tokens: Counter[str] = Counter()

    async def respond(self, req: HttpRequest) -> HttpResponse:
        """Answer an order.

        Args:
            req: the whole request.

        Returns:
            The whole answer.

        """
        sent = decode(req.body)
        headers = {name.lower(): text for name, text in req.headers.items()}
        order = PromotionOrder(
            sent['service'],
            sent['id'],
            headers['lease-holder'],
            int(headers['fencing-token']),
        )
        self.received.append(order)
        if self.faults.outage:
            return _status(HTTPStatus.SERVICE_UNAVAILABLE)
        if self.faults.late_orders:
            self.faults.late_orders -= 1
            await sleep(self.faults.late_by_s)
        done = await self._carry_out(order)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            return HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE, close=True)
        return _status(HTTPStatus.OK if done else HTTPStatus.CONFLICT)

    async def _carry_out(self, order: PromotionOrder) -> bool:
        if order.token < self._tokens[order.service]:
            return False
        self._tokens[order.service] = order.token
        done = await self._groups[order.service].promote(order.endpoint)
        if done:
            self.done.append(order)
        return done


def _conflicts(
    method: str, meta: dict[str, Any], known: dict[str, Any]
) -> bool:
    return method == 'POST' or meta['revision'] != known['meta']['revision']


def _reply(body: Any, status: int = HTTPStatus.OK) -> HttpResponse:
    return HttpResponse(status, encode(body))


def _status(status: int) -> HttpResponse:
    return HttpResponse(status)
