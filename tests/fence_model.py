"""Model of promotions under fences, as a hypothesis state machine.

One primary and two replicas follow the platform's contract: orders are lost or
carried out late, and a restart clears a fence, perhaps with the log. Decisions
call the functions of the package, which a mutation may replace. Each command
is left unanswered, so that it is followed by another decision.
"""

from collections.abc import Callable
from dataclasses import dataclass

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.failover_decision import choose_promotion
from trefoilhitch.pooler.fence_state import FenceState
from trefoilhitch.pooler.observations import (
    ObservationHistory,
    PrimaryObservation,
)
from trefoilhitch.pooler.ports import EndpointStatus
from trefoilhitch.pooler.promotion_evidence import (
    PromotionEvidence,
    find_objection,
)
from trefoilhitch.pooler.restarted_endpoints import RestartedEndpoints

PRIMARY = 'a'
REPLICAS = ('b', 'c')
NAMES = (PRIMARY, *REPLICAS)
SERVICE = 'ledger'
SYNC_REPLICAS = 1
TERM = 1
ENDPOINTS = st.sampled_from(NAMES)
ALL = frozenset(NAMES)
SUBSETS = st.one_of(st.just(ALL), st.frozensets(ENDPOINTS))


@dataclass
class Endpoint:
    """One endpoint.

    Args:
        log: numbers of the commits that it holds.
        is_primary: whether it leads.
        is_up: whether it answers.
        fenced_term: term of its fence, 0 without one.
        has_forgotten: whether it has lost its log once.
        starts: number of its starts.

    """

    log: tuple[int, ...] = ()
    is_primary: bool = False
    is_up: bool = True
    fenced_term: int = 0
    has_forgotten: bool = False
    starts: int = 1

    @property
    def status(self) -> EndpointStatus:
        """Status that it reports."""
        position = LogPosition(term=TERM, position=len(self.log))
        return EndpointStatus(
            is_primary=self.is_primary,
            term=TERM if self.log else 0,
            position=position if self.log else LogPosition(term=0, position=0),
            fenced_term=self.fenced_term,
        )


@dataclass(frozen=True)
class Rules:
    """The rules that a mutation may break."""

    state: type[FenceState] = FenceState
    objection: Callable[[FenceState, PromotionEvidence, str], str | None] = (
        find_objection
    )
    judges_again: bool = True
    restarted: type[RestartedEndpoints] = RestartedEndpoints


class FenceModel(RuleBasedStateMachine):
    """State machine of endpoints and one failover with several commands."""

    contract = Rules()

    def __init__(self) -> None:
        """Start a group in which every endpoint holds the first commit."""
        super().__init__()
        self.endpoints = {name: Endpoint(log=(0,)) for name in NAMES}
        self.endpoints[PRIMARY].is_primary = True
        self.acknowledged = {0}
        self.written = 1
        self.commanded = ''
        self.late: list[tuple[str, str]] = []
        self.restarted = self.contract.restarted()
        self.observations = ObservationHistory()
        self.now = 0
        self.observe()
        self.state = self.contract.state(
            term=TERM + 1,
            known_term=TERM,
            primary=PRIMARY,
            needed_position=self._needed_position,
        )

    @initialize(replica=st.sampled_from(REPLICAS), behind=st.integers(0, 2))
    def write_before(self, replica: str, behind: int) -> None:
        """Let one replica fall behind before the failover begins."""
        for _ in range(behind):
            self.commit(frozenset((replica,)))

    @rule(receivers=SUBSETS)
    def commit(self, receivers: frozenset[str]) -> None:
        """Write at the primary; acknowledge what a replica has received."""
        primary = self.endpoints[PRIMARY]
        if not (primary.is_up and primary.is_primary):
            return
        primary.log = (*primary.log, self.written)
        for name in REPLICAS:
            replica = self.endpoints[name]
            if name in receivers and replica.is_up and not replica.fenced_term:
                replica.log = primary.log
                self.acknowledged.add(self.written)
        self.written += 1

    @rule(name=ENDPOINTS)
    def crash(self, name: str) -> None:
        """Crash an endpoint."""
        self.endpoints[name].is_up = False

    @rule(name=ENDPOINTS, forgets=st.booleans(), noticed=st.booleans())
    def restart(self, name: str, forgets: bool, noticed: bool) -> None:
        """Restart an endpoint without a fence; a replica may lose its log.

        It does so at most once. The failover has to know its new entry, or
        its log from before.
        """
        endpoint = self.endpoints[name]
        endpoint.is_up = True
        endpoint.fenced_term = 0
        known = _entry(name, endpoint)
        endpoint.starts += 1
        if noticed:
            self.restarted.compare(known, _entry(name, endpoint))
        is_first = not endpoint.has_forgotten and not endpoint.is_primary
        if forgets and is_first and (noticed or self._is_known(name)):
            endpoint.has_forgotten = True
            endpoint.log = ()

    @rule()
    def observe(self) -> None:
        """Let a node observe the primary."""
        primary = self.endpoints[PRIMARY]
        if not (primary.is_up and primary.is_primary):
            return
        self.now += 1
        observation = PrimaryObservation(
            SERVICE, PRIMARY, TERM, primary.status.position, self.now
        )
        self.observations.add(observation)
        self.restarted.observe(observation, self.now)

    @rule(name=ENDPOINTS)
    def resume(self, name: str) -> None:
        """Carry out a RESUME of an earlier failover."""
        self.endpoints[name].fenced_term = 0

    @rule(answered=SUBSETS, demoted=SUBSETS)
    def fence(self, answered: frozenset[str], demoted: frozenset[str]) -> None:
        """Fence all endpoints; other orders are carried out late."""
        for name, endpoint in self.endpoints.items():
            self._fence_one(name, endpoint, name in answered, name in demoted)

    @rule()
    def lose_primary(self) -> None:
        """Crash the primary, and fence the others."""
        self.crash(PRIMARY)
        self.fence(ALL, ALL)

    @rule(replica=st.sampled_from(REPLICAS))
    def lose_orders(self, replica: str) -> None:
        """Lose the orders to demote the primary and to fence a replica."""
        self.fence(ALL - {replica}, frozenset())

    @rule(name=st.sampled_from(REPLICAS), noticed=st.booleans())
    def forget(self, name: str, noticed: bool) -> None:
        """Restart a replica with an empty log, and fence all again."""
        self.restart(name, forgets=True, noticed=noticed)
        self.fence(ALL, ALL)

    @precondition(lambda model: model.late)
    @rule(which=st.integers(0, 100))
    def carry_out_late(self, which: int) -> None:
        """Carry out an order that got no answer."""
        verb, name = self.late.pop(which % len(self.late))
        self._carry_out(verb, self.endpoints[name])

    @rule(answered=SUBSETS, receivers=SUBSETS)
    def command(
        self, answered: frozenset[str], receivers: frozenset[str]
    ) -> None:
        """Check the fences, and command the promotion that they permit.

        A commit may still be acknowledged before the command takes effect.
        """
        name = self._choose()
        if name is None or not self._is_permitted(name, answered):
            return
        self.commanded = name
        self.commit(receivers)
        log = set(self.endpoints[name].log)
        assert self.acknowledged <= log, 'an acknowledged commit is lost'

    def _choose(self) -> str | None:
        if self.commanded and not self.contract.judges_again:
            return self.commanded
        chosen = choose_promotion(
            self.state.fenced,
            ALL,
            SYNC_REPLICAS,
            primary=PRIMARY,
            unusable=(),
            pending=self.commanded,
        )
        return chosen.endpoint if chosen else None

    def _is_permitted(self, name: str, answered: frozenset[str]) -> bool:
        if self.commanded and not self.contract.judges_again:
            return True
        self._check(answered)
        evidence = PromotionEvidence(
            self.state.checked, ALL, SYNC_REPLICAS, PRIMARY
        )
        return not self.contract.objection(self.state, evidence, name)

    def _check(self, answered: frozenset[str]) -> None:
        for name in self.state.begin_check():
            endpoint = self.endpoints[name]
            is_answered = endpoint.is_up and name in answered
            self.state.record_check(
                name, endpoint.status if is_answered else None
            )

    def _fence_one(
        self, name: str, endpoint: Endpoint, answered: bool, demoted: bool
    ) -> None:
        if not endpoint.is_up:
            self.state.record(name, None)
            return
        self.state.record(name, endpoint.status)
        if endpoint.is_primary:
            self._order('STEPDOWN', name, arrives=demoted)
            if demoted:
                self.state.record_demotion(name, endpoint.status)
        self._order('PAUSE', name, arrives=answered)
        self.state.record(name, endpoint.status if answered else None)

    def _order(self, verb: str, name: str, *, arrives: bool) -> None:
        if arrives:
            self._carry_out(verb, self.endpoints[name])
        else:
            self.late.append((verb, name))

    def _carry_out(self, verb: str, endpoint: Endpoint) -> None:
        if not endpoint.is_up:
            return
        if verb == 'PAUSE':
            endpoint.fenced_term = TERM + 1
        else:
            endpoint.is_primary = False

    def _is_known(self, name: str) -> bool:
        """Return whether the failover has seen an endpoint's log."""
        fenced = {each.endpoint for each in self.state.fenced}
        return name in fenced

    def _needed_position(self, name: str) -> LogPosition | None:
        return self.restarted.needed_position(
            name, self.observations.history(SERVICE)
        )


def _entry(name: str, endpoint: Endpoint) -> EndpointRecord:
    return EndpointRecord(
        endpoint=name,
        service=SERVICE,
        address=name,
        data_centre='',
        started_at_ms=endpoint.starts,
        leaving=False,
        role='replica',
        slots=1,
    )
