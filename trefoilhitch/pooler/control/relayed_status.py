"""Requests the status of an endpoint through the relay of the data centre.

A node asks the relay of its data centre, the relay asks the gateway, and the
gateway asks the endpoint. Each of them has one request in flight for an
endpoint, which serves the callers that arrived before it was sent: so a status
was requested after every caller that it serves had asked.
"""

from collections.abc import Awaitable, Callable, Iterable, Iterator

from trio import Nursery, current_time, move_on_after, open_nursery

from trefoilhitch._generated.peer import (
    MemberBeat,
    StatusReport,
    StatusRequest,
)
from trefoilhitch.pooler.control.endpoint_status import STATUS_TIMEOUT_S
from trefoilhitch.pooler.control.peer_backoff import PeerBackoff
from trefoilhitch.pooler.control.relay_directory import RelayDirectory
from trefoilhitch.pooler.control.shared_requests import (
    SharedRequests,
    no_interval,
)
from trefoilhitch.pooler.control.status_source import (
    StatusDependencies,
    make_report,
)
from trefoilhitch.pooler.gateway_messages import read_status
from trefoilhitch.pooler.ports import EndpointStatus

# Shortest time between two requests of a gateway to an endpoint. All statements
# in between share one; the wait is a tenth of what a read of the latest data
# may usually take.
STATUS_INTERVAL_S = 0.05
# Each node waits somewhat longer than the one that it asks, so that an endpoint
# without an answer is not taken for a node without one.
HOP_MARGIN_S = 0.05
GATEWAY_TIMEOUT_S = STATUS_TIMEOUT_S + HOP_MARGIN_S
RELAY_WAIT_S = GATEWAY_TIMEOUT_S + HOP_MARGIN_S
RELAY_TIMEOUT_S = RELAY_WAIT_S + HOP_MARGIN_S
# Relays or gateways that are asked before a node does without them.
MAX_NODES_ASKED = 2


class RelayedStatus:
    """Shares requests for statuses on each node, relay and gateway.

    Args:
        deps: dependencies of the source.

    """

    def __init__(self, deps: StatusDependencies) -> None:
        """Start without requests."""
        self._deps = deps
        self._nursery: Nursery | None = None
        self._relay_directory = RelayDirectory(deps.membership)
        # Requests to relays, of this node as a relay, and as a gateway.
        self._own = self._share(self._ask_relays)
        self._relayed = self._share(self._ask_gateways)
        self._local = SharedRequests[EndpointStatus](
            fetch=deps.fetch,
            interval_s=self._interval_s,
            log=deps.log,
            metrics=deps.metrics,
        )
        self._relays = PeerBackoff.with_backoff(
            deps.random, trial_s=RELAY_TIMEOUT_S
        )
        self._gateways = PeerBackoff.with_backoff(
            deps.random, trial_s=GATEWAY_TIMEOUT_S
        )

    async def run(self) -> None:
        """Run the requests that callers share; see `StatusSource`."""
        try:
            async with open_nursery() as nursery:
                self._nursery = nursery
                for shared in (self._own, self._relayed, self._local):
                    nursery.start_soon(shared.run)
        finally:
            self._nursery = None

    async def request(self, endpoint: str) -> EndpointStatus | None:
        """Return a status that was requested now; see `StatusSource`."""
        status = None
        with move_on_after(RELAY_TIMEOUT_S):
            shared = self._choose_path(endpoint)
            status = await shared.request(endpoint, is_own=True)
        return status

    async def answer(self, request: StatusRequest) -> StatusReport:
        """Answer another node's request; see `StatusSource`."""
        endpoint = request.endpoint
        if not self._deps.service_of(endpoint):
            return make_report(None)
        if request.relay and not self._is_first_gateway(endpoint):
            shared, wait_s = self._relayed, RELAY_WAIT_S
        elif self._holds(endpoint):
            shared, wait_s = self._local, STATUS_TIMEOUT_S
        else:
            return make_report(None)
        status = None
        with move_on_after(wait_s):
            status = await shared.request(endpoint, is_own=False)
        return make_report(status)

    def _choose_path(self, endpoint: str) -> SharedRequests[EndpointStatus]:
        if self._is_first_gateway(endpoint):
            return self._local
        relays = self._relay_directory.rank(endpoint)
        if not relays or relays[0].node == self._node:
            return self._relayed
        return self._own

    async def _ask_relays(self, endpoint: str) -> EndpointStatus | None:
        request = StatusRequest(endpoint=endpoint, relay=True)
        deadline = current_time() + RELAY_TIMEOUT_S
        ranked = self._relay_directory.rank(endpoint)
        for relay in self._to_ask(ranked, request, self._relays):
            if relay.node == self._node:
                break
            report = await self._ask(relay, request, self._relays, deadline)
            if report is not None:
                return read_status(report)
            self._deps.log.event(
                'status_relay_failed', endpoint=endpoint, peer=relay.node
            )
        return await self._relayed.request(endpoint, is_own=True)

    async def _ask_gateways(self, endpoint: str) -> EndpointStatus | None:
        request = StatusRequest(endpoint=endpoint)
        deadline = current_time() + GATEWAY_TIMEOUT_S
        ranked = self._deps.gateways.rank(
            endpoint, self._deps.service_of(endpoint)
        )
        for gateway in self._to_ask(ranked, request, self._gateways):
            if gateway.node == self._node:
                return await self._local.request(endpoint, is_own=False)
            report = await self._ask(gateway, request, self._gateways, deadline)
            if report is not None:
                return read_status(report)
        return None

    def _to_ask(
        self,
        ranked: Iterable[MemberBeat],
        request: StatusRequest,
        asked: PeerBackoff,
    ) -> Iterator[MemberBeat]:
        """Iterate over the nodes to ask; this node may be one of them.

        A node that failed is tried without a caller that waits for it.
        """
        count = 0
        for node in ranked:
            if count == MAX_NODES_ASKED:
                return
            if node.node != self._node and not self._is_usable(node, asked):
                self._try_again(node, request, asked)
                continue
            count += 1
            yield node

    def _is_usable(self, node: MemberBeat, asked: PeerBackoff) -> bool:
        if asked.has_failed(node.node):
            return False
        return self._deps.client.may_reach(node.address)

    def _try_again(
        self, node: MemberBeat, request: StatusRequest, asked: PeerBackoff
    ) -> None:
        is_due = asked.has_failed(node.node) and asked.may_ask(node.node)
        if is_due and self._nursery is not None:
            deadline = current_time() + GATEWAY_TIMEOUT_S
            self._nursery.start_soon(self._ask, node, request, asked, deadline)

    async def _ask(
        self,
        node: MemberBeat,
        request: StatusRequest,
        asked: PeerBackoff,
        deadline: float,
    ) -> StatusReport | None:
        report = await self._deps.client.request(
            node.address,
            'status',
            request,
            StatusReport,
            timeout_s=max(0, deadline - current_time()),
        )
        asked.record(node.node, answered=report is not None)
        return report

    def _share(
        self, fetch: Callable[[str], Awaitable[EndpointStatus | None]]
    ) -> SharedRequests[EndpointStatus]:
        return SharedRequests[EndpointStatus](
            fetch=fetch,
            interval_s=no_interval,
            log=self._deps.log,
            metrics=self._deps.metrics,
        )

    def _interval_s(self) -> float:
        return STATUS_INTERVAL_S if self._deps.gateways.are_used else 0

    @property
    def _node(self) -> str:
        return self._deps.membership.heartbeat.node

    def _is_first_gateway(self, endpoint: str) -> bool:
        service = self._deps.service_of(endpoint)
        return self._deps.gateways.is_own(endpoint, service)

    def _holds(self, endpoint: str) -> bool:
        gateways = self._deps.gateways
        return not gateways.are_used or gateways.holds_connections(endpoint)
