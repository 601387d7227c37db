"""Fetches newer declarations from other nodes."""

import zlib
from base64 import b64decode, b64encode
from collections.abc import Callable

from trio import sleep

from trefoilhitch._generated.peer import DeclarationReply, DeclarationRequest
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.errors import TrefoilhitchError
from trefoilhitch.pooler.current_declaration import (
    CurrentDeclaration,
    Declaration,
)
from trefoilhitch.pooler.peer_client import DECLARATION_TIMEOUT_S, PeerClient

# A declaration can be large. A node that watches the store soon gets it from
# there, any other one from a node of its data centre.
WATCHER_DELAY_S = 1.5
FAR_DELAY_S = 1.0
# Longest text of a declaration, in bytes.
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024


class DeclarationSync:
    """Fetches a declaration when another node has a newer one.

    Args:
        declaration: declaration in force.
        client: sends requests to other nodes.
        read_declaration: parses a declaration's text.
        watches_store: returns whether this node soon gets from the store what
            others have.
        relay: tells other nodes that this one has something newer.
        log: records declarations that cannot be read.

    """

    def __init__(
        self,
        *,
        declaration: CurrentDeclaration,
        client: PeerClient,
        read_declaration: Callable[[str], Declaration],
        watches_store: Callable[[], bool],
        relay: Callable[[], None],
        log: DecisionLog,
    ) -> None:
        """Start without requests."""
        self._declaration = declaration
        self._client = client
        self._read_declaration = read_declaration
        self._watches_store = watches_store
        self._relay = relay
        self._log = log
        # Revisions that are about to be fetched from other nodes.
        self._followed_near: set[int] = set()
        self._followed_far: set[int] = set()
        self._packed = (0, '')

    async def follow(self, revision: int, address: str, *, near: bool) -> None:
        """Fetch the declaration of another node unless it arrives otherwise.

        Args:
            revision: revision that the other node has in force.
            address: its peer address.
            near: whether it is in this node's data centre.

        """
        followed = self._followed_near if near else self._followed_far
        if revision in followed or revision <= self._declaration.revision:
            return
        followed.add(revision)
        try:
            await sleep(self._delay_s(near=near))
            if revision > self._declaration.revision:
                await self._fetch(address)
        finally:
            followed.discard(revision)

    def reply(self, request: DeclarationRequest) -> DeclarationReply:
        """Answer another node's request.

        Args:
            request: the request.

        Returns:
            The declaration in force, without text if it is not newer.

        """
        revision = self._declaration.revision
        document = self._pack() if revision > request.above else ''
        return DeclarationReply(revision=revision, document=document)

    def _delay_s(self, *, near: bool) -> float:
        if self._watches_store():
            return WATCHER_DELAY_S
        return 0 if near else FAR_DELAY_S

    async def _fetch(self, address: str) -> None:
        reply = await self._client.request(
            address,
            'declaration',
            DeclarationRequest(above=self._declaration.revision),
            DeclarationReply,
            timeout_s=DECLARATION_TIMEOUT_S,
        )
        if reply is not None and reply.document:
            self._apply(reply.document)

    def _apply(self, packed: str) -> None:
        try:
            declaration = self._read_declaration(_unpack(packed))
        except (TrefoilhitchError, ValueError, zlib.error) as exc:
            self._log.event('declaration_ignored', detail=str(exc))
            return
        if self._declaration.apply_if_newer(declaration):
            self._relay()

    def _pack(self) -> str:
        revision, packed = self._packed
        if revision != self._declaration.revision:
            compressed = zlib.compress(self._declaration.document.encode())
            packed = b64encode(compressed).decode()
            self._packed = self._declaration.revision, packed
        return packed


def _unpack(packed: str) -> str:
    unpacker = zlib.decompressobj()
    document = unpacker.decompress(b64decode(packed), MAX_DOCUMENT_BYTES)
    if unpacker.unconsumed_tail:
        raise ValueError('the declaration is too long')
    return document.decode()
