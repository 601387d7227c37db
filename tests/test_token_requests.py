"""Requests for tokens of other nodes during a partition.

They run with small fakes for the other nodes, on the virtual clock.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from types import SimpleNamespace
from typing import Any, cast

import pytest
from msgspec.structs import replace as replace_message
from trio import Nursery, current_time, open_nursery, sleep, sleep_until
from trio.testing import wait_all_tasks_blocked

from tests.support import run_virtual, with_virtual_clock
from trefoilhitch._generated.peer import MemberBeat, TokenReply, TokenRequest
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.admission import (
    FIRST_PAUSE_S,
    MAX_PAUSE_S,
    TOKEN_WAIT_S,
    UNASKED_PAUSE_S,
    Admission,
)
from trefoilhitch.pooler.control.failure_backoff import NoBackoff
from trefoilhitch.pooler.control.peer_backoff import PeerBackoff
from trefoilhitch.pooler.gateway_directory import GatewayDirectory
from trefoilhitch.pooler.membership_view import MembershipView
from trefoilhitch.pooler.peer_client import PEER_TIMEOUT_S, PeerClient
from trefoilhitch.pooler.rate_limit import RateLimit, RateRule
from trefoilhitch.pooler.rate_share import (
    GRANT_LIFETIME_S,
    MIN_GRANT_TOKENS,
    RateShare,
)
from trefoilhitch.pooler.token_requester import NEAR_WAIT_S, TokenRequester
from trefoilhitch.pooler.token_round import TokenNeed, TokenRound

NAME = 'himal'
RATE = 30.0
BURST = 60.0
RULE = RateRule(window_s=5, overage=0.1, slack=20)
LIMIT = RateLimit.from_declared(RATE, BURST, RULE)
HOLDERS = 6
OWN_REGION = 'east'
REGIONS = (OWN_REGION, OWN_REGION, 'west', 'west', 'north', 'north')
NEAR_ROUND_TRIP_S = 0.004
FAR_ROUND_TRIP_S = 0.08
STEP_S = 0.001
PLAYED_S = 20
SMALL_RATE_PLAYED_S = 200
MAX_REFUSED = 0.05
SEEDS = range(5)


def beat(number: int) -> MemberBeat:
    """Return the state of a holder."""
    return MemberBeat(
        node=f'holder-{number}',
        address=f'holder-{number}:1',
        region=REGIONS[number],
        data_centre=f'dc-{number}',
        incarnation=1,
        counter=1,
        state='live',
        capacity=0,
    )


@dataclass
class Holders:
    """The nodes that hold the rate, and the network to them.

    Args:
        reachable: numbers of the holders that respond.
        refusing: numbers of those known to accept no connections.
        grant: decides what a holder grants; by default its share does.
        delays_s: round trips to some of them, in seconds.
        asked: holder, time and wanted tokens of each request.
        is_active: whether gateways hold the rates.
        limit: limit that the holders share.
        asks_first: whether the first holder is another node than the one that
            asks.

    """

    reachable: frozenset[int]
    refusing: frozenset[int] = frozenset()
    grant: Callable[[int, TokenRequest], float] | None = None
    delays_s: dict[int, float] = field(default_factory=dict)
    asked: list[tuple[int, float, float]] = field(default_factory=list)
    is_active: bool = True
    limit: RateLimit = LIMIT
    asks_first: bool = True

    def __post_init__(self) -> None:
        """Start the shares of all holders."""
        self.beats = [beat(number) for number in range(HOLDERS)]
        self.shares = [RateShare(current_time()) for _ in self.beats]
        for share in self.shares:
            share.configure(self.limit, HOLDERS, current_time())

    def rate_holders(self, _organisation: str) -> list[MemberBeat]:
        """Return the holders."""
        return self.beats if self.asks_first else self.beats[1:]

    def may_reach(self, address: str) -> bool:
        """Return whether a holder may accept connections."""
        return self._number(address) not in self.refusing

    async def request(
        self,
        address: str,
        _name: str,
        message: TokenRequest,
        _reply_type: type[TokenReply],
        **_options: Any,
    ) -> TokenReply | None:
        """Request tokens of a holder."""
        number = self._number(address)
        self.asked.append((number, current_time(), message.wanted))
        if number not in self.reachable:
            await sleep(PEER_TIMEOUT_S)
            return None
        is_near = REGIONS[number] == OWN_REGION
        usual_s = NEAR_ROUND_TRIP_S if is_near else FAR_ROUND_TRIP_S
        delay_s = self.delays_s.get(number, usual_s)
        await sleep(delay_s / 2)
        given = self._granted(number, message)
        await sleep(delay_s / 2)
        return TokenReply(given=given)

    def asked_numbers(self) -> list[int]:
        """Return the numbers of the holders that were asked, in order."""
        return [number for number, _, _ in self.asked]

    def _granted(self, number: int, message: TokenRequest) -> float:
        if self.grant is not None:
            return self.grant(number, message)
        return self.shares[number].grant(
            message.wanted, current_time(), message.priority
        )

    def _number(self, address: str) -> int:
        return next(
            number
            for number, each in enumerate(self.beats)
            if each.address == address
        )


def make_requester(
    holders: Holders,
    seed: int = 1,
    membership: Any = None,
    backoff: PeerBackoff | None = None,
) -> TokenRequester:
    """Return what requests tokens on the node that stands in."""
    usual = PeerBackoff.with_backoff(Random(seed), trial_s=PEER_TIMEOUT_S)
    known = membership or SimpleNamespace(heartbeat=beat(0))
    return TokenRequester(
        membership=known,
        directory=cast(GatewayDirectory, holders),
        client=cast(PeerClient, holders),
        clock=current_time,
        backoff=backoff or usual,
        metrics=Metrics(),
    )


class StandIn:
    """A node that serves an organisation and holds no part of its rate."""

    def __init__(
        self,
        holders: Holders,
        nursery: Nursery,
        seed: int = 1,
        backoff: PeerBackoff | None = None,
    ) -> None:
        """Start its requests."""
        self.own_share = RateShare(current_time())
        self.own_share.suspend(LIMIT)
        self.requester = make_requester(holders, seed, backoff=backoff)
        self.admission = Admission(
            rates=self,
            tokens=self.requester,
            clock=current_time,
            metrics=Metrics(),
        )
        nursery.start_soon(self.requester.run)
        self.admitted: list[float] = []
        self.refused: list[float] = []

    def share(self, _organisation: str) -> RateShare:
        """Return the share of the organisation."""
        return self.own_share

    async def admit(self) -> None:
        """Request one operation and record the outcome."""
        outcome = await self.admission.admit(NAME)
        moments = self.refused if outcome is None else self.admitted
        moments.append(current_time())

    async def play(self, moments: list[float]) -> None:
        """Request operations at the given moments and wait for the last."""
        start = current_time()
        async with open_nursery() as nursery:
            for moment in moments:
                await sleep_until(start + moment)
                nursery.start_soon(self.admit)


def random_moments(random: Random) -> list[float]:
    """Return moments of a third of the rate, independent of each other."""
    count = int(RATE / 3 * PLAYED_S)
    return sorted(random.uniform(0, PLAYED_S) for _ in range(count))


def regular_moments(random: Random) -> list[float]:
    """Return moments of a third of the rate, one in each interval."""
    interval_s = 3 / RATE
    count = int(PLAYED_S / interval_s)
    return [(each + random.random()) * interval_s for each in range(count)]


def fullest_window(moments: list[float]) -> int:
    """Return the largest number of operations in any window."""
    return max(
        sum(start <= each < start + RULE.window_s for each in moments)
        for start in moments
    )


async def play_partition(
    reachable: set[int], moments: list[float], seed: int
) -> StandIn:
    """Play a partition of the stand-in and the holders; return the node."""
    holders = Holders(frozenset(reachable))
    await sleep(RULE.window_s)
    async with open_nursery() as nursery:
        node = StandIn(holders, nursery, seed)
        await node.play(moments)
        nursery.cancel_scope.cancel()
    return node


async def play_holder(
    limit: RateLimit, moments: list[float], seed: int
) -> StandIn:
    """Play a demand at one of the holders, all reachable; return the node."""
    holders = Holders(frozenset(range(HOLDERS)), limit=limit)
    own_share = holders.shares[0]
    holders.asks_first = False
    await sleep(2 * RULE.window_s)
    async with open_nursery() as nursery:
        node = StandIn(holders, nursery, seed)
        node.own_share = own_share
        await node.play(moments)
        nursery.cancel_scope.cancel()
    return node


@pytest.mark.parametrize('reachable', [{1, 3}, {2, 3}, {2, 5}])
@pytest.mark.parametrize('make_moments', [random_moments, regular_moments])
def test_organisation_within_its_rate_is_served_in_a_partition(
    make_moments: Callable[[Random], list[float]], reachable: set[int]
) -> None:
    """Guards against operations that wait for holders out of reach."""
    requested = 0
    refused = 0
    for seed in SEEDS:
        moments = make_moments(Random(seed))
        node = run_virtual(partial(play_partition, reachable, moments, seed))
        assert fullest_window(node.admitted) <= LIMIT.operations
        requested += len(moments)
        refused += len(node.refused)
    assert refused / requested <= MAX_REFUSED


async def admit_once(holders: Holders) -> tuple[StandIn, float]:
    """Request one operation; return the node and how long it took."""
    async with open_nursery() as nursery:
        node = StandIn(holders, nursery)
        await wait_all_tasks_blocked()
        began = current_time()
        await node.admit()
        took_s = current_time() - began
        nursery.cancel_scope.cancel()
    return node, took_s


def give_all(_number: int, message: TokenRequest) -> float:
    """Grant what was requested."""
    return message.wanted


def give_none(_number: int, _message: TokenRequest) -> float:
    """Grant nothing."""
    return 0


@with_virtual_clock
async def test_operation_proceeds_once_its_tokens_have_arrived() -> None:
    """Guards against waiting for a silent holder next to one that gave."""
    holders = Holders(frozenset((1,)), grant=give_all)
    async with open_nursery() as nursery:
        node = StandIn(holders, nursery)
        await wait_all_tasks_blocked()
        # This one finds out which holders do not respond.
        await node.admit()
        await sleep(2 * PEER_TIMEOUT_S)
        holders.asked.clear()
        began = current_time()
        await node.admit()
        nursery.cancel_scope.cancel()
    assert node.admitted == [pytest.approx(began + NEAR_ROUND_TRIP_S)]
    # The one that responds covers the operation alone while the silent one is
    # tried again, and far ones are not needed.
    asked = sorted(holders.asked)
    assert [number for number, _, _ in asked] == [0, 1]
    assert all(wanted >= 1 for _, _, wanted in asked)


@with_virtual_clock
async def test_holders_that_respond_are_asked_for_no_more_than_needed() -> None:
    """Guards against tokens that expire unused and count at the granters."""
    holders = Holders(
        frozenset(range(HOLDERS)),
        grant=lambda number, message: message.wanted * (number > 1),
    )
    node, _ = await admit_once(holders)
    assert node.admitted
    near = [wanted for number, _, wanted in holders.asked if number < 2]
    far = [wanted for number, _, wanted in holders.asked if number > 1]
    assert sum(near) == pytest.approx(1)
    assert sum(far) == pytest.approx(1)


@with_virtual_clock
async def test_missing_part_of_a_token_is_large_enough_to_be_granted() -> None:
    """Guards against requests for less than holders grant at a time."""

    def grant(number: int, message: TokenRequest) -> float:
        if number < 2:
            return 0.4
        return message.wanted * (message.wanted >= MIN_GRANT_TOKENS)

    node, _ = await admit_once(Holders(frozenset(range(HOLDERS)), grant=grant))
    assert node.admitted


def test_parts_that_add_up_to_a_token_are_a_whole_token() -> None:
    """Guards against asking far holders because of rounding."""
    count = 6
    assert sum(1 / count for _ in range(count)) < 1
    current = TokenRound(
        TokenNeed(NAME, 0), wanted=1, share=RateShare(0), in_flight=set()
    )
    for _ in range(count):
        current.record_result(1 / count)
    assert current.has_whole_token


# Refused with the need divided evenly, and with a whole token of each holder:
# 9.6 and 57.6 %, 2.5 and 15.9 %, 12.4 and 37.5 %, 1.1 and 8.1 %, 0.3 and
# 1.7 %, 3.1 and 17.8 %.
@pytest.mark.parametrize(
    ('rate', 'burst', 'demand', 'max_refused'),
    [
        (1, 0, 0.33, 0.12),
        (2, 0, 0.33, 0.05),
        (2, 0, 0.6, 0.16),
        (2, 10, 0.9, 0.03),
        (4, 0, 0.33, 0.01),
        (4, 0, 0.6, 0.06),
    ],
)
def test_small_rates_are_served_while_all_holders_respond(
    rate: float, burst: float, demand: float, max_refused: float
) -> None:
    """Guards against refusals because other operations drew too many tokens."""
    limit = RateLimit.from_declared(rate, burst, RULE)
    requested = 0
    refused = 0
    for seed in range(3):
        count = int(SMALL_RATE_PLAYED_S * rate * demand)
        random = Random(seed)
        moments = sorted(
            random.uniform(0, SMALL_RATE_PLAYED_S) for _ in range(count)
        )
        node = run_virtual(partial(play_holder, limit, moments, seed))
        assert fullest_window(node.admitted) <= limit.operations
        requested += count
        refused += len(node.refused)
    assert refused / requested <= max_refused


@with_virtual_clock
async def test_tokens_of_several_holders_add_up() -> None:
    """Guards against a round that ends before the tokens suffice."""
    holders = Holders(frozenset((1, 2, 3, 4, 5)), grant=give_all)
    node, took_s = await admit_once(holders)
    assert node.admitted
    assert took_s == pytest.approx(NEAR_WAIT_S + FAR_ROUND_TRIP_S)


@with_virtual_clock
async def test_tokens_that_suffice_with_own_ones_are_spent_at_once() -> None:
    """Guards against operations that are refused beside usable tokens."""
    holders = Holders(frozenset((1,)), grant=lambda *_: 0.6)
    async with open_nursery() as nursery:
        node = StandIn(holders, nursery)
        await wait_all_tasks_blocked()
        node.own_share.add_grant(0.5, current_time())
        began = current_time()
        await node.admit()
        nursery.cancel_scope.cancel()
    assert node.admitted == [pytest.approx(began + NEAR_ROUND_TRIP_S)]


@with_virtual_clock
async def test_own_tokens_are_spent_at_the_end_of_the_wait() -> None:
    """Guards against a refusal although the own share was refilled."""
    holders = Holders(frozenset())
    async with open_nursery() as nursery:
        node = StandIn(holders, nursery)
        await wait_all_tasks_blocked()
        # The share gains a token in less than the operation waits.
        node.own_share.configure(LIMIT, 4, current_time())
        tokens_per_s = LIMIT.per_s / 4
        assert 1 < tokens_per_s * TOKEN_WAIT_S < 2
        while node.own_share.try_spend(current_time()) is not None:
            node.own_share.record_request(current_time())
        await node.admit()
        nursery.cancel_scope.cancel()
    assert len(node.admitted) == 1


@with_virtual_clock
async def test_far_holders_follow_silent_near_ones_after_a_moment() -> None:
    """Guards against near holders out of reach that use up the wait."""
    holders = Holders(frozenset((2, 3, 4, 5)), grant=give_all)
    began = current_time()
    node, took_s = await admit_once(holders)
    assert node.admitted
    assert took_s == pytest.approx(NEAR_WAIT_S + FAR_ROUND_TRIP_S)
    delays = [moment - began for _, moment, _ in holders.asked]
    assert delays[:2] == pytest.approx([0, 0])
    far_delays = [NEAR_WAIT_S for number in range(HOLDERS) if number > 1]
    assert delays[2:] == pytest.approx(far_delays)


@with_virtual_clock
async def test_far_holders_are_asked_at_once_without_near_ones() -> None:
    """Guards against waiting for near holders that are not asked."""
    holders = Holders(
        frozenset((2, 4, 5)), refusing=frozenset((0, 1, 3)), grant=give_all
    )
    node, took_s = await admit_once(holders)
    assert node.admitted
    assert took_s == pytest.approx(FAR_ROUND_TRIP_S)
    assert sorted(holders.asked_numbers()) == [2, 4, 5]


@with_virtual_clock
async def test_far_holders_are_asked_once_near_ones_gave_nothing() -> None:
    """Guards against a needless wait after all near holders responded."""
    holders = Holders(
        frozenset(range(HOLDERS)),
        grant=lambda number, message: message.wanted * (number > 1),
    )
    node, took_s = await admit_once(holders)
    assert node.admitted
    assert took_s == pytest.approx(NEAR_ROUND_TRIP_S + FAR_ROUND_TRIP_S)


@with_virtual_clock
async def test_silent_holder_is_left_alone() -> None:
    """Guards against requests to a lost holder with each operation."""
    holders = Holders(frozenset((1,)), grant=give_all)
    async with open_nursery() as nursery:
        node = StandIn(holders, nursery)
        await wait_all_tasks_blocked()
        # This one finds out which holders do not respond, and a pause follows.
        await node.admit()
        await sleep(FIRST_PAUSE_S)
        node.admitted.clear()
        await node.play(regular_moments(Random(1)))
        nursery.cancel_scope.cancel()
    asked = holders.asked_numbers()
    assert len(node.admitted) == int(RATE / 3 * PLAYED_S)
    # One request in flight at a time, with growing pauses between them.
    assert asked.count(0) <= PLAYED_S / (PEER_TIMEOUT_S + 0.8) + 3
    assert asked.count(1) > PLAYED_S


@with_virtual_clock
async def test_holders_without_tokens_are_left_alone_beside_silent_ones() -> (
    None
):
    """Guards against floods of requests while some holders are silent."""
    holders = Holders(frozenset((1, 2)), grant=give_none)
    async with open_nursery() as nursery:
        node = StandIn(holders, nursery)
        await node.play(random_moments(Random(1)))
        nursery.cancel_scope.cancel()
    assert not node.admitted
    assert holders.asked_numbers().count(1) <= 4 + PLAYED_S / MAX_PAUSE_S


@with_virtual_clock
async def test_no_pause_follows_a_request_without_any_response() -> None:
    """Guards against a pause because of holders that tell nothing."""
    holders = Holders(frozenset())
    async with open_nursery() as nursery:
        node = StandIn(holders, nursery)
        await wait_all_tasks_blocked()
        await node.admit()
        began = current_time()
        await node.admit()
        nursery.cancel_scope.cancel()
    # The second operation waits for the holders that may still respond.
    assert node.refused[1] - began == pytest.approx(TOKEN_WAIT_S)


@with_virtual_clock
async def test_pause_follows_if_no_holder_may_be_asked() -> None:
    """Guards against operations that wait although nobody can respond."""
    holders = Holders(frozenset(), refusing=frozenset(range(HOLDERS)))
    node, took_s = await admit_once(holders)
    assert node.refused
    assert not took_s
    assert not holders.asked


class LeftAlone(NoBackoff):
    """Leaves all nodes alone for some time.

    Args:
        until: monotonic time at which they may be asked again.

    """

    def __init__(self, until: float) -> None:
        """Store the time."""
        self._until = until

    def may_ask(self, name: str, now: float) -> bool:
        """Return whether the time has passed."""
        return now >= self._until


@with_virtual_clock
async def test_holder_that_may_be_asked_again_is_asked() -> None:
    """Guards against pauses that outlast those of silent holders."""
    holders = Holders(frozenset(range(HOLDERS)), grant=give_all)
    until = current_time() + MAX_PAUSE_S
    backoff = PeerBackoff(LeftAlone(until), Random(1))
    async with open_nursery() as nursery:
        node = StandIn(holders, nursery, backoff=backoff)
        await wait_all_tasks_blocked()
        began = current_time()
        await node.admit()
        # Operations do not wait while nobody can be asked.
        assert node.refused == [began]
        await node.play([STEP_S * number for number in range(1500)])
        nursery.cancel_scope.cancel()
    _, first_asked_at, _ = holders.asked[0]
    assert first_asked_at <= until + UNASKED_PAUSE_S + STEP_S


@with_virtual_clock
async def test_late_tokens_end_the_pause() -> None:
    """Guards against refusals after holders have tokens to spare again."""
    late_s = 0.2
    holders = Holders(
        frozenset((1, 2)),
        grant=lambda number, message: message.wanted * (number == 2),
        delays_s={2: late_s},
    )
    async with open_nursery() as nursery:
        node = StandIn(holders, nursery)
        await wait_all_tasks_blocked()
        began = current_time()
        await node.admit()
        holders.grant = give_all
        await sleep_until(began + NEAR_WAIT_S + late_s + STEP_S)
        # The first spends the late tokens, and the second requests others.
        await node.admit()
        await node.admit()
        ended = current_time()
        nursery.cancel_scope.cancel()
    assert len(node.refused) == 1
    assert len(node.admitted) == 2
    assert ended < node.refused[0] + FIRST_PAUSE_S


def test_grant_that_arrives_late_expires_before_newer_ones() -> None:
    """Guards against expired tokens that are spent behind newer ones."""
    share = RateShare(0)
    share.suspend(LIMIT)
    share.add_grant(0.5, 0.3)
    share.add_grant(0.5, 0)
    assert share.try_spend(GRANT_LIFETIME_S + 0.1) is None


@with_virtual_clock
async def test_no_more_tokens_are_taken_than_were_requested() -> None:
    """Guards against a node that grants far more than it was asked for."""
    holders = Holders(frozenset((1,)), grant=lambda *_: 1e300)
    membership = MembershipView(
        heartbeat=beat(0), random=Random(1), clock=current_time
    )
    near = replace_message(beat(1), data_centre=beat(0).data_centre)
    membership.merge([near])
    holders.is_active = False
    requester = make_requester(holders, membership=membership)
    share = RateShare(0)
    async with open_nursery() as nursery:
        nursery.start_soon(requester.run)
        await wait_all_tasks_blocked()
        assert await requester.request_tokens(NAME, 2, share) == 2
        nursery.cancel_scope.cancel()
    spent = [share.try_spend(0) is not None for _ in range(3)]
    assert spent == [True, True, False]


@with_virtual_clock
async def test_grant_that_arrives_after_its_expiry_ends_no_round() -> None:
    """Guards against rounds that end with tokens that nobody can spend."""
    late_s = GRANT_LIFETIME_S + 0.01
    holders = Holders(
        frozenset((0, 1)), grant=give_all, delays_s={0: late_s, 1: late_s}
    )
    requester = make_requester(holders)
    share = RateShare(current_time())
    share.suspend(LIMIT)
    async with open_nursery() as nursery:
        nursery.start_soon(requester.run)
        await wait_all_tasks_blocked()
        began = current_time()
        await requester.request_tokens(NAME, 2, share)
        await sleep_until(began + late_s - STEP_S)
        # The late grants arrive during this round.
        outcome = await requester.request_tokens(NAME, 2, share)
        nursery.cancel_scope.cancel()
    assert not outcome
    assert share.try_spend(current_time()) is None
    assert not share.grant_count(0)


async def count_needs(reachable: Iterable[int]) -> tuple[int, int]:
    """Return the needs with state while tokens are requested, and later."""
    holders = Holders(frozenset(reachable), grant=give_none)
    requester = make_requester(holders)
    share = RateShare(current_time())
    async with open_nursery() as nursery:
        nursery.start_soon(requester.run)
        await wait_all_tasks_blocked()
        for number in range(3):
            nursery.start_soon(
                requester.request_tokens, f'{NAME}-{number}', 1, share
            )
        await wait_all_tasks_blocked()
        during = requester.need_count
        await sleep(2 * PEER_TIMEOUT_S)
        nursery.cancel_scope.cancel()
    return during, requester.need_count


@pytest.mark.parametrize('reachable', [(), range(HOLDERS)])
def test_state_of_a_need_is_dropped(reachable: Iterable[int]) -> None:
    """Guards against state of organisations that ask for nothing any more."""
    assert run_virtual(partial(count_needs, reachable)) == (3, 0)


@with_virtual_clock
async def test_awaited_response_outlives_its_round() -> None:
    """Guards against a second request to a holder that has not responded."""
    holders = Holders(frozenset())
    requester = make_requester(holders)
    share = RateShare(current_time())
    async with open_nursery() as nursery:
        nursery.start_soon(requester.run)
        await wait_all_tasks_blocked()
        await requester.request_tokens(NAME, 1, share)
        await sleep(TOKEN_WAIT_S)
        await requester.request_tokens(NAME, 1, share)
        nursery.cancel_scope.cancel()
    assert sorted(holders.asked_numbers()) == list(range(HOLDERS))
