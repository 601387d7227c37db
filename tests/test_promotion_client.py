"""The platform is told the name of the node that holds a lease."""

import pytest
from trio import current_time, open_nursery

from tests.support import run_virtual
from trefoilhitch.http_message import HttpRequest, HttpResponse
from trefoilhitch.http_server import HttpServer, SharedHandlerFactory
from trefoilhitch.platform.promotion_client import PromotionClient
from trefoilhitch_lab.loopback import loopback_address
from trefoilhitch_lab.stack import FailureCollector

TIMEOUT_S = 1
# Machines are named by their zones.
NODES = (
    'edge-bagmati-patan-1',
    'edge-M\u00fcnster-1',
    'edge-\ube44\ud30c-1',
    'edge-\u092a\u093e\u091f\u0928-1',
)


class Platform:
    """Accepts each promotion and records who ordered it."""

    def __init__(self) -> None:
        """Start without promotions."""
        self.holders: list[str] = []

    async def respond(self, req: HttpRequest) -> HttpResponse:
        """Accept a promotion."""
        # The server shows bytes as Latin-1 characters.
        holder = req.headers['lease-holder'].encode('latin-1')
        self.holders.append(holder.decode())
        return HttpResponse()


@pytest.mark.parametrize('node', NODES)
def test_node_of_any_name_promotes_nothing(node: str) -> None:
    async def play() -> list[str]:
        platform = Platform()
        server = HttpServer(
            factory=SharedHandlerFactory(platform),
            reporter=FailureCollector(),
        )
        host = loopback_address()
        async with open_nursery() as nursery:
            port = await server.listen(nursery, host, 0)
            client = PromotionClient(f'{host}:{port}', node)
            deadline = current_time() + TIMEOUT_S
            assert await client.promote('ledger', 'i-1', 7, deadline)
            nursery.cancel_scope.cancel()
        return platform.holders

    assert run_virtual(play) == [node]
