"""Client for typed JSON messages over HTTP."""

from typing import Protocol, TypeVar

from msgspec import Struct
from msgspec.json import encode

from trefoilhitch.errors import ConnectionLostError
from trefoilhitch.http_message import HttpRequest, HttpResponse
from trefoilhitch.json_decoding import UnreadableJsonError, decode_json

ReplyT = TypeVar('ReplyT')
_HTTP_OK = 200


class HttpTransport(Protocol):
    """Sends HTTP requests and returns their responses."""

    async def request(self, req: HttpRequest, deadline: float) -> HttpResponse:
        """Send a request and wait for the complete response.

        Args:
            req: request to send.
            deadline: monotonic time.

        Returns:
            The response.

        """


class ErrorDecoder(Protocol):
    """Converts a service's error body to an exception."""

    def __call__(self, body: bytes) -> Exception:
        """Return the exception for an error body.

        Args:
            body: body of a response whose status is not 200.

        Returns:
            The exception to raise.

        """


class ReplyDecoder(Protocol):
    """Decodes the body of a reply."""

    def __call__(self, body: bytes, reply_type: type[ReplyT], /) -> ReplyT:
        """Return the reply.

        Args:
            body: JSON.
            reply_type: type of the reply.

        Returns:
            The reply.

        Raises:
            UnreadableJsonError: the body is malformed.

        """


class JsonClient:
    """Exchanges typed messages with one service.

    Args:
        transport: sends requests to the service.
        error_decoder: converts error bodies to exceptions.
        reply_decoder: decodes the bodies of replies.

    """

    def __init__(
        self,
        *,
        transport: HttpTransport,
        error_decoder: ErrorDecoder,
        reply_decoder: ReplyDecoder = decode_json,
    ) -> None:
        """Store the dependencies."""
        self._transport = transport
        self._error_decoder = error_decoder
        self._reply_decoder = reply_decoder

    async def post(
        self,
        path: str,
        message: Struct,
        reply_type: type[ReplyT],
        deadline: float,
    ) -> ReplyT:
        """Send a POST request and return the decoded reply.

        Args:
            path: path and query.
            message: message to send as the body.
            reply_type: type of the reply.
            deadline: monotonic time.

        Returns:
            The reply.

        Raises:
            ConnectionLostError: the reply is malformed.

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
        """Send a GET request and return the decoded reply.

        Args:
            path: path and query.
            reply_type: type of the reply.
            deadline: monotonic time.

        Returns:
            The reply.

        Raises:
            ConnectionLostError: the reply is malformed.

        """
        req = HttpRequest('GET', path)
        return self._decode(
            await self._transport.request(req, deadline), reply_type
        )

    def _decode(self, resp: HttpResponse, reply_type: type[ReplyT]) -> ReplyT:
        if resp.status != _HTTP_OK:
            raise self._error_decoder(resp.body)
        return decode_reply(resp.body, reply_type, self._reply_decoder)


def decode_reply(
    body: bytes,
    reply_type: type[ReplyT],
    reply_decoder: ReplyDecoder = decode_json,
) -> ReplyT:
    """Decode the body of a reply.

    Args:
        body: JSON.
        reply_type: type of the reply.
        reply_decoder: decodes the body.

    Returns:
        The reply.

    Raises:
        ConnectionLostError: the body is malformed.

    """
    try:
        return reply_decoder(body, reply_type)
    except UnreadableJsonError as exc:
        raise ConnectionLostError(f'unreadable reply: {exc}') from exc
