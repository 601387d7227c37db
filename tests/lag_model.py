"""A model of nodes whose reads need a position that replicas may lack.

The choices are those of `ClusterState`. Nodes learn positions from responses
and from exchanges with nodes of their data centre.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from tests.balancing_model import (
    SERVICE,
    BalancingModel,
    ModelEndpoint,
    ModelNode,
    ModelRead,
)
from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.decision_log import NullLog
from trefoilhitch.pooler.balancing.trial_turn import TrialTurn
from trefoilhitch.pooler.catalogue import Freshness, Route
from trefoilhitch.pooler.cluster_state import ClusterState, record_lagging
from trefoilhitch.pooler.endpoint_selection import ReadRequirements
from trefoilhitch.pooler.primary_tracker import Primary
from trefoilhitch.pooler.response import Refusal, Response
from trefoilhitch.position import ORIGIN

PRIMARY = 'a'
MAX_AGE_S = 1.5
ROUTE = Route('stock', SERVICE, Freshness.BOUNDED_STALENESS, MAX_AGE_S, 1, 1)
USUAL_LAG_S = 0.03
LAG_S = 3.0
# Replicas stop for the duration of the lag and then follow with it.
LAG_BEGINS_AT = 6.0
LAG_ENDS_AT = 12.0
WRITES_PER_S = 50
# Time between two proofs of the primary on a node.
PROOF_INTERVAL_S = 0.5
CLOCK_OFFSET_S = 1000.0


@dataclass(slots=True)
class LagCounts:
    """Times of what happened to reads.

    Args:
        sent: first attempts.
        lagging: responses with LAGGING, by endpoint.
        served: successful responses, by endpoint.

    """

    sent: list[float] = field(default_factory=list)
    lagging: list[tuple[float, ModelNode, str]] = field(default_factory=list)
    served: list[tuple[float, ModelNode, str]] = field(default_factory=list)


class LaggingModel(BalancingModel):
    """Nodes, a primary and replicas on a virtual clock.

    Args:
        seed: seed of all random choices.
        regions: region of each data centre.
        endpoints: the endpoints; the first one is the primary.
        nodes: data centre of each node.
        lagging: the replicas that lag for a while.
        by_position: whether nodes take account of positions.
        reports_received: whether replicas report the end of their log, also if
            they have not applied it.

    """

    def __init__(
        self,
        *,
        seed: int,
        regions: dict[str, str],
        endpoints: list[ModelEndpoint],
        nodes: list[str],
        lagging: str,
        by_position: bool,
        reports_received: bool,
    ) -> None:
        """Start idle at time 0."""
        super().__init__(
            seed=seed, regions=regions, endpoints=endpoints, nodes=nodes
        )
        self.primary = PRIMARY
        self.counts = LagCounts()
        self._lagging = lagging
        self._reports_received = reports_received
        self._clusters = {
            node: self._make_cluster(node, by_position=by_position)
            for node in self.nodes
        }

    def prove_primary(self, *, until: float) -> None:
        """Have each node receive proofs of the primary at its own times."""
        for node in self.nodes:
            moment = self.random.uniform(0, PROOF_INTERVAL_S)
            while moment < until:
                self.at(moment, self._prover(node))
                moment += PROOF_INTERVAL_S

    def refused_part(self, since: float, until: float) -> float:
        """Return which part of the reads was answered with LAGGING."""
        sent = sum(since <= moment < until for moment in self.counts.sent)
        lagging = sum(
            since <= event[0] < until for event in self.counts.lagging
        )
        return lagging / sent

    def read_again_s(self, endpoint: str) -> float:
        """Return when a replica is read after it caught up."""
        return min(
            moment - LAG_ENDS_AT
            for moment, _, name in self.counts.served
            if name == endpoint and moment >= LAG_ENDS_AT
        )

    def _clock(self) -> float:
        return self.now + CLOCK_OFFSET_S

    def _make_cluster(
        self, node: ModelNode, *, by_position: bool
    ) -> ClusterState:
        near = [
            each for each in self.nodes if each.data_centre == node.data_centre
        ]
        turn = TrialTurn(near.index(node), len(near))
        cluster = ClusterState(
            selector=node.selector,
            log=NullLog(),
            clock=self._clock,
            draw=self.random.random,
            turn=(lambda: turn) if by_position else None,
        )
        cluster.endpoints.replace_all(
            {each.endpoint: each for each in self.records}, 0
        )
        node.loads = cluster.loads
        return cluster

    def _position(self, endpoint: str) -> LogPosition:
        """Return the end of an endpoint's log."""
        applied_at = self.now
        if endpoint != PRIMARY:
            applied_at -= USUAL_LAG_S
        if endpoint in self._lagging and (
            LAG_BEGINS_AT <= self.now < LAG_ENDS_AT
        ):
            applied_at = max(LAG_BEGINS_AT - USUAL_LAG_S, self.now - LAG_S)
        return LogPosition(
            term=1, position=100 + int(applied_at * WRITES_PER_S)
        )

    def _prover(self, node: ModelNode) -> Callable[[], None]:
        def prove() -> None:
            position = self._position(PRIMARY)
            requested_at = self._clock()
            self.at(
                self.now + self.random.uniform(0.01, 0.05),
                lambda: self._clusters[node].record_proof(
                    Primary(SERVICE, PRIMARY, 1), position, requested_at, ''
                ),
            )

        return prove

    def _exchanger(
        self, node: ModelNode, other: ModelNode
    ) -> Callable[[], None]:
        exchange_loads = super()._exchanger(node, other)

        def exchange() -> None:
            exchange_loads()
            for sender, receiver in ((node, other), (other, node)):
                self._share_positions(sender, receiver)

        return exchange

    def _share_positions(self, sender: ModelNode, receiver: ModelNode) -> None:
        for report in self._clusters[sender].positions.reports():
            self._clusters[receiver].positions.apply_peer_report(
                report, self._clock()
            )

    def _send(self, node: ModelNode) -> None:
        self.counts.sent.append(self.now)
        self._attempt(node, frozenset())

    def _attempt(self, node: ModelNode, tried: frozenset[str]) -> None:
        cluster = self._clusters[node]
        target = cluster.choose_read_target(
            ReadRequirements(ROUTE, self._clock(), None), self.now, tried
        )
        assert target is not None
        if target.lag_handling == 'tried':
            cluster.positions.record_trial(target.endpoint)
        node.loads.attempts[target.endpoint] += 1
        endpoint = self.endpoints[target.endpoint]
        read = ModelRead(node, endpoint, 0, self.now)

        def arrive() -> None:
            needed = target.minimum_position
            reached = self._position(target.endpoint)
            if needed is None or reached.position >= needed.position:
                self._arrive(read)
            else:
                self._refuse_for_lag(read, needed, tried)

        self.at(self.now + self._one_way_s(read), arrive)

    def _refuse_for_lag(
        self, read: ModelRead, needed: LogPosition, tried: frozenset[str]
    ) -> None:
        name = read.endpoint.record.endpoint
        response = Response(
            refusal=Refusal.TOO_OLD, position=self._reported(name)
        )
        self.counts.lagging.append((self.now, read.node, name))

        def receive() -> None:
            read.node.loads.attempts[name] -= 1
            cluster = self._clusters[read.node]
            cluster.positions.record(name, response, needed)
            record_lagging(cluster, name, self.now)
            self._attempt(read.node, tried | {name})

        self.at(self.now + self._one_way_s(read), receive)

    def _reported(self, endpoint: str) -> LogPosition:
        """Return the position that an endpoint's responses contain."""
        return self._position(PRIMARY if self._reports_received else endpoint)

    def _reply(self, read: ModelRead, *, is_refused: bool) -> None:
        name = read.endpoint.record.endpoint
        response = Response(position=self._reported(name))
        self.counts.served.append((self.now, read.node, name))
        cluster = self._clusters[read.node]
        self.at(
            self.now + self._one_way_s(read),
            lambda: cluster.positions.record(name, response, ORIGIN),
        )
        super()._reply(read, is_refused=is_refused)
