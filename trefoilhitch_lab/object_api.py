"""Stand-in of the platform's object API."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Literal, TypeAlias

from msgspec import DecodeError, ValidationError
from msgspec.json import decode, encode
from trio import Event, move_on_after, sleep

from trefoilhitch._generated.store import PutRequest, StoredObject, StoreError
from trefoilhitch.http_message import HttpRequest, HttpResponse

MAX_OBJECT_BYTES = 1_000_000
StoreCode: TypeAlias = Literal[
    'conflict',
    'too_large',
    'unavailable',
    'bad_request',
]
_PREFIX = '/v1/objects/'
_MS_PER_S = 1000
_BAD_REQUEST = 400
_CONFLICT = 409
_TOO_LARGE = 413
_UNAVAILABLE = 503


@dataclass(slots=True)
class StoreFaults:
    """Fault switches of the object API.

    Args:
        outage: refuse every call.
        delay_s: answer each call so much later.
        lose_answers: number of coming writes that take effect without an
            answer.

    """

    outage: bool = False
    delay_s: float = 0
    lose_answers: int = 0


@dataclass(slots=True)
class _Kept:
    stored: StoredObject
    changed: Event = field(default_factory=Event)


class ObjectApi:
    """Keeps versioned objects in memory and answers over HTTP."""

    def __init__(self) -> None:
        """Start empty and healthy."""
        self.faults = StoreFaults()
        self.calls: Counter[str] = Counter()
        self._kept: dict[str, _Kept] = {}

    async def respond(self, req: HttpRequest) -> HttpResponse:
        """Answer a call.

        Args:
            req: the whole request.

        Returns:
            The whole answer.

        """
        self.calls[_kind(req)] += 1
        if self.faults.delay_s:
            await sleep(self.faults.delay_s)
        if self.faults.outage:
            return _refuse(_UNAVAILABLE, 'unavailable')
        if not req.path.startswith(_PREFIX):
            return _refuse(_BAD_REQUEST, 'bad_request')
        name = req.path.removeprefix(_PREFIX)
        if req.method == 'PUT':
            return self._put(name, req.body)
        await self._wait(name, req.query)
        if self.faults.outage:
            return _refuse(_UNAVAILABLE, 'unavailable')
        return HttpResponse(body=encode(self._find(name).stored))

    def stored(self, name: str) -> StoredObject:
        """Return an object, for checks from outside.

        Args:
            name: name of the object.

        Returns:
            The object; version 0 if there is none.

        """
        return self._find(name).stored

    def _put(self, name: str, body: bytes) -> HttpResponse:
        try:
            put = decode(body, type=PutRequest)
        except (DecodeError, ValidationError):
            return _refuse(_BAD_REQUEST, 'bad_request')
        if len(put.body.encode()) > MAX_OBJECT_BYTES:
            return _refuse(_TOO_LARGE, 'too_large')
        kept = self._find(name)
        version = kept.stored.version
        if put.if_version is not None and put.if_version != version:
            return _refuse(_CONFLICT, 'conflict', version)
        stored = StoredObject(name=name, version=version + 1, body=put.body)
        self._kept[name] = _Kept(stored)
        kept.changed.set()
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            return HttpResponse(_UNAVAILABLE, b'', close=True)
        answered = StoredObject(name=name, version=stored.version)
        return HttpResponse(body=encode(answered))

    async def _wait(self, name: str, query: Mapping[str, str]) -> None:
        if 'after' not in query:
            return
        kept = self._find(name)
        if kept.stored.version <= int(query['after']):
            with move_on_after(int(query['wait_ms']) / _MS_PER_S):
                await kept.changed.wait()

    def _find(self, name: str) -> _Kept:
        if name not in self._kept:
            self._kept[name] = _Kept(StoredObject(name=name, version=0))
        return self._kept[name]


def _kind(req: HttpRequest) -> str:
    if req.method == 'PUT':
        return 'write'
    return 'watch' if 'after' in req.query else 'read'


def _refuse(status: int, code: StoreCode, version: int = 0) -> HttpResponse:
    return HttpResponse(status, encode(StoreError(code=code, version=version)))
