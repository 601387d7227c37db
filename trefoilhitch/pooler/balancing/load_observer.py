"""Observes the load of endpoints on the statements that a node runs."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from trio import current_time

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.peer import EndpointLoad
from trefoilhitch.pooler.balancing.endpoint_loads import EndpointLoads
from trefoilhitch.pooler.balancing.network_distance import round_trip_s
from trefoilhitch.pooler.balancing.position_observer import (
    PositionObserver,
    add_position,
)
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.endpoint_selection import EndpointSelector
from trefoilhitch.pooler.response import Response
from trefoilhitch.pooler.statement import Verb
from trefoilhitch.pooler.statement_request import StatementRequest


@dataclass(slots=True)
class StatementTimes:
    """Times of a statement on a connection of this node.

    Args:
        started_at: monotonic time from which it waited for a connection.
        sent_at: monotonic time at which it was sent, 0 before.

    """

    started_at: float
    sent_at: float = 0

    def mark_sent(self) -> None:
        """Record that a connection was acquired."""
        self.sent_at = current_time()


class LoadObserver:
    """Observes statements and applies what other nodes observed.

    Args:
        loads: load of the endpoints.
        selector: knows the distance of data centres.
        find: returns the entry of an endpoint.
        positions: receives the positions of endpoints' logs.

    """

    def __init__(
        self,
        loads: EndpointLoads,
        selector: EndpointSelector,
        find: Callable[[str], EndpointRecord | None],
        positions: PositionObserver,
    ) -> None:
        """Store the dependencies."""
        self._positions = positions
        self._loads = loads
        self._selector = selector
        self._find = find

    @contextmanager
    def running(self, endpoint: str) -> Iterator[StatementTimes]:
        """Count a statement as in flight on this node's connections.

        Args:
            endpoint: endpoint id.

        Yields:
            Its times, to be completed.

        """
        self._loads.running[endpoint] += 1
        try:
            yield StatementTimes(current_time())
        finally:
            self._loads.running[endpoint] -= 1

    @contextmanager
    def attempting(self, endpoint: str) -> Iterator[None]:
        """Count a statement of a client of this node as in flight.

        Args:
            endpoint: endpoint id.

        Yields:
            Nothing.

        """
        self._loads.attempts[endpoint] += 1
        try:
            yield
        finally:
            self._loads.attempts[endpoint] -= 1

    def record_answer(
        self, endpoint: str, request: StatementRequest, times: StatementTimes
    ) -> None:
        """Record the response to a statement, if it is a read.

        A write also waits for replicas, so its time says less about the load.

        Args:
            endpoint: endpoint id.
            request: the statement.
            times: when it began to wait and was sent.

        """
        record = self._find(endpoint)
        if record is None or not _is_read(request):
            return
        now = current_time()
        network_s = round_trip_s(self._selector, record.data_centre)
        self._loads.observe(
            record.service,
            endpoint,
            times.sent_at - times.started_at,
            max(0, now - times.sent_at - network_s),
            now,
        )

    def record_position(
        self,
        endpoint: str,
        response: Response,
        minimum: LogPosition | None = None,
    ) -> None:
        """Record the position in a response, also in a refusal.

        Args:
            endpoint: endpoint id.
            response: its response.
            minimum: position that the statement required, None for any.

        """
        self._positions.record(endpoint, response, minimum)

    def record_refusal(self, endpoint: str) -> None:
        """Record that an endpoint refused a statement or lost one.

        Args:
            endpoint: endpoint id.

        """
        self._loads.record_refusal(endpoint, current_time())

    def report(
        self, endpoint: str, *, states_position: bool
    ) -> EndpointLoad | None:
        """Return what this node observed at an endpoint.

        Args:
            endpoint: endpoint id.
            states_position: whether the position of a replica that lags is
                stated.

        Returns:
            The report, None if nothing was observed lately.

        """
        load = self._loads.report(endpoint, current_time())
        if states_position:
            return add_position(load, self._positions.report(endpoint))
        return load

    def apply_gateway_report(self, gateway: str, report: EndpointLoad) -> None:
        """Apply what the gateway of a statement observed.

        Args:
            gateway: name of the gateway.
            report: its report; one of an unknown endpoint is ignored.

        """
        record = self._find(report.endpoint)
        if record is not None:
            self._loads.apply_gateway_report(
                record.service, gateway, report, current_time()
            )
            self._positions.apply_gateway_report(report)


def _is_read(request: StatementRequest) -> bool:
    if request.statement.verb == Verb.EXECUTE:
        prepared = request.prepared
        return prepared is not None and prepared.access == 'read'
    return request.statement.verb == Verb.READ
