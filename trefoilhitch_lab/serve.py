"""Run the emulated platform as a process, for nodes in other processes."""

import sys
from collections.abc import Sequence
from functools import partial

from trio import Nursery, open_nursery, run, sleep_forever

from trefoilhitch._generated.settings import Settings
from trefoilhitch._generated.store import Bundle, Endpoint, ListedVm
from trefoilhitch.decision_log import JsonLinesHandler, LogbookLog
from trefoilhitch.http_server import (
    HttpServer,
    RequestHandlerFactory,
    SharedHandlerFactory,
)
from trefoilhitch_lab.endpoint_server import (
    ControlRequestHandler,
    EndpointServer,
    StatementHandlerFactory,
)
from trefoilhitch_lab.limits import PLATFORM_LIMITS
from trefoilhitch_lab.network import Network
from trefoilhitch_lab.object_api import ObjectApi
from trefoilhitch_lab.vm_list import VmListApi

CONNECT_DELAY_S = 0.01


class PlatformServer:
    """Serves the object API, the VM list and the endpoints.

    Args:
        bundle: declaration with the endpoints and their addresses.
        nodes: settings of the nodes, with the addresses of the platform.

    """

    def __init__(self, *, bundle: Bundle, nodes: Sequence[Settings]) -> None:
        """Prepare the network and the log; `serve` starts the servers."""
        self._bundle = bundle
        self._nodes = nodes
        self._network = Network()
        self._log = LogbookLog(
            node='platform',
            sink=JsonLinesHandler(sys.stdout),
        )

    async def serve(self) -> None:
        """Serve until cancelled."""
        platform = self._nodes[0].platform
        vm_list = VmListApi()
        vm_list.publish([_to_listed_vm(cfg) for cfg in self._nodes])
        async with open_nursery() as nursery:
            listen = partial(self._listen, nursery)
            await listen(platform.store, SharedHandlerFactory(ObjectApi()))
            await listen(platform.vm_list, SharedHandlerFactory(vm_list))
            for endpoint in self._bundle.endpoints:
                await self._start_endpoint(nursery, endpoint)
            self._log.event('platform_ready', store=platform.store)
            await sleep_forever()

    async def _start_endpoint(
        self, nursery: Nursery, endpoint: Endpoint
    ) -> None:
        server = EndpointServer(
            name=endpoint.name,
            slots=endpoint.slots,
            network=self._network,
            nursery=nursery,
        )
        server.faults.connect_delay_s = CONNECT_DELAY_S
        nursery.start_soon(server.apply_entries_forever)
        control = SharedHandlerFactory(ControlRequestHandler(server))
        await self._listen(
            nursery, endpoint.address, StatementHandlerFactory(server)
        )
        await self._listen(nursery, endpoint.control, control)

    async def _listen(
        self,
        nursery: Nursery,
        address: str,
        factory: RequestHandlerFactory,
    ) -> None:
        host, _, port = address.rpartition(':')
        server = HttpServer(
            factory=factory,
            reporter=self._log,
            limits=PLATFORM_LIMITS,
        )
        await server.listen(nursery, host, int(port))


def serve(bundle: Bundle, nodes: Sequence[Settings]) -> None:
    """Serve the emulated platform until the process is interrupted.

    Args:
        bundle: declaration with the endpoints and their addresses.
        nodes: settings of the nodes.

    """
    try:
        run(PlatformServer(bundle=bundle, nodes=nodes).serve)
    except KeyboardInterrupt:
        return


def _to_listed_vm(cfg: Settings) -> ListedVm:
    return ListedVm(
        name=cfg.node.name,
        address=f'{cfg.node.address}:{cfg.node.peer_port}',
        region=cfg.node.region,
        data_centre=cfg.node.data_centre,
    )
