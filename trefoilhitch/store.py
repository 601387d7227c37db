"""Clients for the platform's object API and its VM list."""

from contextlib import suppress
from typing import Protocol, TypeVar
from urllib.parse import quote

from msgspec.json import encode

from trefoilhitch._generated.store import (
    ListedVm,
    PutRequest,
    StoredObject,
    VmList,
)
from trefoilhitch._generated.store import StoreError as StoreErrorMessage
from trefoilhitch.errors import (
    RefusalError,
    StoreConflictError,
    StoreError,
    StoreTooLargeError,
    StoreUnavailableError,
)
from trefoilhitch.http_client import HttpClient
from trefoilhitch.http_message import HttpRequest
from trefoilhitch.json_decoding import UnreadableJsonError, decode_json
from trefoilhitch.json_members import split_array, split_object

_HTTP_OK = 200
ReplyT = TypeVar('ReplyT')
_WATCH_WAIT_MS = 20000


class ObjectStore(Protocol):
    """Stores versioned objects."""

    async def get(self, name: str, deadline: float) -> StoredObject:
        """Read an object; one that does not exist has version 0."""

    async def put(
        self,
        name: str,
        body: str,
        if_version: int | None,
        deadline: float,
    ) -> StoredObject:
        """Write an object if its stored version is the expected one."""

    async def watch(
        self, name: str, after: int, deadline: float
    ) -> StoredObject:
        """Wait until an object has a later version, for a limited time."""


class VmDirectory(Protocol):
    """Lists the VMs of the system; the list may be outdated."""

    async def list_vms(self, deadline: float) -> VmList:
        """Read the list."""


class HttpObjectStore:
    """HTTP client for the object API.

    Args:
        address: `ADDRESS:PORT`.

    """

    def __init__(self, address: str) -> None:
        """Start without connections; requests open them."""
        self._client = HttpClient(address)

    async def get(self, name: str, deadline: float) -> StoredObject:
        """Read an object; one that does not exist has version 0.

        Args:
            name: name of the object.
            deadline: monotonic time in seconds.

        Returns:
            The object.

        Raises:
            StoreUnavailableError: the store did not respond or failed.

        """
        return await self._send(
            HttpRequest('GET', _object_path(name)), deadline
        )

    async def put(
        self,
        name: str,
        body: str,
        if_version: int | None,
        deadline: float,
    ) -> StoredObject:
        """Write an object if its stored version is the expected one.

        Args:
            name: name of the object.
            body: text of at most 1 MB.
            if_version: expected version; 0 if the object must not exist; None
                for any version.
            deadline: monotonic time in seconds.

        Returns:
            The object with its new version and no body.

        Raises:
            StoreConflictError: another version is stored.
            StoreTooLargeError: the body is too large.
            StoreUnavailableError: the store did not respond or failed; the
                object may have been written.

        """
        message = encode(PutRequest(body=body, if_version=if_version))
        req = HttpRequest('PUT', _object_path(name), body=message)
        return await self._send(req, deadline)

    async def watch(
        self, name: str, after: int, deadline: float
    ) -> StoredObject:
        """Wait until an object has a later version, for a limited time.

        Args:
            name: name of the object.
            after: last known version.
            deadline: monotonic time in seconds.

        Returns:
            The object; its version is unchanged if the wait timed out.

        Raises:
            StoreUnavailableError: the store did not respond or failed.

        """
        target = f'{_object_path(name)}?after={after}&wait_ms={_WATCH_WAIT_MS}'
        return await self._send(HttpRequest('GET', target), deadline)

    async def _send(self, req: HttpRequest, deadline: float) -> StoredObject:
        try:
            resp = await self._client.request(req, deadline)
        except RefusalError as exc:
            raise StoreUnavailableError(exc.detail) from exc
        if resp.status != _HTTP_OK:
            raise _read_store_error(resp.body)
        return _decode_reply(resp.body, StoredObject)


class HttpVmDirectory:
    """HTTP client for the VM list.

    Args:
        address: `ADDRESS:PORT`.

    """

    def __init__(self, address: str) -> None:
        """Start without connections; requests open them."""
        self._client = HttpClient(address)

    async def list_vms(self, deadline: float) -> VmList:
        """Read the list.

        Args:
            deadline: monotonic time in seconds.

        Returns:
            The list, which may be outdated.

        Raises:
            StoreUnavailableError: the platform did not respond.

        """
        try:
            resp = await self._client.request(
                HttpRequest('GET', '/v1/vms'), deadline
            )
        except RefusalError as exc:
            raise StoreUnavailableError(exc.detail) from exc
        if resp.status != _HTTP_OK:
            raise _read_store_error(resp.body)
        return _decode_vm_list(resp.body)


def _object_path(name: str) -> str:
    return f'/v1/objects/{quote(name, safe="/")}'


def _decode_reply(body: bytes, reply_type: type[ReplyT]) -> ReplyT:
    try:
        return decode_json(body, reply_type)
    except UnreadableJsonError as exc:
        raise StoreUnavailableError(f'unreadable reply: {exc}') from exc


def _decode_vm_list(body: bytes) -> VmList:
    """Decode the list; a VM that cannot be read hides no other."""
    with suppress(UnreadableJsonError):
        return decode_json(body, VmList)
    try:
        listed = split_array(split_object(body).get('vms', b''))
    except UnreadableJsonError as exc:
        raise StoreUnavailableError(f'unreadable list: {exc}') from exc
    vms: list[ListedVm] = []
    for entry in listed:
        with suppress(UnreadableJsonError):
            vms.append(decode_json(entry, ListedVm))
    return VmList(vms=vms)


def _read_store_error(body: bytes) -> StoreError:
    try:
        error = decode_json(body, StoreErrorMessage)
    except UnreadableJsonError as exc:
        return StoreUnavailableError(f'unreadable error: {exc}')
    if error.code == 'conflict':
        return StoreConflictError(error.version)
    if error.code == 'too_large':
        return StoreTooLargeError(error.detail)
    return StoreUnavailableError(error.detail or error.code)
