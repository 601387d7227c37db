"""HTTP requests and responses, their limits and their encoding."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus
from types import MappingProxyType
from typing import Protocol
from urllib.parse import parse_qsl

JSON_TYPE = 'application/json'
_LINE_END = '\r\n'
_REASON_PHRASES = MappingProxyType(
    {status.value: status.phrase for status in HTTPStatus}
)


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits on the connections and requests that a server accepts.

    Args:
        body_bytes: largest body size.
        header_bytes: largest size of request line and headers together.
        connections: largest number of open connections.
        request_read_s: longest time from the first byte of a request to
            its last.

    """

    body_bytes: int = 262144
    header_bytes: int = 16384
    connections: int = 10000
    request_read_s: float = 10


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request.

    Args:
        method: method in upper case.
        target: path and query as sent.
        headers: values by lower-case name; of repeated headers the last.
        body: body, empty if there is none.

    """

    method: str
    target: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b''

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition('?')[0]

    @property
    def query(self) -> dict[str, str]:
        """Return the parameters of the query."""
        return dict(parse_qsl(self.target.partition('?')[2]))


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response.

    Args:
        status: status code.
        body: body, empty if there is none.
        headers: values by name.
        close: whether the connection closes after the response.

    """

    status: int = HTTPStatus.OK
    body: bytes = b''
    headers: Mapping[str, str] = field(default_factory=dict)
    close: bool = False


class RequestHandler(Protocol):
    """Handles the requests of a connection, one at a time."""

    async def respond(self, req: HttpRequest) -> HttpResponse:
        """Return the response to a request.

        Args:
            req: complete request.

        Returns:
            The response.

        """


def encode_request(req: HttpRequest, host: str) -> bytes:
    """Encode a request.

    Args:
        req: request to encode.
        host: value of the host header.

    Returns:
        The bytes of head and body.

    Raises:
        ValueError: a line of the head contains a line end or is not Latin-1.

    """
    head = [
        f'{req.method} {req.target} HTTP/1.1',
        f'host: {host}',
        *_header_lines(req.headers, req.body),
    ]
    return _encode_message(head, req.body)


def encode_response(resp: HttpResponse) -> bytes:
    """Encode a response.

    Args:
        resp: response to encode.

    Returns:
        The bytes of head and body.

    Raises:
        ValueError: a line of the head contains a line end or is not Latin-1.

    """
    phrase = _REASON_PHRASES.get(resp.status, '')
    head = [f'HTTP/1.1 {resp.status} {phrase}']
    head.extend(_header_lines(resp.headers, resp.body))
    if resp.close:
        head.append('connection: close')
    return _encode_message(head, resp.body)


def _header_lines(headers: Mapping[str, str], body: bytes) -> list[str]:
    lines = [f'{name}: {text}' for name, text in headers.items()]
    if 'content-type' not in headers:
        lines.append(f'content-type: {JSON_TYPE}')
    lines.append(f'content-length: {len(body)}')
    return lines


def _encode_message(head: list[str], body: bytes) -> bytes:
    text = _LINE_END.join((*head, '', ''))
    line_ends = len(head) + 1
    if any(text.count(each) != line_ends for each in _LINE_END):
        raise ValueError('a line of the head contains a line end')
    return text.encode('latin-1') + body
