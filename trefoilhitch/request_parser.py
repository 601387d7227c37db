"""Parses HTTP requests with httptools and enforces size limits."""

from collections import deque

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from trefoilhitch.errors import (
    BadRequestError,
    BodyTooLargeError,
    HeadersTooLargeError,
    RefusalError,
)
from trefoilhitch.http_message import HttpLimits, HttpRequest


class RequestParser:
    """Parses requests from the bytes of one connection.

    The `on_` methods are callbacks of httptools.

    Args:
        limits: limits on the sizes of head and body.

    """

    def __init__(self, limits: HttpLimits) -> None:
        """Start at the beginning of a connection."""
        self.partial = False
        self._limits = limits
        self._parser = HttpRequestParser(self)
        self._complete: deque[HttpRequest | RefusalError] = deque()
        self._has_ended = False
        self._reset()

    @property
    def is_exhausted(self) -> bool:
        """Whether no request will follow those that were returned."""
        return self._has_ended and not self._complete

    def feed(self, chunk: bytes) -> None:
        """Parse received bytes.

        Args:
            chunk: next bytes of the connection.

        Raises:
            BadRequestError: the bytes are not an HTTP request.
            HeadersTooLargeError: the head of a request, or what follows its
                body, is over the limit.

        """
        if self._has_ended:
            return
        self._is_body_chunk = False
        try:
            self._parser.feed_data(chunk)
        except HttpParserUpgrade:
            # The request is served as HTTP/1.1. The bytes after it are in
            # another protocol.
            self._has_ended = True
        except HttpParserError as exc:
            raise BadRequestError('not an HTTP/1.1 request') from exc
        if self.partial:
            self._check_head_size(len(chunk))

    def next_request(self) -> HttpRequest | None:
        """Remove and return the next complete request.

        Returns:
            The request, or None if more bytes are needed.

        Raises:
            BodyTooLargeError: the body of the request was over the limit.

        """
        if not self._complete:
            return None
        parsed = self._complete.popleft()
        if isinstance(parsed, RefusalError):
            raise parsed
        return parsed

    def on_message_begin(self) -> None:
        """Record the start of a request."""
        self._reset()
        self.partial = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target.

        Args:
            url: part of the target.

        """
        self._target += url

    def on_header(self, name: bytes, text: bytes) -> None:
        """Add a header.

        Args:
            name: name of the header.
            text: value of the header.

        """
        self._headers[name.decode('latin-1').lower()] = text.decode('latin-1')

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, or drop it beyond the limit.

        Args:
            body: part of the body.

        """
        self._is_body_chunk = True
        self._body_bytes += len(body)
        if self._body_bytes <= self._limits.body_bytes:
            self._body += body

    def on_message_complete(self) -> None:
        """Record the end of a request."""
        self.partial = False
        if self._body_bytes > self._limits.body_bytes:
            refusal = BodyTooLargeError(
                f'at most {self._limits.body_bytes} bytes'
            )
            self._complete.append(refusal)
            return
        self._complete.append(
            HttpRequest(
                self._parser.get_method().decode('latin-1'),
                self._target.decode('latin-1'),
                self._headers,
                bytes(self._body),
            ),
        )

    def _reset(self) -> None:
        self._target = b''
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._body_bytes = 0
        self._head_bytes = 0
        self._is_body_chunk = False

    def _check_head_size(self, count: int) -> None:
        if self._is_body_chunk:
            self._head_bytes = 0
            return
        self._head_bytes += count
        if self._head_bytes > self._limits.header_bytes:
            raise HeadersTooLargeError(
                f'at most {self._limits.header_bytes} bytes'
            )
