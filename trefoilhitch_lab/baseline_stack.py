"""A deployment whose nodes are baseline poolers."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from trio import CancelScope, Event, open_nursery, sleep, sleep_forever

from trefoilhitch._generated.endpoint import (
    FenceRequest,
    GroupMember,
    PromoteRequest,
)
from trefoilhitch.decision_log import NullLog
from trefoilhitch.endpoint_client import HttpEndpointConnector
from trefoilhitch.http_server import HttpServer, SharedHandlerFactory
from trefoilhitch.keyring import KeyRing
from trefoilhitch_lab.baseline import (
    BaselinePooler,
    EvenRateShare,
    PublishedPrimary,
)
from trefoilhitch_lab.deployment import Deployment
from trefoilhitch_lab.fault_injection import FaultyEndpointConnector
from trefoilhitch_lab.loopback import loopback_address
from trefoilhitch_lab.stack import Stack

POLL_INTERVAL_S = 0.05
CLAIMANT = 'platform'


@dataclass(slots=True)
class RunningPooler:
    """A running baseline pooler of the stack.

    Args:
        server: accepts client connections.
        cancel_scope: cancelling it kills the pooler immediately.
        address: address that clients connect to, empty until it listens.
        stopped: set when the pooler has stopped.

    """

    server: HttpServer
    cancel_scope: CancelScope = field(default_factory=CancelScope)
    address: str = ''
    stopped: Event = field(default_factory=Event)


class BaselineStack(Stack):
    """Baseline poolers with the same endpoints, without promotions."""

    async def start(self) -> None:
        """Start platform and poolers, and publish a primary per service."""
        await self.start_platform()
        self._published_primaries: dict[str, PublishedPrimary] = {}
        self._poolers: dict[str, Any] = self.nodes
        for service in self.deployment.services:
            self._publish_primary(service)
        for name in self.deployment.nodes:
            self.start_node(name)
        for name in list(self.nodes):
            await self._wait_until_listening(name)

    def start_node(self, name: str) -> Any:
        """Start a pooler."""
        self._node_settings(name)
        pooler = BaselinePooler(
            connector=FaultyEndpointConnector(
                HttpEndpointConnector(name),
                self.network,
                name,
            ),
            published_primary=self._published_primaries.get,
            keyring=KeyRing.from_keys(
                new_key.key for new_key in self.keys.values()
            ),
            rate_shares={
                tenant.name: EvenRateShare(tenant, len(self.deployment.nodes))
                for tenant in self.deployment.tenants
            },
            random=self.random,
        )
        server = HttpServer(
            factory=SharedHandlerFactory(pooler),
            reporter=NullLog(),
        )
        running = RunningPooler(server)
        self._poolers[name] = running
        self._nursery.start_soon(self._run_pooler, running)
        return running

    async def stop_node(self, name: str) -> None:
        """Stop a pooler after its pending requests have finished."""
        running = self._poolers.pop(name)
        running.server.stop()
        while running.server.connections:
            await sleep(POLL_INTERVAL_S)
        running.scope.cancel()

    def kill_node(self, name: str) -> None:
        """Kill a pooler immediately."""
        self._poolers.pop(name).scope.cancel()

    def addresses(self) -> list[str]:
        """Return the client addresses of all listening poolers."""
        return [each.address for each in self._poolers.values() if each.address]

    async def _run_pooler(self, running: RunningPooler) -> None:
        with running.cancel_scope:
            async with open_nursery() as nursery:
                address = loopback_address()
                port = await running.server.listen(nursery, address, 0)
                running.address = f'{address}:{port}'
                await sleep_forever()
        running.stopped.set()

    async def _wait_until_listening(self, name: str) -> None:
        while not self._poolers[name].address:
            await sleep(POLL_INTERVAL_S)

    def _publish_primary(self, service: str) -> None:
        declared = [
            each for each in self._declared_endpoints if each.service == service
        ]
        members = [
            GroupMember(name=each.name, control=each.control)
            for each in declared
        ]
        for server in self.group(service):
            server.fence(FenceRequest(term=1, claimant=CLAIMANT))
        self.endpoints[declared[0].name].promote(
            PromoteRequest(term=1, claimant=CLAIMANT, members=members),
        )
        self._published_primaries[service] = PublishedPrimary(declared[0], 1)


@asynccontextmanager
async def running_baseline(
    deployment: Deployment,
    *,
    seed: int = 1,
) -> AsyncIterator[BaselineStack]:
    """Run the baseline for the duration of a with block.

    Args:
        deployment: nodes, services and network to set up.
        seed: seed of all random choices.

    Yields:
        The stack, once it is ready.

    """
    async with open_nursery() as nursery:
        stack = BaselineStack(
            deployment=deployment,
            seed=seed,
            nursery=nursery,
            create_log=lambda _: NullLog(),
        )
        await stack.start()
        yield stack
        nursery.cancel_scope.cancel()
