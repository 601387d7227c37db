"""Shares of rates: what all nodes together admit, whatever happens."""

from itertools import count

import pytest
from hypothesis import given
from hypothesis import strategies as st

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


class Fleet:
    """Nodes that share a rate, with the times of what they admitted."""

    def __init__(self, share_type: type[RateShare] = RateShare) -> None:
        """Start all nodes at once."""
        self.now: float = 0
        self.admitted: list[float] = []
        self._share_type = share_type
        self.restarted = False
        self.nodes = [self._start() for _ in range(NODES)]
        # Messages on their way: receiver, tokens, time of the question.
        self.messages: list[tuple[int, float, float]] = []

    def spend(self, node: int) -> None:
        """Have a node admit what it can of five operations."""
        share = self.nodes[node]
        for _ in range(5):
            share.record_request(self.now)
            if share.try_spend(self.now):
                self.admitted.append(self.now)

    def move(self, giver: int, receiver: int) -> None:
        """Have a node give tokens up; the answer is on its way."""
        if giver == receiver:
            return
        wanted = self.nodes[receiver].tokens_to_request(self.now)
        tokens = self.nodes[giver].grant(wanted, self.now)
        self.messages.append((receiver, tokens, self.now))

    def deliver(self) -> None:
        """Deliver the answer that has been on its way for longest."""
        if self.messages:
            receiver, tokens, asked_at = self.messages.pop(0)
            self.nodes[receiver].add_grant(tokens, asked_at)

    def restart(self, node: int) -> None:
        """Replace a node by a new process that remembers nothing."""
        self.restarted = True
        self.now += MIN_RESTART_S
        self.nodes[node] = self._start()

    def restart_all(self) -> None:
        """Replace all nodes by new processes that remember nothing."""
        self.restarted = True
        self.now += MIN_RESTART_S
        self.nodes = [self._start() for _ in range(NODES)]

    def check(self) -> None:
        """Check each window that begins with an operation."""
        limit = STRICT
        if self.restarted:
            limit += TOLERATED
        for began in self.admitted:
            inside = [
                moment
                for moment in self.admitted
                if began <= moment < began + RULE.window_s
            ]
            assert len(inside) <= limit + ROUNDING

    def _start(self) -> RateShare:
        share = self._share_type(self.now)
        share.configure(LIMIT, NODES, self.now)
        return share


class GrantsWithoutSubtracting(RateShare):
    """A mutation: tokens are doubled when they are given."""

    def grant(self, wanted: float, now: float) -> float:
        """Give what is asked for and keep it."""
        given = super().grant(wanted, now)
        self._bucket.tokens += given
        self._window.used -= given
        return given


class KeepsExpiredGrants(RateShare):
    """A mutation: gifts can be hoarded."""

    def add_grant(self, tokens: float, asked_at: float) -> None:
        """Take a gift that stays."""
        super().add_grant(tokens, asked_at + 1000)


class ForgetsGrants(RateShare):
    """A mutation: a gift counts from when it was given, not from its end."""

    def grant(self, wanted: float, now: float) -> float:
        """Have the gift's tokens back too early."""
        given = super().grant(wanted, now)
        self._window.used -= given
        return given


class StartsFull(RateShare):
    """A mutation: a new process starts with all of its part."""

    def configure(self, limit: RateLimit, nodes: int, now: float) -> None:
        """Fill the bucket."""
        super().configure(limit, nodes, now)
        self._bucket.tokens = limit.operations / nodes


class CountsNoWindow(RateShare):
    """A mutation: operations are paced, but not counted."""

    def try_spend(self, now: float) -> bool:
        """Forget what was spent."""
        self._window.used = 0
        return super().try_spend(now)


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


def play(fleet: Fleet, steps: list[tuple[object, ...]]) -> None:
    """Carry out steps and check every window."""
    for name, *args in steps:
        if name == 'wait':
            fleet.now += float(str(args[0]))
        else:
            getattr(fleet, str(name))(*args)
    fleet.check()


EACH_SPENDS: list[tuple[object, ...]] = [
    ('spend', node) for node in range(NODES)
]


@given(STEPS)
def test_no_window_exceeds_its_operations(
    steps: list[tuple[object, ...]],
) -> None:
    play(Fleet(), steps)


def hoarding_steps() -> list[tuple[object, ...]]:
    """Collect all tokens at one node for a while, then spend all at once."""
    steps: list[tuple[object, ...]] = []
    for _ in range(40):
        steps.append(('wait', 0.3))
        for giver in range(1, NODES):
            steps.extend((('move', giver, 0), ('deliver',)))
    steps.extend(('spend', node) for node in range(NODES) for _ in range(30))
    return steps


def moving_steps() -> list[tuple[object, ...]]:
    """Move tokens to one node, which spends all that it gets."""
    steps: list[tuple[object, ...]] = []
    for _ in range(40):
        steps.append(('wait', 0.3))
        for giver in range(1, NODES):
            steps.extend((('move', giver, 0), ('deliver',), ('spend', 0)))
        steps.extend(('spend', node) for node in range(1, NODES))
    return steps


def spending_steps() -> list[tuple[object, ...]]:
    """Spend whatever there is."""
    steps: list[tuple[object, ...]] = []
    for _ in range(60):
        steps.extend(('spend', node) for node in range(NODES))
        steps.append(('wait', 0.1))
    return steps


def restarting_steps() -> list[tuple[object, ...]]:
    """Spend everything and restart, again and again."""
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
def test_mutations_are_caught(
    mutation: type[RateShare], steps: list[tuple[object, ...]]
) -> None:
    play(Fleet(), steps)
    with pytest.raises(AssertionError):
        play(Fleet(mutation), steps)


@pytest.mark.parametrize('spent_for_s', [0, 1, 2.5, 4])
def test_a_restart_of_all_nodes_stays_within_the_tolerance(
    spent_for_s: float,
) -> None:
    fleet = Fleet()
    fleet.now = 30
    for _ in range(int(spent_for_s / 0.1) + 1):
        play(fleet, EACH_SPENDS)
        play(fleet, EACH_SPENDS)
        fleet.now += 0.1
    fleet.restart_all()
    for _ in range(60):
        play(fleet, EACH_SPENDS)
        fleet.now += 0.1
    assert len(fleet.admitted) > STRICT


def test_a_steady_excess_gets_all_operations_of_each_window() -> None:
    fleet = Fleet()
    fleet.now = 10
    windows = 6
    for _ in range(int(windows * RULE.window_s / 0.1)):
        play(fleet, EACH_SPENDS)
        fleet.now += 0.1
    assert len(fleet.admitted) >= 0.97 * windows * STRICT


def test_a_node_that_starts_admits_an_operation_at_once() -> None:
    fleet = Fleet()
    fleet.spend(0)
    assert fleet.admitted


def test_spare_tokens_reach_the_node_that_needs_them() -> None:
    fleet = Fleet()
    fleet.now = 4
    for _ in range(30):
        fleet.now += 0.1
        for giver in range(1, NODES):
            fleet.move(giver, 0)
            fleet.deliver()
        fleet.spend(0)
    # One node gets nearly the whole rate, and the burst.
    assert len(fleet.admitted) > 3 * RATE


def test_a_node_that_runs_short_itself_gives_nothing_away() -> None:
    share = RateShare(0)
    share.configure(LIMIT, NODES, 0)
    for step in range(200):
        share.record_request(10 + step * 0.05)
    assert not share.grant(1, 20)


def _spend_for(share: RateShare, began: float, span_s: float) -> int:
    """Ask for an operation each 0.02 s, return how many were admitted."""
    moments = [began + step * 0.02 for step in range(int(span_s / 0.02))]
    return [share.try_spend(moment) for moment in moments].count(True)


def test_what_a_higher_rate_allowed_does_not_use_up_a_lower_one() -> None:
    higher = RateLimit.from_declared(36, 36, RULE)
    lower = RateLimit.from_declared(12, 12, RULE)
    share = RateShare(0)
    share.configure(higher, 1, 0)
    # A use below the higher limit, but above the lower one.
    for step in range(200):
        assert share.try_spend(10 + step * 0.05)
    share.configure(lower, 1, 20)
    assert _spend_for(share, 20, 1) >= lower.per_s


def test_a_lower_rate_takes_hold_within_one_window() -> None:
    higher = RateLimit.from_declared(100, 100, RULE)
    lower = RateLimit.from_declared(10, 10, RULE)
    share = RateShare(0)
    share.configure(higher, 1, 0)
    _spend_for(share, 5, 5)
    share.configure(lower, 1, 10)
    in_landing = _spend_for(share, 10, RULE.window_s * RAMP_DOWN_FRACTION)
    assert in_landing < higher.operations / 2
    # Any window that began when the lower rate had taken hold.
    assert _spend_for(share, 13, RULE.window_s) <= lower.operations


def test_a_rate_that_goes_down_and_up_again_holds_in_each_window() -> None:
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


def test_more_nodes_bring_no_more_operations() -> None:
    share = RateShare(0)
    share.configure(LIMIT, 1, 0)
    admitted = _spend_for(share, 10, 2)
    share.configure(LIMIT, 2, 12)
    admitted += _spend_for(share, 12, 2.9)
    assert admitted <= LIMIT.operations


def test_nothing_is_spent_while_the_number_of_nodes_is_unknown() -> None:
    share = RateShare(0)
    share.configure(LIMIT, 0, 0)
    assert not share.try_spend(60)


def test_a_whole_operation_is_paid_from_parts() -> None:
    share = RateShare(0)
    moments = count()
    for _ in range(3):
        share.add_grant(0.4, 0)
    assert share.try_spend(next(moments) / 10)
    assert not share.try_spend(next(moments) / 10)


def test_a_share_is_kept_while_its_use_counts() -> None:
    share = RateShare(0)
    share.configure(LIMIT, 1, 0)
    assert share.try_spend(10)
    assert not share.is_unused(10 + RULE.window_s - 0.01)
    assert share.is_unused(10 + RULE.window_s + 0.2)
