"""Client of the platform's promotion request."""

from http import HTTPStatus

from msgspec.json import encode

from trefoilhitch.errors import (
    ConnectionLostError,
    DeadlineError,
    StoreUnavailableError,
    UnreachableError,
)
from trefoilhitch.http_client import HttpClient
from trefoilhitch.http_message import HttpRequest
from trefoilhitch.platform._generated.platform import FailoverOrder
from trefoilhitch.platform.wire_names import encode_name

_FAILOVER_PATH = '/failover'


class PromotionClient:
    """Requests promotions from the platform.

    Args:
        address: `ADDRESS:PORT`.
        node: name of this node.

    """

    def __init__(self, address: str, node: str) -> None:
        """Initialise a client without connections."""
        self._client = HttpClient(address, max_idle=1)
        # Headers are encoded as Latin-1, like the wire's text.
        self._holder = encode_name(node)

    async def promote(
        self, service: str, endpoint: str, token: int, deadline: float
    ) -> bool:
        """Promote an endpoint to primary of its service.

        Args:
            service: name of the service.
            endpoint: id of the endpoint to promote.
            token: fencing token.
            deadline: monotonic time in seconds.

        Returns:
            True if it was promoted, False if the platform refused for good.

        Raises:
            StoreUnavailableError: no valid response; the promotion may still
                take effect.

        """
        req = HttpRequest(
            'POST',
            _FAILOVER_PATH,
            headers={
                'Lease-Holder': self._holder,
                'Fencing-Token': str(token),
            },
            body=encode(FailoverOrder(service=service, id=endpoint)),
        )
        try:
            resp = await self._client.request(req, deadline)
        except (UnreachableError, ConnectionLostError, DeadlineError) as exc:
            raise StoreUnavailableError(str(exc)) from exc
        if resp.status in {HTTPStatus.OK, HTTPStatus.CONFLICT}:
            return resp.status == HTTPStatus.OK
        raise StoreUnavailableError(f'status {resp.status}')
