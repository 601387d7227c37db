"""Cancels requests to a primary once it has been replaced."""

from collections import defaultdict
from collections.abc import Awaitable, Callable
from typing import TypeVar

from trio import CancelScope

from trefoilhitch.errors import ConnectionLostError

ReplyT = TypeVar('ReplyT')


class TermGuard:
    """Cancels the requests that wait for a primary when its term ends."""

    def __init__(self) -> None:
        """Start without requests."""
        self._scopes: defaultdict[str, set[CancelScope]] = defaultdict(set)

    async def run(
        self,
        service: str,
        send: Callable[[], Awaitable[ReplyT]],
    ) -> ReplyT:
        """Wait for the primary's response, at most until its term ends.

        Args:
            service: name of the service.
            send: sends the request to the primary.

        Returns:
            The primary's response.

        Raises:
            ConnectionLostError: the term ended first; the request may have been
                executed.

        """
        scope = CancelScope()
        scopes = self._scopes[service]
        scopes.add(scope)
        try:
            with scope:
                return await send()
        finally:
            scopes.discard(scope)
        raise ConnectionLostError('the primary was replaced')

    def end_term(self, service: str) -> None:
        """Cancel all requests that wait for the primary of a service.

        Args:
            service: name of the service.

        """
        for scope in self._scopes[service]:
            scope.cancel()
