"""Emulated object API of the platform."""

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
        outage: refuse every request with 503.
        delay_s: delay of each response, in seconds.
        drop_responses: number of coming writes that take effect and get a
            503 instead of a response.

    """

    outage: bool = False
    delay_s: float = 0
    drop_responses: int = 0


@dataclass(slots=True)
class _ObjectRecord:
    stored: StoredObject
    changed: Event = field(default_factory=Event)


class ObjectApi:
    """Serves versioned in-memory objects over HTTP."""

    def __init__(self) -> None:
        """Start without objects and without faults."""
        self.faults = StoreFaults()
        self.request_counts: Counter[str] = Counter()
        self._records: dict[str, _ObjectRecord] = {}

    async def respond(self, req: HttpRequest) -> HttpResponse:
        """Respond to a request.

        Args:
            req: the complete request.

        Returns:
            The complete response.

        """
        self.request_counts[_request_kind(req)] += 1
        if self.faults.delay_s:
            await sleep(self.faults.delay_s)
        if self.faults.outage:
            return _error_response(_UNAVAILABLE, 'unavailable')
        if not req.path.startswith(_PREFIX):
            return _error_response(_BAD_REQUEST, 'bad_request')
        name = req.path.removeprefix(_PREFIX)
        if req.method == 'PUT':
            return self._write_object(name, req.body)
        await self._wait_for_change(name, req.query)
        if self.faults.outage:
            return _error_response(_UNAVAILABLE, 'unavailable')
        return HttpResponse(body=encode(self._find_record(name).stored))

    def read_object(self, name: str) -> StoredObject:
        """Return an object, for tests and measurements.

        Args:
            name: name of the object.

        Returns:
            The object; version 0 if there is none.

        """
        return self._find_record(name).stored

    def copy(self) -> dict[str, StoredObject]:
        """Return a copy of all objects to restore the store from."""
        return {name: each.stored for name, each in self._records.items()}

    def restore(self, copy: Mapping[str, StoredObject]) -> None:
        """Lose all writes since a copy was taken; end all watches.

        Args:
            copy: the copy.

        """
        lost = self._records
        self._records = {
            name: _ObjectRecord(stored) for name, stored in copy.items()
        }
        for record in lost.values():
            record.changed.set()

    def _write_object(self, name: str, body: bytes) -> HttpResponse:
        try:
            write_request = decode(body, type=PutRequest)
        except (DecodeError, ValidationError):
            return _error_response(_BAD_REQUEST, 'bad_request')
        if len(write_request.body.encode()) > MAX_OBJECT_BYTES:
            return _error_response(_TOO_LARGE, 'too_large')
        record = self._find_record(name)
        version = record.stored.version
        if (
            write_request.if_version is not None
            and write_request.if_version != version
        ):
            return _error_response(_CONFLICT, 'conflict', version)
        stored = StoredObject(
            name=name, version=version + 1, body=write_request.body
        )
        self._records[name] = _ObjectRecord(stored)
        record.changed.set()
        if self.faults.drop_responses:
            self.faults.drop_responses -= 1
            return HttpResponse(_UNAVAILABLE, b'', close=True)
        acknowledged = StoredObject(name=name, version=stored.version)
        return HttpResponse(body=encode(acknowledged))

    async def _wait_for_change(
        self, name: str, query: Mapping[str, str]
    ) -> None:
        if 'after' not in query:
            return
        record = self._find_record(name)
        if record.stored.version <= int(query['after']):
            with move_on_after(int(query['wait_ms']) / _MS_PER_S):
                await record.changed.wait()

    def _find_record(self, name: str) -> _ObjectRecord:
        if name not in self._records:
            self._records[name] = _ObjectRecord(
                StoredObject(name=name, version=0)
            )
        return self._records[name]


def _request_kind(req: HttpRequest) -> str:
    if req.method == 'PUT':
        return 'write'
    return 'watch' if 'after' in req.query else 'read'


def _error_response(
    status: int, code: StoreCode, version: int = 0
) -> HttpResponse:
    return HttpResponse(status, encode(StoreError(code=code, version=version)))
