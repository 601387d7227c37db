"""Pool of endpoint connections, on the virtual clock."""

from collections import Counter
from dataclasses import dataclass, field

import pytest
from trio import current_time, open_nursery, sleep, sleep_until

from tests.support import with_virtual_clock
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.connection_pool import (
    CONNECT_TIMEOUT_S,
    SAME_ORGANISATION_WAIT_S,
    ConnectionPool,
)
from trefoilhitch.pooler.connection_share import (
    ConnectionHolders,
    connection_share,
)
from trefoilhitch.pooler.endpoint_connection_pool import (
    MAX_PASSED_OVER_S,
    MIN_USES_BEFORE_REASSIGNMENT,
)
from trefoilhitch.pooler.opening.opening_ramp import REFUSED_PAUSE_S
from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.ports import (
    EndpointConnection,
    EndpointConnectionError,
    EndpointConnector,
    EndpointRefusedError,
)
from trefoilhitch.pooler.response import Refusal, SessionState

ENDPOINT = 'i-1'
HANDSHAKE_S = 0.03
WORK_S = 0.02
ORGANISATIONS = tuple('abcdefgh')


@dataclass(eq=False)
class Connection:
    """A connection that always works."""

    organisation: str
    endpoint: str = ENDPOINT
    state: SessionState = SessionState.IDLE
    closed: bool = False

    def is_usable(self) -> bool:
        """Return whether it is open."""
        return not self.closed

    def close(self) -> None:
        """Close it."""
        self.closed = True


@dataclass
class Connector(EndpointConnector):
    """Opens connections after a delay and records them."""

    handshake_s: float = HANDSHAKE_S
    connections: list[Connection] = field(default_factory=list)

    async def connect(
        self,
        endpoint: str,
        organisation: str,
        *,
        connect_by: float,
        deadline: float,
    ) -> Connection:
        """Open a connection."""
        if current_time() + self.handshake_s > deadline:
            await sleep_until(deadline)
            raise EndpointConnectionError(ResponseLoss.NOT_SENT, 'too late')
        await sleep(self.handshake_s)
        self.connections.append(Connection(organisation))
        return self.connections[-1]


def make_pool(connector: Connector, cap: int) -> ConnectionPool:
    """Return a pool with a fixed connection limit."""
    return ConnectionPool(
        connector=connector, cap=lambda _: cap, metrics=Metrics()
    )


async def use(
    pool: ConnectionPool,
    organisation: str,
    *,
    work_s: float = WORK_S,
    within_s: float = 5,
) -> float:
    """Use a connection once; return how long it took to acquire it."""
    started_at = current_time()
    conn = await pool.acquire(
        ENDPOINT, organisation, {}, current_time() + within_s
    )
    waited_s = current_time() - started_at
    try:
        await sleep(work_s)
    finally:
        pool.release(ENDPOINT, conn)
    return waited_s


async def _use_often(
    pool: ConnectionPool, organisation: str, times: int
) -> None:
    for _ in range(times):
        await use(pool, organisation)


@with_virtual_clock
async def test_requests_of_many_organisations_reuse_connections() -> None:
    """Eight organisations with two requests each share four connections."""
    connector = Connector()
    pool = make_pool(connector, 4)
    async with open_nursery() as nursery:
        for organisation in ORGANISATIONS * 2:
            nursery.start_soon(_use_often, pool, organisation, 50)
    assert len(connector.connections) < 800 / 2


@with_virtual_clock
async def test_no_organisation_waits_long_for_others() -> None:
    connector = Connector()
    pool = make_pool(connector, 1)
    async with open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(_use_often, pool, 'a', 100)
        await sleep(1)
        waited_s = await use(pool, 'b')
        nursery.cancel_scope.cancel()
    paid_off_s = MIN_USES_BEFORE_REASSIGNMENT * WORK_S
    assert (
        waited_s
        <= max(MAX_PASSED_OVER_S, paid_off_s) + 2 * WORK_S + HANDSHAKE_S
    )


@with_virtual_clock
async def test_second_request_waits_for_own_connection_first() -> None:
    connector = Connector()
    pool = make_pool(connector, 2)
    await use(pool, 'b')
    async with open_nursery() as nursery:
        for _ in range(2):
            nursery.start_soon(use, pool, 'a')
    assert Counter(conn.organisation for conn in connector.connections) == {
        'a': 1,
        'b': 1,
    }


@with_virtual_clock
async def test_wait_for_own_connection_in_use_is_limited() -> None:
    connector = Connector()
    pool = make_pool(connector, 2)
    await use(pool, 'b')
    conn = await pool.acquire(ENDPOINT, 'a', {}, current_time() + 1)
    assert await use(pool, 'a') == pytest.approx(
        SAME_ORGANISATION_WAIT_S + HANDSHAKE_S
    )
    pool.release(ENDPOINT, conn)


@with_virtual_clock
async def test_endpoint_that_accepted_has_more_time_to_answer() -> None:
    connector = Connector(handshake_s=2 * CONNECT_TIMEOUT_S)
    waited_s = await use(make_pool(connector, 1), 'a')
    assert waited_s == pytest.approx(2 * CONNECT_TIMEOUT_S)


@with_virtual_clock
async def test_request_without_connection_in_time_fails() -> None:
    pool = make_pool(Connector(), 1)
    conn = await pool.acquire(ENDPOINT, 'a', {}, current_time() + 1)
    with pytest.raises(EndpointConnectionError) as caught:
        await use(pool, 'b', within_s=0.2)
    assert caught.value.loss == ResponseLoss.NOT_SENT
    pool.release(ENDPOINT, conn)
    assert await use(pool, 'b') == pytest.approx(HANDSHAKE_S)


@with_virtual_clock
async def test_cancelled_request_passes_its_connection_on() -> None:
    pool = make_pool(Connector(), 1)
    conn = await pool.acquire(ENDPOINT, 'a', {}, current_time() + 1)
    async with open_nursery() as nursery:
        nursery.start_soon(use, pool, 'a')
        nursery.start_soon(use, pool, 'b')
        await sleep(0.01)
        pool.release(ENDPOINT, conn)
        nursery.cancel_scope.cancel()
    for organisation in 'abc':
        assert (
            await use(pool, organisation)
            <= HANDSHAKE_S + SAME_ORGANISATION_WAIT_S
        )


@with_virtual_clock
async def test_smaller_limit_closes_connections() -> None:
    caps = [4]
    connector = Connector()
    pool = ConnectionPool(
        connector=connector, cap=lambda _: caps[0], metrics=Metrics()
    )
    held = [
        await pool.acquire(ENDPOINT, name, {}, current_time() + 1)
        for name in ORGANISATIONS[:4]
    ]
    pool.release(ENDPOINT, held[0])
    caps[0] = 2
    pool.trim()
    assert [conn.closed for conn in connector.connections] == [
        True,
        False,
        False,
        False,
    ]
    for conn in held[1:]:
        pool.release(ENDPOINT, conn)
    assert sum(not conn.closed for conn in connector.connections) == 2


@pytest.mark.parametrize(
    ('total', 'near', 'far'), [(39, 3, 5), (29, 2, 5), (29, 3, 4), (39, 0, 8)]
)
@pytest.mark.parametrize('is_primary', [True, False])
def test_shares_stay_within_connections_of_an_endpoint(
    total: int, near: int, far: int, *, is_primary: bool
) -> None:
    near_part, far_part = (
        connection_share(
            total, ConnectionHolders(near, far, is_near), is_primary=is_primary
        )
        for is_near in (True, False)
    )
    assert near * near_part + far * far_part <= total


def test_near_nodes_hold_most_connections_to_a_replica() -> None:
    near = connection_share(
        39, ConnectionHolders(3, 5, own_is_local=True), is_primary=False
    )
    far = connection_share(
        39, ConnectionHolders(3, 5, own_is_local=False), is_primary=False
    )
    assert (near, far) == (9, 2)
    assert (
        connection_share(
            39, ConnectionHolders(3, 5, own_is_local=True), is_primary=True
        )
        == 4
    )


@dataclass
class RefusingConnector(Connector):
    """Refuses each connection, like an endpoint at its limit."""

    attempts: list[float] = field(default_factory=list)

    async def connect(
        self,
        endpoint: str,
        organisation: str,
        *,
        connect_by: float,
        deadline: float,
    ) -> EndpointConnection:
        """Refuse."""
        self.attempts.append(current_time())
        raise EndpointRefusedError(Refusal.CONNECTION_LIMIT)


async def keep_trying(pool: ConnectionPool, organisation: str) -> None:
    """Request a connection again as soon as one was refused."""
    while current_time() < 2:
        with pytest.raises(EndpointRefusedError):
            await pool.acquire(ENDPOINT, organisation, {}, current_time() + 1)


@with_virtual_clock
async def test_refused_connection_pauses_further_ones() -> None:
    connector = RefusingConnector()
    pool = ConnectionPool(
        connector=connector, cap=lambda _: 4, metrics=Metrics()
    )
    async with open_nursery() as nursery:
        for organisation in ORGANISATIONS[:2]:
            nursery.start_soon(keep_trying, pool, organisation)
    assert len(connector.attempts) <= 2 * (1 + 2 / REFUSED_PAUSE_S) + 2


@with_virtual_clock
async def test_request_that_cannot_be_served_in_time_is_refused_at_once() -> (
    None
):
    """Replay clients that return all at once, ten times what fits."""
    pool = ConnectionPool(
        connector=Connector(), cap=lambda _: 2, metrics=Metrics()
    )
    served: list[float] = []
    refused_after: list[float] = []

    async def request(organisation: str) -> None:
        started_at = current_time()
        try:
            conn = await pool.acquire(
                ENDPOINT, organisation, {}, started_at + 1
            )
        except EndpointConnectionError:
            refused_after.append(current_time() - started_at)
            return
        await sleep(WORK_S)
        pool.release(ENDPOINT, conn)
        served.append(current_time())

    async with open_nursery() as nursery:
        for _ in range(20):
            await request('a')
        for _ in range(1000):
            nursery.start_soon(request, 'a')
    fitting = 2 / WORK_S
    assert len(served) >= 0.9 * fitting
    at_once = [after for after in refused_after if after < 0.1]
    assert len(at_once) >= 0.9 * len(refused_after)


@with_virtual_clock
async def test_organisation_with_few_requests_waits_behind_no_crowd() -> None:
    pool = ConnectionPool(
        connector=Connector(), cap=lambda _: 2, metrics=Metrics()
    )
    waited: list[float] = []

    async def request(organisation: str) -> None:
        started_at = current_time()
        try:
            conn = await pool.acquire(
                ENDPOINT, organisation, {}, started_at + 1
            )
        except EndpointConnectionError:
            return
        if organisation == 'b':
            waited.append(current_time() - started_at)
        await sleep(WORK_S)
        pool.release(ENDPOINT, conn)

    async with open_nursery() as nursery:
        for _ in range(300):
            nursery.start_soon(request, 'a')
        await sleep(0.2)
        nursery.start_soon(request, 'b')
    assert len(waited) == 1
    assert waited[0] < 0.4


@with_virtual_clock
async def test_idle_connection_keeps_the_text_of_large_variables() -> None:
    connector = Connector()
    pool = make_pool(connector, 4)
    for text, is_closed in (('x' * 1000, False), ('x' * 1048000, True)):
        conn = await pool.acquire(ENDPOINT, 'a', {}, current_time() + 5)
        conn.variables = {'v': text}
        pool.release(ENDPOINT, conn)
        assert conn.conn.is_usable() != is_closed
    assert len(connector.connections) == 1
