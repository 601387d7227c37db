"""Tells which endpoints run in evacuated data centres."""

from collections.abc import Callable

from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.evacuation.evacuated_data_centres import (
    EvacuatedDataCentres,
)


class EvacuatedEndpoints:
    """Applies the evacuations of data centres to endpoints.

    Args:
        data_centres: the evacuated data centres.
        find: returns the entry of an endpoint, None if it is unknown.
        clock: returns seconds on a clock that includes suspended time.

    """

    def __init__(
        self,
        *,
        data_centres: EvacuatedDataCentres,
        find: Callable[[str], EndpointRecord | None],
        clock: Callable[[], float],
    ) -> None:
        """Store the dependencies."""
        self.data_centres = data_centres
        self._find = find
        self._clock = clock

    @property
    def must_delay_statements(self) -> bool:
        """Whether statements have to wait, since this node was suspended."""
        return self.data_centres.suspension.must_delay_statements(self._clock())

    def contains(self, endpoint: str | None) -> bool:
        """Return whether the data centre of an endpoint is evacuated.

        Args:
            endpoint: endpoint id, None for none.

        """
        return self.data_centres.contains(self._data_centre(endpoint))

    def excludes(self, endpoint: str | None) -> bool:
        """Return whether no new statement may be sent to an endpoint.

        Args:
            endpoint: endpoint id, None for none.

        """
        data_centre = self._data_centre(endpoint)
        return self.data_centres.excludes(data_centre, self._clock())

    def excludes_transactions(self, endpoint: str) -> bool:
        """Return whether no statement at all may be sent to an endpoint.

        Args:
            endpoint: endpoint id.

        Returns:
            True if its open transactions must have ended.

        """
        data_centre = self._data_centre(endpoint)
        return self._clock() >= self.data_centres.must_end_at(data_centre)

    def unless_evacuated(self, endpoint: str) -> str:
        """Return an endpoint unless its data centre is evacuated.

        Args:
            endpoint: endpoint id.

        Returns:
            The endpoint, empty if it is evacuated.

        """
        return '' if self.contains(endpoint) else endpoint

    def unless_excluded(self, endpoint: str | None) -> str | None:
        """Return an endpoint if new statements may be sent to it.

        Args:
            endpoint: endpoint id, None for none.

        Returns:
            The endpoint, None if it is excluded.

        """
        return None if self.excludes(endpoint) else endpoint

    def _data_centre(self, endpoint: str | None) -> str:
        record = self._find(endpoint) if endpoint else None
        return record.data_centre if record else ''
