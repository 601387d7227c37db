"""Explains where a request would be routed, without sending it.

It calls the decisions that statements use, in a form that changes nothing: no
random number is drawn, no token is spent, no trial is used up, and no message
is sent.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Literal

from trefoilhitch._generated.peer import (
    ExplainedRate,
    ExplainReply,
    ExplainRequest,
)
from trefoilhitch.pooler.admission import Admission
from trefoilhitch.pooler.authorisation import Access
from trefoilhitch.pooler.catalogue import Freshness
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.current_declaration import CurrentDeclaration
from trefoilhitch.pooler.expected_target import ExpectedTarget, expect_write
from trefoilhitch.pooler.explaining.endpoint_explainer import EndpointExplainer
from trefoilhitch.pooler.explaining.explained_access import find_access
from trefoilhitch.pooler.held_rates import HeldRates
from trefoilhitch.pooler.membership_view import MembershipView
from trefoilhitch.pooler.retrying.read_target_finder import ReadTargetFinder
from trefoilhitch.pooler.session import SessionData
from trefoilhitch.pooler.statement import Statement, Verb
from trefoilhitch.pooler.statement_run import StatementRun

_FreshnessName = Literal['latest', 'bounded', 'own_writes']
_FRESHNESS: Mapping[Freshness, _FreshnessName] = MappingProxyType(
    {
        Freshness.LATEST: 'latest',
        Freshness.BOUNDED_STALENESS: 'bounded',
        Freshness.READ_YOUR_WRITES: 'own_writes',
    }
)
_MS_PER_S = 1000
# Digits of a number of tokens after the decimal point.
_TOKEN_DIGITS = 2


@dataclass(frozen=True, slots=True)
class ExplainedState:
    """The state of a node that explanations are derived from.

    Args:
        membership: the known nodes.
        declaration: declaration in force.
        cluster: known endpoints and primaries.
        rates: this node's shares of rates.
        admission: spends tokens of the shares.
        read_targets: chooses the endpoints of reads.

    """

    membership: MembershipView
    declaration: CurrentDeclaration
    cluster: ClusterState
    rates: HeldRates
    admission: Admission
    read_targets: ReadTargetFinder


@dataclass(frozen=True, slots=True)
class _Plan:
    """Where a request would be sent.

    Args:
        expected: its target and the ranking.
        others: ids of endpoints that may be given no requests at present.

    """

    expected: ExpectedTarget
    others: tuple[str, ...]

    @property
    def requires_primary_proof(self) -> bool:
        """Whether the target has to prove that it is the primary."""
        target = self.expected.target
        return target is not None and target.requires_primary_proof


class RouteExplainer:
    """Explains where requests would be routed.

    Args:
        state: state of the node.
        endpoints: explains the endpoints.

    """

    def __init__(
        self, state: ExplainedState, endpoints: EndpointExplainer
    ) -> None:
        """Store the dependencies."""
        self._state = state
        self._endpoints = endpoints

    def explain(self, request: ExplainRequest) -> ExplainReply:
        """Explain where a request would be routed now.

        Args:
            request: the request.

        Returns:
            The explanation.

        Raises:
            RefusalError: the node has no declaration yet, a name is unknown,
                or the organisation may not use the database.

        """
        state = self._state
        access = find_access(
            state.declaration.catalogue, request.database, request.organisation
        )
        route = access.route
        plan = self._plan(access, request)
        own = state.membership.heartbeat
        return ExplainReply(
            node=own.node,
            data_centre=own.data_centre,
            revision=state.declaration.revision,
            database=route.database,
            organisation=access.organisation,
            access=request.access,
            service=route.service,
            freshness=_FRESHNESS[route.freshness],
            max_age_ms=round(route.max_age_s * _MS_PER_S),
            priority=route.statement_priority,
            primary=state.cluster.known_primary(route.service) or '',
            term=state.cluster.proved_term(route.service),
            proof_age_ms=self._proof_age_ms(route.service),
            primary_must_prove=plan.requires_primary_proof,
            candidates=self._endpoints.explain(
                access, plan.expected, plan.others
            ),
            rate=self._rate(access),
        )

    def _plan(self, access: Access, request: ExplainRequest) -> _Plan:
        service = access.route.service
        cluster = self._state.cluster
        if request.access == 'write':
            primary = cluster.known_primary(service)
            others = (primary,) if primary else ()
            return _Plan(expect_write(cluster, service), others)
        members = cluster.endpoints.members(service)
        return _Plan(
            self._state.read_targets.expect(_make_read(access)),
            tuple(record.endpoint for record in members),
        )

    def _proof_age_ms(self, service: str) -> int | None:
        cluster = self._state.cluster
        newest = cluster.observations.newest(service)
        if newest is None:
            return None
        return max(0, round((cluster.clock() - newest.sent_at) * _MS_PER_S))

    def _rate(self, access: Access) -> ExplainedRate | None:
        share = self._state.rates.current(access.organisation)
        if share is None:
            return None
        outlook = self._state.admission.expect_tokens(
            access.organisation, share, access.route.statement_priority
        )
        available = outlook.available
        return ExplainedRate(
            tokens=round(available.own, _TOKEN_DIGITS),
            granted=round(available.granted, _TOKEN_DIGITS),
            reserved=round(available.reserved, _TOKEN_DIGITS),
            suffices=available.suffice,
            asks_others=outlook.asks_others,
        )


def _make_read(access: Access) -> StatementRun:
    """Return a read of a session that has committed nothing yet."""
    session = SessionData(access.route.database, access.organisation, key='')
    return StatementRun.from_statement(
        session, Statement('', Verb.READ, ''), access.route
    )
