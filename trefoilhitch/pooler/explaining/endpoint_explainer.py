"""Explains what a node knows of the endpoints that may run a request."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from types import MappingProxyType
from typing import Literal

from trio import current_time

from trefoilhitch._generated.peer import ExplainedEndpoint
from trefoilhitch.pooler.authorisation import Access
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.endpoint_selection import (
    OTHER_REGION,
    SAME_DATA_CENTRE,
    SAME_REGION,
)
from trefoilhitch.pooler.expected_target import ExpectedTarget
from trefoilhitch.pooler.explaining.gateway_explainer import GatewayExplainer

_Distance = Literal['same_data_centre', 'same_region', 'other_region']
_DISTANCES: MappingProxyType[int, _Distance] = MappingProxyType(
    {
        SAME_DATA_CENTRE: 'same_data_centre',
        SAME_REGION: 'same_region',
        OTHER_REGION: 'other_region',
    }
)
_MS_PER_S = 1000
# Digits of a delay in ms after the decimal point.
_DELAY_DIGITS = 1
_SHARE_DIGITS = 4


@dataclass(frozen=True, slots=True)
class _Candidate:
    """An endpoint that may run a request.

    Args:
        record: its entry.
        share: part of such requests that is sent to it.

    """

    record: EndpointRecord
    share: float = 0


class EndpointExplainer:
    """Explains what a node knows of endpoints.

    Args:
        cluster: known endpoints and primaries.
        gateways: explains which node would hold the connection.

    """

    def __init__(
        self, cluster: ClusterState, gateways: GatewayExplainer
    ) -> None:
        """Store the dependencies."""
        self._cluster = cluster
        self._gateways = gateways

    def explain(
        self, access: Access, expected: ExpectedTarget, others: Sequence[str]
    ) -> list[ExplainedEndpoint]:
        """Explain the endpoints of a service.

        Args:
            access: route and organisation of the request.
            expected: where the request would be sent.
            others: ids of endpoints that are given no requests at present;
                those that rank are ignored.

        Returns:
            The target first, then the ranking, then the others.

        """
        return [
            self._explain_one(candidate, access.organisation)
            for candidate in self._candidates(expected, others)
        ]

    def _candidates(
        self, expected: ExpectedTarget, others: Sequence[str]
    ) -> Iterator[_Candidate]:
        target = expected.target
        first = [target.endpoint] if target else []
        ranked = [record.endpoint for record in expected.ranking]
        for endpoint in dict.fromkeys((*first, *ranked, *others)):
            record = self._cluster.find(endpoint)
            if record is not None:
                yield _Candidate(record, expected.shares.get(endpoint, 0))

    def _explain_one(
        self, candidate: _Candidate, organisation: str
    ) -> ExplainedEndpoint:
        cluster = self._cluster
        record = candidate.record
        now = current_time()
        failed, lagging = cluster.selector.setback(record, now)
        delay_s = cluster.loads.expected_delay_s(
            record.service, record.endpoint, record.slots, now
        )
        gateway = self._gateways.explain(record.endpoint, organisation)
        return ExplainedEndpoint(
            endpoint=record.endpoint,
            data_centre=record.data_centre,
            distance=_DISTANCES[cluster.selector.distance(record.data_centre)],
            role=self._role(record),
            share=round(candidate.share, _SHARE_DIGITS),
            delay_ms=round(delay_s * _MS_PER_S, _DELAY_DIGITS),
            age_ms=self._age_ms(record.endpoint, now),
            failed_recently=failed,
            lagging=lagging or cluster.positions.is_lagging(record.endpoint),
            blocked=cluster.breakers.is_blocked(record.endpoint, now),
            evacuated=cluster.evacuated.contains(record.endpoint),
            leaving=record.leaving,
            missing=cluster.endpoints.is_missing(record.endpoint),
            gateway=gateway.node,
            unreachable_gateways=list(gateway.unreachable),
            queue=gateway.queue,
        )

    def _role(self, record: EndpointRecord) -> Literal['primary', 'replica']:
        primary = self._cluster.known_primary(record.service)
        return 'primary' if record.endpoint == primary else 'replica'

    def _age_ms(self, endpoint: str, now: float) -> int | None:
        newest_at = self._cluster.loads.newest_at(endpoint)
        if newest_at is None:
            return None
        return max(0, round((now - newest_at) * _MS_PER_S))
