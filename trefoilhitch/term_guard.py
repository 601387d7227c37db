"""Ends waits on a primary as soon as its term is known to be over."""

from collections import defaultdict
from collections.abc import Awaitable, Callable
from typing import TypeVar

from trio import CancelScope

from trefoilhitch.errors import ConnectionLostError

ReplyT = TypeVar('ReplyT')


class TermGuard:
    """Keeps the waits on primaries, so that a change of primary ends them."""

    def __init__(self) -> None:
        """Start without waits."""
        self._scopes: defaultdict[str, set[CancelScope]] = defaultdict(set)

    async def run(
        self,
        service: str,
        send: Callable[[], Awaitable[ReplyT]],
    ) -> ReplyT:
        """Wait for a primary, at most until its term ends.

        Args:
            service: name of the service.
            send: asks the primary.

        Returns:
            The primary's answer.

        Raises:
            ConnectionLostError: the term ended first; what was asked may have
                been done.

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
        """End all waits on the primary of a service.

        Args:
            service: its name.

        """
        for scope in self._scopes[service]:
            scope.cancel()
