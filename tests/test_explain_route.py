"""Explained routes without a network: names, shares and tokens."""

from collections import Counter
from dataclasses import replace
from functools import partial
from random import Random

import pytest
from trio import current_time, sleep

from tests.fingerprint import fingerprint
from tests.support import run_virtual, with_virtual_clock
from tests.test_admission import Tokens
from tests.test_admission import admission as make_poor_admission
from tests.test_read_target_finder import SERVICE, make_cluster, make_run
from trefoilhitch.errors import (
    NotFoundError,
    NotReadyError,
    RefusalError,
    UnauthorisedError,
)
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.admission import Admission
from trefoilhitch.pooler.catalogue import (
    Catalogue,
    Freshness,
    Organisation,
    Route,
)
from trefoilhitch.pooler.circuit_breakers import (
    FAILURES_TO_OPEN,
    TRIAL_INTERVAL_S,
)
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.expected_target import expect_write
from trefoilhitch.pooler.explaining.explained_access import find_access
from trefoilhitch.pooler.rate_limit import RateRule
from trefoilhitch.pooler.rate_share import RateShare
from trefoilhitch.pooler.rate_shares import RateShares
from trefoilhitch.pooler.retrying.read_target_finder import ReadTargetFinder
from trefoilhitch.pooler.retrying.retry_policy import BudgetedBackoff
from trefoilhitch.pooler.statement_run import StatementRun

# Draws that are spread evenly, so that their outcomes have the parts' sizes.
DRAWS = 400


def make_route(database: str, *, public: bool = False) -> Route:
    """Return a route of a database."""
    return Route(
        database, SERVICE, Freshness.LATEST, 0, 1, 1, priority=1, public=public
    )


CATALOGUE = Catalogue(
    7,
    routes={
        'orders': make_route('orders'),
        'status': make_route('status', public=True),
    },
    organisations={
        name: Organisation(name, 10, 10) for name in ('himal', 'keyless')
    },
    keys={'key-1': 'himal', 'key-2': 'unrated'},
)
UNNAMEABLE = replace(
    CATALOGUE,
    organisations={'himal': Organisation('himal', 10, 10, is_nameable=False)},
)


@pytest.mark.parametrize(
    ('database', 'organisation', 'expected'),
    [
        ('orders', 'himal', 'himal'),
        ('orders', 'unrated', 'unrated'),
        ('status', 'himal', 'himal'),
        ('status', 'keyless', 'public'),
        ('status', '', 'public'),
        ('status', 'public', 'public'),
    ],
)
def test_access_is_that_of_a_statement(
    database: str, organisation: str, expected: str
) -> None:
    # Guards against an explanation for another organisation than a client's.
    access = find_access(CATALOGUE, database, organisation)
    assert access.route is CATALOGUE.routes[database]
    assert access.organisation == expected


@pytest.mark.parametrize(
    ('catalogue', 'database', 'organisation', 'error', 'text'),
    [
        (None, 'orders', 'himal', NotReadyError, 'no declaration'),
        (CATALOGUE, 'odrers', 'himal', NotFoundError, "database 'odrers'"),
        (CATALOGUE, 'odrers', '', NotFoundError, "database 'odrers'"),
        (CATALOGUE, 'orders', 'hmial', NotFoundError, "organisation 'hmial'"),
        (CATALOGUE, 'status', 'hmial', NotFoundError, "organisation 'hmial'"),
        (CATALOGUE, 'orders', 'keyless', UnauthorisedError, 'has no key'),
        (CATALOGUE, 'orders', '', UnauthorisedError, 'name an organisation'),
        (CATALOGUE, 'orders', 'public', UnauthorisedError, 'may not use'),
        (UNNAMEABLE, 'orders', 'himal', UnauthorisedError, 'cannot be told'),
    ],
)
def test_names_that_cannot_be_explained(
    catalogue: Catalogue | None,
    database: str,
    organisation: str,
    error: type[RefusalError],
    text: str,
) -> None:
    # Guards against an explanation of a request that would be refused.
    with pytest.raises(error, match=text):
        find_access(catalogue, database, organisation)


def impair(cluster: ClusterState, random: Random) -> None:
    """Let endpoints fail, lag, be slow or be unreachable at random."""
    now = current_time()
    for endpoint in ('a', 'b', 'c'):
        if random.random() < 0.3:
            cluster.selector.avoid(endpoint, now + 1)
        if random.random() < 0.3:
            cluster.selector.mark_lagging(endpoint, now + 1)
        if random.random() < 0.2:
            cluster.breakers.record_failure(endpoint, now)
            cluster.breakers.record_failure(endpoint, now)
        if random.random() < 0.5:
            wait_s = random.random() / 10
            cluster.loads.observe(SERVICE, endpoint, wait_s, 0.01, now)
        cluster.loads.attempts[endpoint] = random.randrange(4)


class SettableDraw:
    """Random source that returns what a test sets."""

    def __init__(self) -> None:
        """Start in the middle."""
        self.number = 0.5

    def __call__(self) -> float:
        """Return the number."""
        return self.number


def make_finder(cluster: ClusterState) -> ReadTargetFinder:
    """Return the finder of a node with the usual options."""
    return ReadTargetFinder(cluster, BudgetedBackoff(lambda: 0.5))


def drawn_parts(cluster: ClusterState, run: StatementRun) -> dict[str, float]:
    """Return which part of reads each endpoint gets by evenly spread draws."""
    draw = SettableDraw()
    cluster.balancer.random = draw
    chosen: Counter[str] = Counter()
    for number in range(DRAWS):
        draw.number = (number + 0.5) / DRAWS
        target = make_finder(cluster).choose(run)
        if target is not None:
            chosen[target.endpoint] += 1
    return {name: count / DRAWS for name, count in chosen.items()}


async def check_shares(seed: int, freshness: Freshness) -> None:
    """Compare an explanation with the choices of statements."""
    cluster = make_cluster()
    impair(cluster, Random(seed))
    run = make_run(freshness)
    expected = make_finder(cluster).expect(run)
    drawn = drawn_parts(cluster, run)
    shares = {name: part for name, part in expected.shares.items() if part}
    # An endpoint with a smaller part may be drawn by none of the numbers.
    assert shares == pytest.approx(
        {name: drawn.get(name, 0) for name in shares}, abs=2 / DRAWS
    )
    assert drawn.keys() <= shares.keys()
    assert expected.target is not None
    assert shares[expected.target.endpoint] == max(shares.values())


@pytest.mark.parametrize('freshness', Freshness)
@pytest.mark.parametrize('seed', range(30))
def test_shares_are_those_of_statements(
    seed: int, freshness: Freshness
) -> None:
    # Guards against an explanation that decides otherwise than statements.
    run_virtual(partial(check_shares, seed, freshness))


@with_virtual_clock
async def test_reads_go_to_the_nearest_without_the_option() -> None:
    # Guards against shares by load where reads are not divided by load.
    cluster = make_cluster()
    cluster.balancer.random = None
    expected = make_finder(cluster).expect(make_run())
    assert expected.shares == {'b': 1}


@with_virtual_clock
async def test_a_write_goes_to_the_primary_unless_none_is_known() -> None:
    # Guards against an explanation of a write by the rules of reads.
    cluster = make_cluster()
    expected = expect_write(cluster, SERVICE)
    assert expected.target is not None
    assert expected.shares == {'a': 1}
    cluster.record_not_primary(SERVICE, 'a', 'test')
    assert expect_write(cluster, SERVICE).target is None


@with_virtual_clock
async def test_an_explained_read_changes_nothing() -> None:
    # Guards against a draw, the trial of a circuit breaker that a statement
    # would need, and the start of the wait for an expected primary.
    cluster = make_cluster()
    cluster.record_not_primary(SERVICE, 'a', 'test')
    for _ in range(FAILURES_TO_OPEN):
        cluster.breakers.record_failure('b', current_time())
    await sleep(TRIAL_INTERVAL_S)
    draws: list[float] = []
    cluster.balancer.random = lambda: draws.append(0.5) or 0.5
    run = make_run()
    before = fingerprint(cluster)
    expected = make_finder(cluster).expect(run)
    expect_write(cluster, SERVICE)
    assert fingerprint(cluster) == before
    assert not draws
    assert expected.shares.keys() == {'a', 'b', 'c'}
    assert cluster.breakers.may_attempt('b', current_time())
    assert not cluster.breakers.may_attempt('b', current_time())


class SilentTokens:
    """Other nodes that are never to be asked."""

    async def request_tokens(
        self,
        organisation: str,
        wanted: float,
        share: RateShare,
        priority: int = 0,
    ) -> float:
        """Fail the test."""
        raise AssertionError('other nodes were asked for tokens')


def make_admission(now: float, *, burst: float) -> tuple[Admission, RateShares]:
    """Return the admission of a node that holds a whole rate."""
    rates = RateShares(RateRule(), now)
    catalogue = replace(
        CATALOGUE, organisations={'himal': Organisation('himal', 10, burst)}
    )
    rates.apply_catalogue(catalogue, now)
    rates.update_node_count(1, now)
    admission = Admission(
        rates=rates,
        tokens=SilentTokens(),
        clock=current_time,
        metrics=Metrics(),
    )
    return admission, rates


@with_virtual_clock
async def test_explained_tokens_are_not_spent() -> None:
    # Guards against an explanation that changes what the rate allows.
    admission, rates = make_admission(current_time(), burst=20)
    share = rates.share('himal')
    assert share is not None
    await sleep(1)
    assert await admission.admit('himal', 1)
    before = fingerprint((admission, rates))
    await sleep(0.1)
    for _ in range(100):
        expected = admission.expect_tokens('himal', share, 1)
    assert fingerprint((admission, rates)) == before
    assert expected.available.suffice
    assert not expected.asks_others
    # What was explained is what a statement finds.
    assert share.available(current_time(), 1) == expected.available


@with_virtual_clock
async def test_used_up_tokens_are_explained_until_the_pause() -> None:
    # Guards against an explanation that overlooks the pause after nodes had
    # no tokens to spare.
    tokens = Tokens()
    admission = make_poor_admission(tokens)
    share = RateShare(current_time())
    assert admission.expect_tokens('himal', share, 0).asks_others
    await admission.admit('himal')
    expected = admission.expect_tokens('himal', share, 0)
    assert not expected.available.suffice
    assert not expected.asks_others
