"""Requests the status of an endpoint from its gateway, for each statement."""

from trefoilhitch._generated.peer import StatusReport, StatusRequest
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


class DirectStatus:
    """Requests statuses without a relay; only the gateway shares requests.

    Args:
        deps: dependencies of the source.

    """

    def __init__(self, deps: StatusDependencies) -> None:
        """Start without requests."""
        self._deps = deps
        self._local = SharedRequests[EndpointStatus](
            fetch=deps.fetch,
            interval_s=no_interval,
            log=deps.log,
            metrics=deps.metrics,
        )

    async def run(self) -> None:
        """Run the requests that callers share; see `StatusSource`."""
        await self._local.run()

    async def request(self, endpoint: str) -> EndpointStatus | None:
        """Return a status that was requested now; see `StatusSource`."""
        service = self._deps.service_of(endpoint)
        if self._deps.gateways.is_own(endpoint, service):
            return await self._local.request(endpoint, is_own=True)
        for gateway in self._deps.gateways.rank(endpoint, service)[:1]:
            self._deps.metrics.count('status_requests', 'own')
            report = await self._deps.client.request(
                gateway.address,
                'status',
                StatusRequest(endpoint=endpoint),
                StatusReport,
            )
            if report is not None:
                return read_status(report)
        return None

    async def answer(self, request: StatusRequest) -> StatusReport:
        """Answer another node's request; see `StatusSource`."""
        return make_report(
            await self._local.request(request.endpoint, is_own=False)
        )
