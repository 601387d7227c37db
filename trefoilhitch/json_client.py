"""Typed JSON messages over an HTTP client."""

from typing import Protocol, TypeVar

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode, encode

from trefoilhitch.errors import ConnectionLostError
from trefoilhitch.http_message import HttpRequest, HttpResponse

ReplyT = TypeVar('ReplyT')
_HTTP_OK = 200


class HttpTransport(Protocol):
    """Carries one request and its whole answer."""

    async def request(self, req: HttpRequest, deadline: float) -> HttpResponse:
        """Send a request and wait for its whole answer.

        Args:
            req: the request.
            deadline: monotonic time.

        Returns:
            The whole response.

        """


class ErrorDecoder(Protocol):
    """Turns the error body of a service into a typed failure."""

    def __call__(self, body: bytes) -> Exception:
        """Build the failure.

        Args:
            body: body of a response whose status is not 200.

        Returns:
            The failure to raise.

        """


class JsonClient:
    """Exchanges typed messages with one service.

    Args:
        transport: carries requests.
        error_decoder: reads error bodies.

    """

    def __init__(
        self, *, transport: HttpTransport, error_decoder: ErrorDecoder
    ) -> None:
        """Keep the collaborators."""
        self._transport = transport
        self._error_decoder = error_decoder

    async def post(
        self,
        path: str,
        message: Struct,
        reply_type: type[ReplyT],
        deadline: float,
    ) -> ReplyT:
        """Send a message and return the typed reply.

        Args:
            path: request target.
            message: body.
            reply_type: type of the reply.
            deadline: monotonic time.

        Returns:
            The reply.

        Raises:
            ConnectionLostError: the reply is not of that type.

        """
        req = HttpRequest('POST', path, body=encode(message))
        return self._decode(
            await self._transport.request(req, deadline), reply_type
        )

    async def get(
        self,
        path: str,
        reply_type: type[ReplyT],
        deadline: float,
    ) -> ReplyT:
        """Ask for a message.

        Args:
            path: request target.
            reply_type: type of the reply.
            deadline: monotonic time.

        Returns:
            The reply.

        Raises:
            ConnectionLostError: the reply is not of that type.

        """
        req = HttpRequest('GET', path)
        return self._decode(
            await self._transport.request(req, deadline), reply_type
        )

    def _decode(self, resp: HttpResponse, reply_type: type[ReplyT]) -> ReplyT:
        if resp.status != _HTTP_OK:
            raise self._error_decoder(resp.body)
        return decode_reply(resp.body, reply_type)


def decode_reply(body: bytes, reply_type: type[ReplyT]) -> ReplyT:
    """Decode the body of a reply.

    Args:
        body: JSON.
        reply_type: type of the reply.

    Returns:
        The reply.

    Raises:
        ConnectionLostError: the body is not of that type.

    """
    try:
        return decode(body, type=reply_type)
    except (DecodeError, ValidationError) as exc:
        raise ConnectionLostError(f'unreadable reply: {exc}') from exc
