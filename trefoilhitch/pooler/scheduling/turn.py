"""A turn of one statement at an endpoint."""

from collections.abc import Awaitable, Callable
from types import TracebackType
from typing import Protocol, Self

from trio import current_time

from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.ports import EndpointConnectionError
from trefoilhitch.pooler.response import Refusal, Response
from trefoilhitch.pooler.scheduling.concurrency_limit import MeasuredResponse
from trefoilhitch.pooler.scheduling.endpoint_turns import EndedTurn
from trefoilhitch.pooler.statement_request import StatementResult


class Turn(Protocol):
    """A statement's turn at an endpoint; it ends with its context."""

    def __enter__(self) -> Self:
        """Return the turn."""

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End the turn."""

    def record_sent(self) -> None:
        """Record that the statement is sent now."""

    def record_response(self, response: Response) -> None:
        """Record that the response has arrived."""

    def record_loss(self, exc: EndpointConnectionError) -> None:
        """Record that the response was lost."""


class UncountedTurn:
    """A turn that is not counted."""

    def __enter__(self) -> Self:
        """Return the turn."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End the turn."""

    def record_sent(self) -> None:
        """Record nothing."""

    def record_response(self, response: Response) -> None:
        """Record nothing."""

    def record_loss(self, exc: EndpointConnectionError) -> None:
        """Record nothing."""


class CountedTurn:
    """A turn that counts as a statement in flight until it ends.

    Args:
        kind: kind of the statement.
        in_flight: statements in flight, with this one.
        is_limited: whether it was subject to the limit.
        end: ends the turn.

    """

    def __init__(
        self,
        kind: str,
        in_flight: int,
        *,
        is_limited: bool,
        end: Callable[[EndedTurn], None],
    ) -> None:
        """Begin the turn."""
        self._kind = kind
        self._in_flight = in_flight
        self._is_limited = is_limited
        self._end = end
        self._began_at = current_time()
        self._sent_at = self._began_at
        self._response: MeasuredResponse | None = None

    def __enter__(self) -> Self:
        """Return the turn."""
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End the turn."""
        duration_s = current_time() - self._began_at
        self._end(EndedTurn(self._is_limited, duration_s, self._response))

    def record_sent(self) -> None:
        """Record that the statement is sent now."""
        self._sent_at = current_time()

    def record_response(self, response: Response) -> None:
        """Record that the response has arrived.

        Args:
            response: the response; a refusal for another reason than load says
                nothing about how long the endpoint takes.

        """
        if response.ok or response.refusal == Refusal.BUSY:
            self._measure(failed=not response.ok)

    def record_loss(self, exc: EndpointConnectionError) -> None:
        """Record that the response was lost.

        Args:
            exc: how it was lost; a connection that was closed says nothing
                about how long the endpoint takes.

        """
        if exc.loss == ResponseLoss.DEADLINE_PASSED:
            self._measure(failed=True)

    def _measure(self, *, failed: bool) -> None:
        self._response = MeasuredResponse(
            self._kind,
            current_time() - self._sent_at,
            self._in_flight,
            failed=failed,
        )


async def run_in_turn(
    turn: Turn, send: Callable[[], Awaitable[StatementResult]]
) -> StatementResult:
    """Send a statement and record in its turn how long the response takes.

    Args:
        turn: turn of the statement.
        send: sends it and waits for the response.

    Returns:
        The response.

    Raises:
        EndpointConnectionError: the response did not arrive completely.

    """
    turn.record_sent()
    try:
        reply = await send()
    except EndpointConnectionError as exc:
        turn.record_loss(exc)
        raise
    turn.record_response(reply.response)
    return reply
