"""Emulated platform: the object store and the promotion API."""

from collections import Counter
from dataclasses import dataclass, field, replace
from http import HTTPStatus
from typing import Any
from urllib.parse import unquote

from msgspec.json import decode, encode
from trio import Event, move_on_after, sleep, sleep_forever

from trefoilhitch.http_message import HttpRequest, HttpResponse
from trefoilhitch_lab.wire_group import WireGroup

PAGE_OBJECTS = 50
_ROOT = '/-/objects/'
_ERA_HEADER = 'store-era'
_MS_PER_S = 1000


@dataclass(slots=True)
class PlatformFaults:
    """Fault switches of the store and of the promotion API.

    Args:
        outage: respond with 503 and execute nothing.
        silent: never respond.
        delay_s: delay of each response, in seconds.
        delayed_kind: kind of objects whose requests are delayed, empty for all.
        drop_responses: number of coming writes or promotion commands that
            take effect and get a 503 instead of a response.
        late_commands: number of coming promotion commands that are executed
            only after `late_command_delay_s`, when the client has timed out.
        late_command_delay_s: delay of a late command, in seconds.
        silent_watches: watches report no changes.
        silent_kinds: kinds of objects about which nothing is answered.

    """

    outage: bool = False
    silent: bool = False
    delay_s: float = 0
    delayed_kind: str = ''
    drop_responses: int = 0
    late_commands: int = 0
    late_command_delay_s: float = 3
    silent_watches: bool = False
    silent_kinds: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class _Change:
    revision: int
    kind: str
    stored: dict[str, Any]
    removed: bool


_ByName = dict[str, dict[str, Any]]
_Kinds = dict[str, _ByName]


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """The store's objects at one moment.

    Args:
        objects_by_kind: objects by kind and name.
        revision: revision of the store.

    """

    objects_by_kind: _Kinds
    revision: int


@dataclass(slots=True)
class StoreState:
    """State of the store, shared by all `PlatformStore` instances.

    Args:
        objects_by_kind: objects by kind and name.
        revision: current revision of the store.
        changes: history of changes, oldest first.
        discarded_revision: revision up to which the history is discarded.
        changed: set at the next change.
        era: number of times that the store was started or restored.

    """

    objects_by_kind: dict[str, dict[str, dict[str, Any]]] = field(
        default_factory=dict
    )
    revision: int = 1
    changes: list[_Change] = field(default_factory=list)
    discarded_revision: int = 0
    changed: Event = field(default_factory=Event)
    era: int = 1

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object without a revision check.

        Args:
            kind: kind of the object.
            name: name of the object.
            spec: its content.

        Returns:
            The object as stored.

        """
        self.revision += 1
        meta = {'name': name, 'revision': self.revision, 'finalizers': []}
        stored = {'meta': meta, 'spec': spec, 'status': None}
        self.objects_by_kind.setdefault(kind, {})[name] = stored
        self._append_change(_Change(self.revision, kind, stored, removed=False))
        return stored

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists.

        Args:
            kind: kind of the object.
            name: name of the object.

        """
        stored = self.objects_by_kind.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            self._append_change(
                _Change(self.revision, kind, stored, removed=True)
            )

    def discard_history(self) -> None:
        """Discard the history; watches from older revisions end with 410."""
        self.discarded_revision = self.revision
        self.changes.clear()
        self._notify_watches()

    def copy(self) -> StoreCopy:
        """Return a copy to restore the store from."""
        return StoreCopy(_copy_kinds(self.objects_by_kind), self.revision)

    def restore(self, copy: StoreCopy) -> None:
        """Lose all writes since a copy was taken, and begin a new era.

        Args:
            copy: the copy.

        """
        self.objects_by_kind = _copy_kinds(copy.objects_by_kind)
        self.revision = copy.revision
        self.changes = [
            change
            for change in self.changes
            if change.revision <= copy.revision
        ]
        self.era += 1
        self._notify_watches()

    def _append_change(self, change: _Change) -> None:
        self.changes.append(change)
        self._notify_watches()

    def _notify_watches(self) -> None:
        self.changed.set()
        self.changed = Event()


class PlatformStore:
    """HTTP interface to the store, with its own fault switches.

    Args:
        state: state of the store, shared with other instances.

    """

    def __init__(self, state: StoreState) -> None:
        """Start without faults."""
        self.state = state
        self.faults = PlatformFaults()
        self.request_counts: Counter[str] = Counter()

    async def respond(self, req: HttpRequest) -> HttpResponse:
        """Respond to a store request.

        Args:
            req: the complete request.

        Returns:
            The complete response.

        """
        resp = await self._respond(req)
        return replace(resp, headers={_ERA_HEADER: str(self.state.era)})

    async def _respond(self, req: HttpRequest) -> HttpResponse:
        self.request_counts[req.method] += 1
        kind, _, name = req.path.removeprefix(_ROOT).partition('/')
        if self.faults.delayed_kind in {'', kind}:
            await sleep(self.faults.delay_s)
        if self.faults.silent or kind in self.faults.silent_kinds:
            await sleep_forever()
        if self.faults.outage:
            return HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE)
        if 'watch' in req.query:
            return await self._watch(kind, req.query)
        if req.method != 'GET':
            return self._write_object(kind, unquote(name), req)
        if name:
            stored = self.state.objects_by_kind.get(kind, {}).get(unquote(name))
            return (
                _json_response(stored)
                if stored
                else _empty_response(HTTPStatus.NOT_FOUND)
            )
        return self._list(kind, req.query.get('after', ''))

    def _list(self, kind: str, after: str) -> HttpResponse:
        of_kind = self.state.objects_by_kind.get(kind, {})
        names = [name for name in sorted(of_kind) if name > after]
        page = names[:PAGE_OBJECTS]
        return _json_response(
            {
                'items': [of_kind[name] for name in page],
                'has_more': len(names) > len(page),
                'current_rev': self.state.revision,
            }
        )

    async def _watch(self, kind: str, query: dict[str, str]) -> HttpResponse:
        revision = int(query['watch'])
        era = self.state.era
        if revision > self.state.revision:
            return _empty_response(HTTPStatus.GONE)
        with move_on_after(int(query['wait_ms']) / _MS_PER_S):
            while not self._ends_watch(kind, revision, era):
                await self.state.changed.wait()
        if revision < self.state.discarded_revision:
            return _empty_response(HTTPStatus.GONE)
        if self.faults.outage or self.state.era != era:
            return _empty_response(HTTPStatus.SERVICE_UNAVAILABLE)
        events = [
            {'object': change.stored, 'tombstone': change.removed}
            for change in self._changes_since(kind, revision)
        ]
        return _json_response(
            {'events': events, 'current_rev': self.state.revision}
        )

    def _ends_watch(self, kind: str, revision: int, era: int) -> bool:
        if self.state.era != era or revision < self.state.discarded_revision:
            return True
        return bool(self._changes_since(kind, revision))

    def _changes_since(self, kind: str, revision: int) -> list[_Change]:
        if self.faults.silent_watches:
            return []
        return [
            change
            for change in self.state.changes
            if change.kind == kind and change.revision > revision
        ]

    def _write_object(
        self, kind: str, name: str, req: HttpRequest
    ) -> HttpResponse:
        of_kind = self.state.objects_by_kind.setdefault(kind, {})
        if req.method == 'DELETE':
            self.state.remove(kind, name)
            return _json_response({})
        request_object = decode(req.body)
        meta = request_object['meta']
        existing = of_kind.get(meta['name'])
        if req.method == 'PUT' and existing is None:
            return _empty_response(HTTPStatus.NOT_FOUND)
        if existing is not None and _conflicts(req.method, meta, existing):
            return _json_response(existing, HTTPStatus.CONFLICT)
        stored = self.state.put(kind, meta['name'], request_object['spec'])
        if self.faults.drop_responses:
            self.faults.drop_responses -= 1
            return HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE, close=True)
        return _json_response(stored)


@dataclass(frozen=True, slots=True)
class PromotionCommand:
    """A promotion command as the platform received it.

    Args:
        service: service whose primary is replaced.
        endpoint: id of the endpoint to promote.
        holder: node that holds the lease and sent the command.
        token: fencing token of the lease.

    """

    service: str
    endpoint: str
    holder: str
    token: int


class PromotionApi:
    """Executes promotion commands after a check of their fencing tokens.

    Args:
        groups: database groups by service.

    """

    def __init__(self, groups: dict[str, WireGroup]) -> None:
        """Start without commands."""
        self.faults = PlatformFaults()
        self.received: list[PromotionCommand] = []
        self.completed: list[PromotionCommand] = []
        self._groups = groups
        self._highest_tokens: Counter[str] = Counter()

    async def respond(self, req: HttpRequest) -> HttpResponse:
        """Execute a promotion command.

        Args:
            req: the complete request.

        Returns:
            The complete response; 409 if the command was refused.

        """
        body = decode(req.body)
        headers = {name.lower(): text for name, text in req.headers.items()}
        command = PromotionCommand(
            body['service'],
            body['id'],
            headers['lease-holder'],
            int(headers['fencing-token']),
        )
        self.received.append(command)
        if self.faults.outage:
            return _empty_response(HTTPStatus.SERVICE_UNAVAILABLE)
        if self.faults.late_commands:
            self.faults.late_commands -= 1
            await sleep(self.faults.late_command_delay_s)
        is_promoted = await self._execute(command)
        if self.faults.drop_responses:
            self.faults.drop_responses -= 1
            return HttpResponse(HTTPStatus.SERVICE_UNAVAILABLE, close=True)
        return _empty_response(
            HTTPStatus.OK if is_promoted else HTTPStatus.CONFLICT
        )

    async def _execute(self, command: PromotionCommand) -> bool:
        if command.token < self._highest_tokens[command.service]:
            return False
        self._highest_tokens[command.service] = command.token
        is_promoted = await self._groups[command.service].promote(
            command.endpoint
        )
        if is_promoted:
            self.completed.append(command)
        return is_promoted


def _copy_kinds(kinds: _Kinds) -> _Kinds:
    return {kind: dict(of_kind) for kind, of_kind in kinds.items()}


def _conflicts(
    method: str, meta: dict[str, Any], existing: dict[str, Any]
) -> bool:
    return method == 'POST' or meta['revision'] != existing['meta']['revision']


def _json_response(body: Any, status: int = HTTPStatus.OK) -> HttpResponse:
    return HttpResponse(status, encode(body))


def _empty_response(status: int) -> HttpResponse:
    return HttpResponse(status)
