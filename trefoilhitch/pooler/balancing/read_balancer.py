"""Ranks the endpoints that may run a read, by what is known of their load.

Load pattern: the endpoint that all nodes would choose by distance is full,
while others are idle.
"""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

from trefoilhitch.pooler.balancing.endpoint_loads import EndpointLoads
from trefoilhitch.pooler.balancing.network_distance import round_trip_s
from trefoilhitch.pooler.balancing.read_choice import (
    ReadCandidate,
    draw_endpoint,
    read_shares,
)
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.endpoint_selection import (
    ChoiceKind,
    EndpointSelector,
)


@dataclass(frozen=True, slots=True)
class ReadRanking:
    """Endpoints in order of preference.

    Args:
        records: the endpoints.
        kind: how the first one was chosen.

    """

    records: Sequence[EndpointRecord]
    kind: ChoiceKind


class ReadBalancer:
    """Ranks endpoints for reads.

    Args:
        selector: knows recent failures, lag and distance.
        loads: knows the load of the endpoints.
        random: returns a random number from 0 to 1; None to ignore the load.

    """

    def __init__(
        self,
        selector: EndpointSelector,
        loads: EndpointLoads,
        random: Callable[[], float] | None = None,
    ) -> None:
        """Store the dependencies."""
        self.random = random
        self._selector = selector
        self._loads = loads

    @property
    def divides_by_load(self) -> bool:
        """Whether reads are divided among endpoints by their load."""
        return self.random is not None

    def draw(self) -> float | None:
        """Return a random number for `rank`, None to ignore the load."""
        return None if self.random is None else self.random()

    def rank(
        self,
        records: Sequence[EndpointRecord],
        primary: str | None,
        now: float,
        drawn: float | None,
        lagging: Collection[str] = (),
    ) -> ReadRanking:
        """Rank endpoints for one read.

        Args:
            records: usable endpoints.
            primary: id of the known primary, None if there is none.
            now: monotonic time.
            drawn: random number from 0 to 1, None to ignore the load.
            lagging: endpoints that are not expected to have the position that
                the read requires.

        Returns:
            Endpoints without recent failures first, among these the ones that
            are not known to lag; the first of these is drawn by distance and
            load, the others follow by the same.

        """
        ranked = self._selector.rank(records, now, lagging)
        if len(ranked) < 2:
            return ReadRanking(ranked, 'only')
        if drawn is None:
            return ReadRanking(ranked, 'nearest')
        equal = self._equal_to_first(ranked, now, lagging)
        if len(equal) == 1:
            return ReadRanking(ranked, 'only')
        candidates = [self._candidate(record, primary, now) for record in equal]
        chosen = draw_endpoint(read_shares(candidates), drawn)
        costs = {each.endpoint: each.cost_s for each in candidates}
        equal.sort(
            key=lambda each: (each.endpoint != chosen, costs[each.endpoint])
        )
        return ReadRanking(
            [*equal, *ranked[len(equal) :]], _kind(candidates, chosen)
        )

    def shares(
        self,
        records: Sequence[EndpointRecord],
        primary: str | None,
        now: float,
        lagging: Collection[str] = (),
    ) -> dict[str, float]:
        """Return by which parts `rank` draws the first endpoint.

        Args:
            records: usable endpoints.
            primary: id of the known primary, None if there is none.
            now: monotonic time.
            lagging: endpoints that are not expected to have the position that
                the reads require.

        Returns:
            Parts by endpoint id, 1 together, without the endpoints that rank
            behind others; empty without endpoints.

        """
        ranked = self._selector.rank(records, now, lagging)
        equal = self._equal_to_first(ranked, now, lagging) if ranked else []
        return read_shares(
            [self._candidate(record, primary, now) for record in equal]
        )

    def _equal_to_first(
        self,
        ranked: Sequence[EndpointRecord],
        now: float,
        lagging: Collection[str],
    ) -> list[EndpointRecord]:
        """Return the endpoints that rank as the first, but for distance."""
        setback = self._selector.setback(ranked[0], now, lagging)
        return [
            record
            for record in ranked
            if self._selector.setback(record, now, lagging) == setback
        ]

    def _candidate(
        self, record: EndpointRecord, primary: str | None, now: float
    ) -> ReadCandidate:
        delay_s = self._loads.expected_delay_s(
            record.service, record.endpoint, record.slots, now
        )
        return ReadCandidate(
            record.endpoint,
            round_trip_s(self._selector, record.data_centre),
            delay_s,
            record.slots,
            record.endpoint == primary,
        )


def _kind(candidates: Sequence[ReadCandidate], chosen: str) -> ChoiceKind:
    nearest_s = min(each.distance_s for each in candidates)
    nearest = [
        each.endpoint for each in candidates if each.distance_s == nearest_s
    ]
    return 'nearest' if nearest == [chosen] else 'weighted'
