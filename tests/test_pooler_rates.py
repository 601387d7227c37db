"""Tests that rate shares bound what all nodes together admit."""

from itertools import count

import pytest
from hypothesis import given
from hypothesis import strategies as st

from trefoilhitch.pooler.rate_accounting import SpentTokens
from trefoilhitch.pooler.rate_limit import (
    MIN_RESTART_S,
    RAMP_DOWN_FRACTION,
    RateLimit,
    RateRule,
)
from trefoilhitch.pooler.rate_share import RateShare

RATE = 10.0
BURST = 20.0
RULE = RateRule(window_s=5, overage=0.1, slack=20)
LIMIT = RateLimit.from_declared(RATE, BURST, RULE)
STRICT = RATE * RULE.window_s + BURST
TOLERATED = STRICT * RULE.overage + RULE.slack
NODES = 4
ROUNDING = 1e-6


class SimulatedNodes:
    """Nodes that share a rate, and the times of the admitted operations."""

    def __init__(self, share_type: type[RateShare] = RateShare) -> None:
        """Start all nodes at once."""
        self.now: float = 0
        self.admitted: list[float] = []
        self._share_type = share_type
        self.restarted = False
        self.nodes = [self._start() for _ in range(NODES)]
        # Undelivered responses: receiver, tokens, time of the request.
        self.messages: list[tuple[int, float, float]] = []

    def spend(self, node: int) -> None:
        """Request five operations from a node."""
        share = self.nodes[node]
        for _ in range(5):
            share.record_request(self.now)
            if share.try_spend(self.now):
                self.admitted.append(self.now)

    def move(self, grantor: int, receiver: int) -> None:
        """Have a node grant tokens to another; the response is sent."""
        if grantor == receiver:
            return
        wanted = self.nodes[receiver].tokens_to_request(self.now)
        tokens = self.nodes[grantor].grant(wanted, self.now)
        self.messages.append((receiver, tokens, self.now))

    def deliver(self) -> None:
        """Deliver the oldest undelivered response."""
        if self.messages:
            receiver, tokens, sent_at = self.messages.pop(0)
            self.nodes[receiver].add_grant(tokens, sent_at)

    def restart(self, node: int) -> None:
        """Replace a node by a new process without state."""
        self.restarted = True
        self.now += MIN_RESTART_S
        self.nodes[node] = self._start()

    def restart_all(self) -> None:
        """Replace all nodes by new processes without state."""
        self.restarted = True
        self.now += MIN_RESTART_S
        self.nodes = [self._start() for _ in range(NODES)]

    def check(self) -> None:
        """Check every window that begins with an operation."""
        limit = STRICT
        if self.restarted:
            limit += TOLERATED
        for started_at in self.admitted:
            inside = [
                moment
                for moment in self.admitted
                if started_at <= moment < started_at + RULE.window_s
            ]
            assert len(inside) <= limit + ROUNDING

    def _start(self) -> RateShare:
        share = self._share_type(self.now)
        share.configure(LIMIT, NODES, self.now)
        return share


class GrantsWithoutSubtracting(RateShare):
    """Mutation: granted tokens stay in the granting share."""

    def grant(self, wanted: float, now: float) -> float:
        """Grant tokens without subtracting them."""
        granted = super().grant(wanted, now)
        self._bucket.tokens += granted
        self._window.used -= granted
        return granted


class KeepsExpiredGrants(RateShare):
    """Mutation: granted tokens hardly expire."""

    def add_grant(self, tokens: float, sent_at: float) -> None:
        """Add a grant with a late expiry time."""
        super().add_grant(tokens, sent_at + 1000)


class ForgetsGrants(RateShare):
    """Mutation: granted tokens are not counted in the window."""

    def grant(self, wanted: float, now: float) -> float:
        """Grant tokens and remove them from the window."""
        granted = super().grant(wanted, now)
        self._window.used -= granted
        return granted


class StartsFull(RateShare):
    """Mutation: a new process starts with a full share."""

    def configure(self, limit: RateLimit, nodes: int, now: float) -> None:
        """Fill the bucket."""
        super().configure(limit, nodes, now)
        self._bucket.tokens = limit.operations / nodes


class CountsNoWindow(RateShare):
    """Mutation: operations are paced, but not counted in a window."""

    def try_spend(self, now: float, priority: int = 0) -> SpentTokens | None:
        """Clear the window before spending."""
        self._window.used = 0
        return super().try_spend(now, priority)


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('spend'), st.integers(0, NODES - 1)),
        st.tuples(
            st.just('move'),
            st.integers(0, NODES - 1),
            st.integers(0, NODES - 1),
        ),
        st.tuples(st.just('deliver')),
        st.tuples(st.just('restart'), st.integers(0, NODES - 1)),
        st.tuples(st.just('restart_all')),
        st.tuples(st.just('wait'), st.sampled_from((0.05, 0.3, 1.0, 4.0))),
    ),
    max_size=120,
)


def run_steps(
    simulation: SimulatedNodes, steps: list[tuple[object, ...]]
) -> None:
    """Run steps and check every window."""
    for name, *args in steps:
        if name == 'wait':
            simulation.now += float(str(args[0]))
        else:
            getattr(simulation, str(name))(*args)
    simulation.check()


EACH_SPENDS: list[tuple[object, ...]] = [
    ('spend', node) for node in range(NODES)
]


@given(STEPS)
def test_no_window_exceeds_its_limit(
    steps: list[tuple[object, ...]],
) -> None:
    run_steps(SimulatedNodes(), steps)


def hoarding_steps() -> list[tuple[object, ...]]:
    """Collect all tokens at one node, then spend them all at once."""
    steps: list[tuple[object, ...]] = []
    for _ in range(40):
        steps.append(('wait', 0.3))
        for grantor in range(1, NODES):
            steps.extend((('move', grantor, 0), ('deliver',)))
    steps.extend(('spend', node) for node in range(NODES) for _ in range(30))
    return steps


def moving_steps() -> list[tuple[object, ...]]:
    """Move tokens to one node, which spends them immediately."""
    steps: list[tuple[object, ...]] = []
    for _ in range(40):
        steps.append(('wait', 0.3))
        for grantor in range(1, NODES):
            steps.extend((('move', grantor, 0), ('deliver',), ('spend', 0)))
        steps.extend(('spend', node) for node in range(1, NODES))
    return steps


def spending_steps() -> list[tuple[object, ...]]:
    """Spend all available tokens."""
    steps: list[tuple[object, ...]] = []
    for _ in range(60):
        steps.extend(('spend', node) for node in range(NODES))
        steps.append(('wait', 0.1))
    return steps


def restarting_steps() -> list[tuple[object, ...]]:
    """Spend all tokens and restart, several times."""
    steps: list[tuple[object, ...]] = [('wait', 4.0)]
    for _ in range(6):
        for _ in range(8):
            steps.extend(('spend', node) for node in range(NODES))
        steps.extend((('restart_all',), ('wait', 0.3)))
    return steps


@pytest.mark.parametrize(
    ('mutation', 'steps'),
    [
        (GrantsWithoutSubtracting, moving_steps()),
        (KeepsExpiredGrants, hoarding_steps()),
        (ForgetsGrants, moving_steps()),
        (StartsFull, restarting_steps()),
        (CountsNoWindow, spending_steps()),
    ],
)
def test_mutations_are_detected(
    mutation: type[RateShare], steps: list[tuple[object, ...]]
) -> None:
    run_steps(SimulatedNodes(), steps)
    with pytest.raises(AssertionError):
        run_steps(SimulatedNodes(mutation), steps)


@pytest.mark.parametrize('spent_for_s', [0, 1, 2.5, 4])
def test_restart_of_all_nodes_stays_within_tolerance(
    spent_for_s: float,
) -> None:
    simulation = SimulatedNodes()
    simulation.now = 30
    for _ in range(int(spent_for_s / 0.1) + 1):
        run_steps(simulation, EACH_SPENDS)
        run_steps(simulation, EACH_SPENDS)
        simulation.now += 0.1
    simulation.restart_all()
    for _ in range(60):
        run_steps(simulation, EACH_SPENDS)
        simulation.now += 0.1
    assert len(simulation.admitted) > STRICT


def test_constant_overload_uses_the_whole_limit() -> None:
    simulation = SimulatedNodes()
    simulation.now = 10
    windows = 6
    for _ in range(int(windows * RULE.window_s / 0.1)):
        run_steps(simulation, EACH_SPENDS)
        simulation.now += 0.1
    assert len(simulation.admitted) >= 0.97 * windows * STRICT


def test_new_node_admits_an_operation() -> None:
    simulation = SimulatedNodes()
    simulation.spend(0)
    assert simulation.admitted


def test_spare_tokens_are_granted_to_busy_node() -> None:
    simulation = SimulatedNodes()
    simulation.now = 4
    for _ in range(30):
        simulation.now += 0.1
        for grantor in range(1, NODES):
            simulation.move(grantor, 0)
            simulation.deliver()
        simulation.spend(0)
    # One node gets nearly the whole rate and the burst.
    assert len(simulation.admitted) > 3 * RATE


def test_node_that_runs_short_grants_nothing() -> None:
    share = RateShare(0)
    share.configure(LIMIT, NODES, 0)
    for step in range(200):
        share.record_request(10 + step * 0.05)
    assert not share.grant(1, 20)


def _spend_for(share: RateShare, started_at: float, span_s: float) -> int:
    """Request an operation every 0.02 s, return how many were admitted."""
    moments = [started_at + step * 0.02 for step in range(int(span_s / 0.02))]
    return sum(share.try_spend(moment) is not None for moment in moments)


def test_use_under_higher_rate_leaves_tokens_of_lower_one() -> None:
    higher = RateLimit.from_declared(36, 36, RULE)
    lower = RateLimit.from_declared(12, 12, RULE)
    share = RateShare(0)
    share.configure(higher, 1, 0)
    # Spends less than the higher limit, but more than the lower one.
    for step in range(200):
        assert share.try_spend(10 + step * 0.05)
    share.configure(lower, 1, 20)
    assert _spend_for(share, 20, 1) >= lower.per_s


def test_lower_rate_takes_effect_within_one_window() -> None:
    higher = RateLimit.from_declared(100, 100, RULE)
    lower = RateLimit.from_declared(10, 10, RULE)
    share = RateShare(0)
    share.configure(higher, 1, 0)
    _spend_for(share, 5, 5)
    share.configure(lower, 1, 10)
    during_ramp_down = _spend_for(share, 10, RULE.window_s * RAMP_DOWN_FRACTION)
    assert during_ramp_down < higher.operations / 2
    # A window that began after the lower rate took full effect.
    assert _spend_for(share, 13, RULE.window_s) <= lower.operations


def test_rate_lowered_and_raised_holds_in_each_window() -> None:
    higher = RateLimit.from_declared(36, 36, RULE)
    lower = RateLimit.from_declared(12, 12, RULE)
    share = RateShare(0)
    share.configure(higher, 1, 0)
    admitted = _spend_for(share, 10, 2)
    share.configure(lower, 1, 12)
    admitted += _spend_for(share, 12, 1)
    share.configure(higher, 1, 13)
    admitted += _spend_for(share, 13, 1.9)
    assert admitted <= higher.operations


def test_additional_nodes_do_not_raise_the_limit() -> None:
    share = RateShare(0)
    share.configure(LIMIT, 1, 0)
    admitted = _spend_for(share, 10, 2)
    share.configure(LIMIT, 2, 12)
    admitted += _spend_for(share, 12, 2.9)
    assert admitted <= LIMIT.operations


def test_nothing_is_spent_while_node_count_is_unknown() -> None:
    share = RateShare(0)
    share.configure(LIMIT, 0, 0)
    assert not share.try_spend(60)


def test_partial_grants_add_up_to_an_operation() -> None:
    share = RateShare(0)
    moments = count()
    for _ in range(3):
        share.add_grant(0.4, 0)
    assert share.try_spend(next(moments) / 10)
    assert not share.try_spend(next(moments) / 10)


def test_share_is_used_while_spent_tokens_count() -> None:
    share = RateShare(0)
    share.configure(LIMIT, 1, 0)
    assert share.try_spend(10)
    assert not share.is_unused(10 + RULE.window_s - 0.01)
    assert share.is_unused(10 + RULE.window_s + 0.2)
