"""Shares of rates: what all nodes together admit, whatever happens."""

from itertools import count

import pytest
from hypothesis import given
from hypothesis import strategies as st

from trefoilhitch.pooler.rates import GIFT_S, RateShare

RATE = 10.0
BURST = 20.0
WINDOW_S = 5.0
NODES = 4
ROUNDING = 1e-6


class Fleet:
    """Nodes that share a rate, with the times of what they admitted."""

    def __init__(self, share_type: type[RateShare] = RateShare) -> None:
        """Start all nodes at once."""
        self.now: float = 0
        self.admitted: list[float] = []
        self._share_type = share_type
        self.nodes = [self._start() for _ in range(NODES)]
        # Messages on their way: receiver, tokens, time of the question.
        self.messages: list[tuple[int, float, float]] = []

    def spend(self, node: int) -> None:
        """Have a node admit what it can of five operations."""
        share = self.nodes[node]
        for _ in range(5):
            share.ask(self.now)
            if share.spend(self.now):
                self.admitted.append(self.now)

    def move(self, giver: int, receiver: int) -> None:
        """Have a node give tokens up; the answer is on its way."""
        if giver == receiver:
            return
        wanted = self.nodes[receiver].wanted(self.now)
        tokens = self.nodes[giver].give(wanted, self.now)
        self.messages.append((receiver, tokens, self.now))

    def deliver(self) -> None:
        """Deliver the answer that has been on its way for longest."""
        if self.messages:
            receiver, tokens, asked_at = self.messages.pop(0)
            self.nodes[receiver].receive(tokens, asked_at)

    def restart(self, node: int) -> None:
        """Replace a node by a new process that remembers nothing."""
        self.nodes[node] = self._start()

    def check(self) -> None:
        """Check each window that begins with an operation."""
        limit = BURST + RATE * (WINDOW_S + GIFT_S)
        for began in self.admitted:
            inside = [
                moment
                for moment in self.admitted
                if began <= moment <= began + WINDOW_S
            ]
            assert len(inside) <= limit + ROUNDING

    def _start(self) -> RateShare:
        share = self._share_type(self.now)
        share.configure(rate_per_s=RATE, burst=BURST, nodes=NODES, now=self.now)
        return share


class GivesWithoutSubtracting(RateShare):
    """A mutation: tokens are doubled when they are given."""

    def give(self, wanted: float, now: float) -> float:
        """Give what is asked for and keep it."""
        given = super().give(wanted, now)
        self._bucket.tokens += given
        return given


class KeepsVoidGifts(RateShare):
    """A mutation: gifts can be hoarded."""

    def receive(self, tokens: float, asked_at: float) -> None:
        """Take a gift that stays."""
        super().receive(tokens, asked_at + 1000)


class StartsFull(RateShare):
    """A mutation: a new process starts with the burst."""

    def configure(
        self, *, rate_per_s: float, burst: float, nodes: int, now: float
    ) -> None:
        """Fill the bucket."""
        super().configure(
            rate_per_s=rate_per_s, burst=burst, nodes=nodes, now=now
        )
        self._bucket.tokens = self._bucket.size


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


@given(STEPS)
def test_no_window_exceeds_rate_and_burst(
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


def doubling_steps() -> list[tuple[object, ...]]:
    """Move tokens to one node, which spends all that it gets."""
    steps: list[tuple[object, ...]] = []
    for _ in range(40):
        steps.append(('wait', 0.3))
        for giver in range(1, NODES):
            steps.extend((('move', giver, 0), ('deliver',), ('spend', 0)))
    return steps


def restarting_steps() -> list[tuple[object, ...]]:
    """Spend everything and restart, again and again."""
    steps: list[tuple[object, ...]] = [('wait', 4.0)]
    for _ in range(6):
        for node in range(NODES):
            steps.extend((('spend', node), ('restart', node)))
        steps.append(('wait', 0.3))
    return steps


@pytest.mark.parametrize(
    ('mutation', 'steps'),
    [
        (GivesWithoutSubtracting, doubling_steps()),
        (KeepsVoidGifts, hoarding_steps()),
        (StartsFull, restarting_steps()),
    ],
)
def test_mutations_are_caught(
    mutation: type[RateShare], steps: list[tuple[object, ...]]
) -> None:
    play(Fleet(), steps)
    with pytest.raises(AssertionError):
        play(Fleet(mutation), steps)


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


def test_a_lower_rate_binds_at_once() -> None:
    share = RateShare(0)
    share.configure(rate_per_s=100, burst=100, nodes=1, now=0)
    share.configure(rate_per_s=2, burst=2, nodes=1, now=10)
    admitted = [share.spend(10) for _ in range(10)]
    assert admitted.count(True) == 2


def test_a_whole_operation_is_paid_from_parts() -> None:
    share = RateShare(0)
    share.configure(rate_per_s=0, burst=1, nodes=1, now=0)
    moments = count()
    for _ in range(3):
        share.receive(0.4, 0)
    assert share.spend(next(moments) / 10)
    assert not share.spend(next(moments) / 10)
