"""Urgent requests go first inside a rate that is used up."""

from dataclasses import dataclass, field
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from trio import current_time, open_nursery, sleep

from tests.support import with_virtual_clock
from tests.test_pooler_rates import SimulatedNodes
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.admission import Admission, AdmittedOperation
from trefoilhitch.pooler.rate_limit import RateLimit, RateRule
from trefoilhitch.pooler.rate_priority.priority_reserve import (
    DEMAND_MEMORY_S,
    RESERVE_S,
    PriorityReserve,
)
from trefoilhitch.pooler.rate_share import RateShare

URGENT = 0
ORDINARY = 1
BATCH = 2
RATE = 30.0
BURST = 30.0
RULE = RateRule(window_s=5, overage=0.1, slack=20)
LIMIT = RateLimit.from_declared(RATE, BURST, RULE)
STRICT = RATE * RULE.window_s + BURST
TOLERATED = STRICT * RULE.overage + RULE.slack
STEP_S = 0.01
CALM_S = 6
FLOOD_S = 12
# What callers are promised: a flood of the least urgent kind takes at most
# this part of the most urgent requests that lie within the rate.
MAX_URGENT_REFUSED = 0.05


@dataclass
class Flood:
    """One organisation whose batches arrive far above its rate.

    Args:
        by_priority: whether the share is told the priorities.
        batch_per_s: arrivals of batch requests.
        urgent_per_s: arrivals of urgent requests.
        restart_at: when the node is replaced, never by default.

    """

    by_priority: bool = True
    batch_per_s: float = RATE * 4
    urgent_per_s: float = RATE / 6
    restart_at: float = FLOOD_S + 1
    requested: dict[int, int] = field(default_factory=dict)
    admitted: dict[int, list[float]] = field(default_factory=dict)

    def play(self, seed: int) -> 'Flood':
        """Play calm seconds, then the flood, with random arrivals."""
        random = Random(seed)
        share = self._start(0)
        for step in range(int((CALM_S + FLOOD_S) / STEP_S)):
            now = step * STEP_S
            if abs(now - CALM_S - self.restart_at) < STEP_S / 2:
                share = self._start(now)
            for priority, per_s in (
                (BATCH, self.batch_per_s if now >= CALM_S else RATE / 4),
                (URGENT, self.urgent_per_s),
            ):
                arrivals = int(per_s * STEP_S + random.random())
                for _ in range(arrivals):
                    self._request(share, priority, now)
        return self

    def refused(self, priority: int) -> float:
        """Return the part of a priority's requests that was refused."""
        requested = self.requested.get(priority, 0)
        return 1 - len(self.admitted.get(priority, ())) / requested

    def fullest_window(self) -> int:
        """Return the largest number of operations in any window."""
        moments = sorted(sum(self.admitted.values(), []))
        return max(
            sum(start <= each < start + RULE.window_s for each in moments)
            for start in moments
        )

    def total(self) -> int:
        """Return the number of operations that were admitted."""
        return sum(map(len, self.admitted.values()))

    def _start(self, now: float) -> RateShare:
        share = RateShare(now)
        share.configure(LIMIT, 1, now)
        return share

    def _request(self, share: RateShare, priority: int, now: float) -> None:
        rank = priority if self.by_priority else URGENT
        self.requested[priority] = self.requested.get(priority, 0) + 1
        share.record_request(now, rank)
        if share.try_spend(now, rank) is not None:
            self.admitted.setdefault(priority, []).append(now)


@pytest.mark.parametrize('seed', range(5))
def test_flood_of_batches_takes_no_urgent_requests(seed: int) -> None:
    flood = Flood().play(seed)
    assert flood.refused(URGENT) <= MAX_URGENT_REFUSED
    assert flood.fullest_window() <= STRICT
    # In the order of arrival, most urgent requests are refused.
    former = Flood(by_priority=False).play(seed)
    assert former.refused(URGENT) > 0.5


@pytest.mark.parametrize('seed', range(5))
def test_reserve_costs_little_capacity(seed: int) -> None:
    former = Flood(by_priority=False).play(seed)
    # Each window leaves at most the reserve unused: the urgent requests that
    # are expected in a second, and those of a cluster of arrivals.
    reserved = 2 * RATE / 6 * RESERVE_S
    windows = (CALM_S + FLOOD_S) / RULE.window_s
    assert Flood().play(seed).total() >= former.total() - reserved * windows


@pytest.mark.parametrize('restart_at', [0.5, 2.0, 5.0, 7.3])
def test_restart_during_a_flood_keeps_the_rate(restart_at: float) -> None:
    flood = Flood(restart_at=restart_at).play(1)
    assert flood.fullest_window() <= STRICT + TOLERATED
    assert flood.refused(URGENT) <= MAX_URGENT_REFUSED


@pytest.mark.parametrize('times', [6, 8])
def test_organisation_far_above_its_rate_is_served_urgent_first(
    times: int,
) -> None:
    flood = Flood(batch_per_s=RATE * times, urgent_per_s=RATE / 2).play(3)
    assert flood.refused(URGENT) <= MAX_URGENT_REFUSED


def test_nothing_is_reserved_without_urgent_requests() -> None:
    reserve = PriorityReserve()
    reserve.record_request(BATCH, 0)
    assert not reserve.tokens_above(BATCH, 0)
    reserve.record_request(URGENT, 0)
    assert reserve.tokens_above(BATCH, 1) >= 1
    assert not reserve.tokens_above(URGENT, 1)
    assert not reserve.tokens_above(BATCH, DEMAND_MEMORY_S)


def test_small_share_still_admits_batches() -> None:
    # A share of less than two tokens could never exceed a reserve of one.
    share = RateShare(0)
    share.configure(RateLimit.from_declared(1, 1, RULE), 4, 0)
    share.record_request(10, URGENT)
    assert share.try_spend(10, BATCH) is not None


def test_lender_that_needs_its_tokens_for_batches_grants_urgent() -> None:
    lender = RateShare(0)
    lender.configure(LIMIT, 2, 0)
    for step in range(500):
        lender.record_request(10 + step * STEP_S, BATCH)
    now = 15.0
    # Batches of the other node get nothing: this one runs short itself.
    assert not lender.grant(1, now, BATCH)
    assert lender.grant(1, now, URGENT) == pytest.approx(1)


def test_lender_reserves_a_token_for_the_next_urgent_request() -> None:
    lender = RateShare(0)
    lender.configure(LIMIT, 2, 0)
    lender.reserve.expect_requests(URGENT, 10)
    while lender.try_spend(10, BATCH) is not None:
        lender.record_request(10, BATCH)
    assert lender.grant(1, 10, URGENT) == pytest.approx(1)


STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just('spend'),
            st.integers(0, 3),
            st.sampled_from((URGENT, ORDINARY, BATCH)),
            st.booleans(),
        ),
        st.tuples(st.just('move'), st.integers(0, 3), st.integers(0, 3)),
        st.tuples(st.just('deliver')),
        st.tuples(st.just('restart'), st.integers(0, 3)),
        st.tuples(st.just('wait'), st.sampled_from((0.05, 0.3, 1.0, 4.0))),
    ),
    max_size=120,
)


class PrioritisedNodes(SimulatedNodes):
    """Nodes whose operations have priorities; some are not sent."""

    def spend(self, node: int, priority: int, sent: bool) -> None:  # noqa: FBT001
        """Request operations; those that are not sent give tokens back."""
        share = self.nodes[node]
        for _ in range(5):
            share.record_request(self.now, priority)
            spent = share.try_spend(self.now, priority)
            if spent is None:
                continue
            if sent:
                self.admitted.append(self.now)
            else:
                share.refund(spent)

    def move(self, grantor: int, receiver: int) -> None:
        """Grant tokens for the most urgent operations of another node."""
        if grantor == receiver:
            return
        wanted = self.nodes[receiver].tokens_to_request(self.now)
        tokens = self.nodes[grantor].grant(wanted, self.now, URGENT)
        self.messages.append((receiver, tokens, self.now))


@given(STEPS)
def test_no_window_exceeds_its_limit_with_priorities_and_refunds(
    steps: list[tuple[object, ...]],
) -> None:
    simulation = PrioritisedNodes()
    for name, *args in steps:
        if name == 'wait':
            simulation.now += float(str(args[0]))
        else:
            getattr(simulation, str(name))(*args)
    simulation.check()


class SilentNode:
    """A granting node that is lost: it never answers."""

    async def request_tokens(
        self,
        organisation: str,
        wanted: float,
        share: RateShare,
        priority: int = 0,
    ) -> float:
        """Wait longer than any operation does."""
        await sleep(10)
        return 0


class OneShare:
    """Rates of one organisation.

    Args:
        share: its share.

    """

    def __init__(self, share: RateShare) -> None:
        """Store the share."""
        self._share = share

    def share(self, organisation: str) -> RateShare:
        """Return the share."""
        return self._share


@with_virtual_clock
async def test_urgent_request_goes_first_while_a_lender_is_lost() -> None:
    share = RateShare(current_time())
    share.configure(LIMIT, 1, current_time())
    admission = Admission(
        rates=OneShare(share),
        tokens=SilentNode(),
        clock=current_time,
        metrics=Metrics(),
    )
    while share.try_spend(current_time()) is not None:
        share.record_request(current_time(), BATCH)
    outcomes: dict[str, AdmittedOperation | None] = {}

    async def request(name: str, priority: int) -> None:
        outcomes[name] = await admission.admit('himal', priority)

    async with open_nursery() as nursery:
        for number in range(20):
            nursery.start_soon(request, f'batch {number}', BATCH)
        await sleep(0.2)
        nursery.start_soon(request, 'urgent', URGENT)
    assert outcomes['urgent'] is not None


@with_virtual_clock
async def test_token_that_cannot_be_taken_back_stays_spent() -> None:
    share = RateShare(current_time())
    share.configure(LIMIT, 1, current_time())
    await sleep(1)
    first = share.try_spend(current_time())
    await sleep(0.5)
    second = share.try_spend(current_time())
    assert first is not None
    assert second is not None
    assert not share.refund(first)
    assert share.refund(second)
