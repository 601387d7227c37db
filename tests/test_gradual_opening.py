"""Connections are opened gradually to an endpoint that refuses some."""

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from socket import SO_LINGER, SOL_SOCKET
from struct import pack

import pytest
from trio import (
    CancelScope,
    Nursery,
    SocketStream,
    current_time,
    open_nursery,
    open_tcp_listeners,
    serve_listeners,
    sleep,
    sleep_until,
)

from tests.support import run_virtual, with_virtual_clock
from trefoilhitch.metrics import Metrics
from trefoilhitch.platform.endpoint_connection import WireConnector
from trefoilhitch.pooler.connection_pool import ConnectionPool
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.node import HOUSEKEEPING_INTERVAL_S
from trefoilhitch.pooler.opening.opening_ramp import (
    EARLIER_CONNECTIONS_S,
    FIRST_PAUSE_S,
    REFUSED_PAUSE_S,
    TRIAL_TIMEOUT_S,
    OpeningRamp,
)
from trefoilhitch.pooler.opening.openings import (
    GradualOpenings,
    Openings,
    UnlimitedOpenings,
    make_openings,
)
from trefoilhitch.pooler.options import load_options
from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.ports import (
    EndpointConnectionError,
    EndpointConnector,
    EndpointOverloadedError,
    EndpointRefusedError,
    EndpointResetError,
)
from trefoilhitch.pooler.response import Refusal, SessionState

ENDPOINT = 'i-1'
GATEWAYS = 18
LIMIT = 70
EARLIER = 62
SHARE = 3
HANDSHAKE_S = 0.03
WORK_S = 0.01
PLAY_S = 5.0
STATEMENT_S = 0.8
RETRY_PAUSE_S = 0.03
ORGANISATIONS = 'abcd'


@dataclass(eq=False)
class Connection:
    """A connection that counts at its endpoint until it is closed."""

    organisation: str
    on_close: Callable[['Connection'], None]
    endpoint: str = ENDPOINT
    state: SessionState = SessionState.IDLE

    def is_usable(self) -> bool:
        """Return that it is open."""
        return True

    def close(self) -> None:
        """Close it."""
        self.on_close(self)


@dataclass
class Endpoint(EndpointConnector):
    """Refuses connections beyond its limit, and may leave some unanswered."""

    limit: int = LIMIT
    # Connections of earlier processes, and until when they count.
    earlier: int = 0
    earlier_until: float = 0
    resets: bool = False
    # Number of coming connections that are never answered.
    unanswered: int = 0
    refusals: list[float] = field(default_factory=list)
    connections: set[Connection] = field(default_factory=set)
    most: int = 0

    async def connect(
        self,
        endpoint: str,
        organisation: str,
        *,
        connect_by: float,
        deadline: float,
    ) -> Connection:
        """Open a connection, or refuse it."""
        if self.unanswered:
            self.unanswered -= 1
            await sleep_until(deadline)
            raise EndpointConnectionError(ResponseLoss.NOT_SENT, 'lost')
        await sleep(HANDSHAKE_S)
        if len(self.connections) + self._count_earlier() >= self.limit:
            self.refusals.append(current_time())
            if self.resets:
                raise EndpointResetError(ResponseLoss.NOT_SENT, 'reset')
            raise EndpointRefusedError(Refusal.CONNECTION_LIMIT)
        conn = Connection(organisation, self.connections.discard)
        self.connections.add(conn)
        self.most = max(self.most, len(self.connections))
        return conn

    def _count_earlier(self) -> int:
        return self.earlier if current_time() < self.earlier_until else 0


def make_pool(endpoint: Endpoint, openings: Openings) -> ConnectionPool:
    """Return a pool with a fixed share."""
    return ConnectionPool(
        connector=endpoint,
        cap=lambda _: SHARE,
        metrics=Metrics(),
        openings=openings,
    )


def gradual(started_at: float | None = None) -> GradualOpenings:
    """Return the openings of a process that starts now or at another time."""
    at = current_time() if started_at is None else started_at
    return GradualOpenings(at)


async def use_repeatedly(
    pool: ConnectionPool, organisation: str, served: list[float]
) -> None:
    """Run statements one after the other, with a pause after a failure."""
    while True:
        try:
            conn = await pool.acquire(
                ENDPOINT, organisation, {}, current_time() + STATEMENT_S
            )
        except (EndpointRefusedError, EndpointConnectionError):
            await sleep(RETRY_PAUSE_S)
            continue
        await sleep(WORK_S)
        pool.release(ENDPOINT, conn)
        served.append(current_time())


@dataclass(frozen=True)
class Play:
    """What happened in a play."""

    endpoint: Endpoint
    served: list[float]

    def served_between(self, begin: float, end: float) -> int:
        """Return how many statements were served in a part of the play."""
        return sum(begin <= each < end for each in self.served)


def play_restart(
    make_openings: Callable[[], Openings], *, resets: bool = False
) -> Play:
    """Restart all gateways while their earlier connections still count."""
    served: list[float] = []
    endpoint = Endpoint(
        earlier=EARLIER, earlier_until=EARLIER_CONNECTIONS_S, resets=resets
    )

    async def play() -> None:
        # The virtual clock starts at 0.
        async with open_nursery() as nursery:
            for _ in range(GATEWAYS):
                pool = make_pool(endpoint, make_openings())
                for name in ORGANISATIONS:
                    nursery.start_soon(use_repeatedly, pool, name, served)
            await sleep(PLAY_S)
            nursery.cancel_scope.cancel()

    run_virtual(play)
    return Play(endpoint, served)


@pytest.mark.parametrize('resets', [False, True])
def test_restart_of_all_gateways_is_refused_few_connections(
    resets: bool,
) -> None:
    # Guards against processes that try again and again, all at once, while the
    # endpoint counts the connections of earlier ones.
    limited = play_restart(gradual, resets=resets)
    unlimited = play_restart(UnlimitedOpenings, resets=resets)
    refusals = len(limited.endpoint.refusals)
    # One each at the start, and some for places that others gave up.
    assert refusals <= 5 * GATEWAYS
    assert refusals < len(unlimited.endpoint.refusals) / 5


def test_gateways_use_the_free_connections_meanwhile() -> None:
    # Guards against a ramp that leaves free connections unused.
    limited = play_restart(gradual)
    unlimited = play_restart(UnlimitedOpenings)
    for half in range(2 * int(EARLIER_CONNECTIONS_S)):
        begin = half / 2
        served = limited.served_between(begin, begin + 0.5)
        assert served >= unlimited.served_between(begin, begin + 0.5)


def test_gateways_recover_when_earlier_connections_are_gone() -> None:
    # Guards against openings that stay limited, or are refused again.
    play = play_restart(gradual)
    first = play.served_between(
        EARLIER_CONNECTIONS_S, EARLIER_CONNECTIONS_S + 0.5
    )
    last = play.served_between(PLAY_S - 0.5, PLAY_S)
    assert first >= 0.9 * last
    assert max(play.endpoint.refusals) < EARLIER_CONNECTIONS_S + HANDSHAKE_S


async def arrive_steadily(
    nursery: Nursery, pool: ConnectionPool, served: list[float]
) -> None:
    """Start a request of another organisation every 20 ms."""
    for number in range(20):
        nursery.start_soon(use_once, pool, f'o{number}', served)
        await sleep(0.02)


async def use_once(
    pool: ConnectionPool, organisation: str, served: list[float]
) -> None:
    """Run a statement; do nothing if no connection can be had."""
    try:
        conn = await pool.acquire(
            ENDPOINT, organisation, {}, current_time() + 1
        )
    except EndpointConnectionError:
        return
    await sleep(WORK_S)
    pool.release(ENDPOINT, conn)
    served.append(current_time())


@with_virtual_clock
async def test_unanswered_trial_blocks_others_only_for_a_moment() -> None:
    # Guards against waiting for a packet that was lost.
    endpoint = Endpoint(unanswered=1)
    pool = make_pool(endpoint, gradual())
    served: list[float] = []
    start = current_time()
    async with open_nursery() as nursery:
        await arrive_steadily(nursery, pool, served)
    assert min(served) - start < TRIAL_TIMEOUT_S + 0.1
    assert len(served) == 19


@with_virtual_clock
async def test_waiters_open_connections_after_the_first_success() -> None:
    # Guards against waiters that are served by one connection in turn, though
    # the endpoint accepts more.
    pool = make_pool(Endpoint(), gradual())
    start = current_time()
    acquired: list[float] = []

    async def hold(organisation: str) -> None:
        await pool.acquire(ENDPOINT, organisation, {}, start + STATEMENT_S)
        acquired.append(current_time() - start)

    async with open_nursery() as nursery:
        for organisation in ORGANISATIONS[:SHARE]:
            nursery.start_soon(hold, organisation)
    assert acquired == pytest.approx(
        [HANDSHAKE_S, 2 * HANDSHAKE_S, 2 * HANDSHAKE_S]
    )


@with_virtual_clock
async def test_reset_while_opening_is_told_from_other_failures() -> None:
    # Guards against resets over the limit that are taken for a lost response.
    listeners = await open_tcp_listeners(0, host='127.0.0.1')
    host, port = listeners[0].socket.getsockname()
    record = EndpointRecord(
        endpoint=ENDPOINT,
        service='ledger',
        address=f'{host}:{port}',
        data_centre='patan',
        started_at_ms=1,
        leaving=False,
        role='primary',
        slots=4,
    )
    connector = WireConnector(lambda _: record)
    deadline = current_time() + STATEMENT_S
    async with open_nursery() as nursery:
        nursery.start_soon(serve_listeners, reset, listeners)
        with pytest.raises(EndpointResetError) as caught:
            await connector.connect(
                ENDPOINT, 'himal', connect_by=deadline, deadline=deadline
            )
        nursery.cancel_scope.cancel()
    assert caught.value.loss == ResponseLoss.NOT_SENT


async def reset(stream: SocketStream) -> None:
    """Reset a connection."""
    no_linger = pack('ii', 1, 0)
    stream.socket.setsockopt(SOL_SOCKET, SO_LINGER, no_linger)
    await stream.aclose()


@with_virtual_clock
async def test_waiters_open_connections_when_the_limit_rises_with_time() -> (
    None
):
    """Guards against waiters that nobody wakes when the first seconds end."""
    held_until = current_time() + EARLIER_CONNECTIONS_S
    endpoint = Endpoint(earlier=LIMIT - 1, earlier_until=held_until)
    pool = make_pool(endpoint, gradual(current_time()))
    deadline = held_until + 2
    await pool.acquire(ENDPOINT, 'a', {}, deadline)
    served_at: list[float] = []

    async def wait_for_connection() -> None:
        with suppress(EndpointRefusedError):
            await pool.acquire(ENDPOINT, 'b', {}, deadline)
        # An organisation without a connection has to wait for another one's.
        assert not pool.readiness(ENDPOINT)('c')
        await pool.acquire(ENDPOINT, 'c', {}, deadline)
        served_at.append(current_time())

    async with open_nursery() as nursery:
        nursery.start_soon(wait_for_connection)
        while current_time() < deadline:
            await sleep(HOUSEKEEPING_INTERVAL_S)
            pool.trim()
    assert served_at
    assert held_until <= served_at[0] < held_until + 2 * HOUSEKEEPING_INTERVAL_S


@with_virtual_clock
async def test_cancelled_trial_returns_its_place() -> None:
    # Guards against a place that is lost with a client that gives up.
    endpoint = Endpoint(unanswered=1)
    pool = make_pool(endpoint, gradual())
    scope = CancelScope()
    served: list[float] = []

    async def give_up() -> None:
        with scope:
            await use_once(pool, 'a', served)

    async with open_nursery() as nursery:
        nursery.start_soon(give_up)
        await sleep(HANDSHAKE_S)
        nursery.start_soon(use_once, pool, 'b', served)
        await sleep(HANDSHAKE_S)
        cancelled_at = current_time()
        scope.cancel()
    assert served == [pytest.approx(cancelled_at + HANDSHAKE_S + WORK_S)]


@with_virtual_clock
async def test_request_that_ends_within_the_pause_is_refused_at_once() -> None:
    # Guards against requests that wait in vain until their deadline.
    endpoint = Endpoint(limit=0)
    pool = make_pool(endpoint, gradual())
    for _ in range(5):
        with pytest.raises(EndpointRefusedError):
            await pool.acquire(ENDPOINT, 'a', {}, current_time() + 1)
    refused_at = current_time()
    for _ in range(2 * SHARE):
        with pytest.raises(EndpointOverloadedError):
            await pool.acquire(
                ENDPOINT, 'a', {}, current_time() + REFUSED_PAUSE_S / 2
            )
    assert current_time() == refused_at


@with_virtual_clock
async def test_openings_are_as_before_with_the_option_off() -> None:
    # Guards against a limit that applies to nodes that are to have none.
    endpoint = Endpoint()
    pool = make_pool(endpoint, UnlimitedOpenings())
    served: list[float] = []
    start = current_time()
    async with open_nursery() as nursery:
        for organisation in ORGANISATIONS[:SHARE]:
            nursery.start_soon(use_once, pool, organisation, served)
    served_after = [each - start for each in served]
    expected = HANDSHAKE_S + WORK_S
    assert served_after == pytest.approx([expected for _ in range(SHARE)])


NOW = 100.0


def old_process() -> OpeningRamp:
    """Return the ramp of a process that started long ago."""
    return OpeningRamp.from_start(NOW - EARLIER_CONNECTIONS_S, NOW)


def refuse(ramp: OpeningRamp, now: float, open_count: int = 1) -> None:
    """Let an opening be refused as soon as it may be begun."""
    opening = ramp.begin(now)
    ramp.record_refused(opening, open_count, now)
    ramp.end(opening)


def accept(ramp: OpeningRamp, now: float, open_count: int, share: int) -> None:
    """Let an opening succeed."""
    opening = ramp.begin(now)
    ramp.record_opened(opening, open_count, share, now)
    ramp.end(opening)


def test_old_process_is_not_limited() -> None:
    # Guards against a slow start towards endpoints that accept connections.
    assert old_process().limit(16, NOW) == 16


def test_young_process_begins_with_one() -> None:
    # Guards against a share of refusals for each node that restarts.
    assert OpeningRamp.from_start(NOW, NOW).limit(16, NOW) == 1


def test_pause_grows_with_each_refusal() -> None:
    # Guards against trials that occupy an endpoint without an end.
    ramp = old_process()
    now = NOW
    pauses = []
    for _ in range(5):
        refuse(ramp, now)
        pauses.append(ramp.resumes_at - now)
        assert ramp.limit(16, now) == 1
        now = ramp.resumes_at
    growing = [FIRST_PAUSE_S * 2**number for number in range(3)]
    assert pauses == pytest.approx([*growing, REFUSED_PAUSE_S, REFUSED_PAUSE_S])


def test_refusals_of_openings_begun_together_count_once() -> None:
    # Guards against the longest pause after the first round of openings.
    ramp = old_process()
    openings = [ramp.begin(NOW) for _ in range(8)]
    for number, opening in enumerate(openings):
        now = NOW + HANDSHAKE_S + number / 1000
        ramp.record_refused(opening, 8 - number, now)
        ramp.end(opening)
    assert ramp.resumes_at == pytest.approx(NOW + HANDSHAKE_S + FIRST_PAUSE_S)


def test_each_success_doubles_the_openings() -> None:
    # Guards against a ramp that never reaches the node's share again.
    ramp = old_process()
    refuse(ramp, NOW)
    limits = []
    for open_count in range(1, 4):
        accept(ramp, NOW + 1, open_count, 16)
        limits.append(ramp.limit(16, NOW + 1))
    assert limits == [1 + 2, 2 + 4, 3 + 8]
    accept(ramp, NOW + 1, 4, 16)
    assert not ramp.is_limited


def test_success_begun_before_a_refusal_ends_no_pause() -> None:
    # Guards against responses that cross: the refusal is the newer one.
    ramp = old_process()
    early = ramp.begin(NOW)
    refuse(ramp, NOW + 0.01, open_count=2)
    ramp.record_opened(early, 1, 16, NOW + 0.02)
    ramp.end(early)
    assert ramp.resumes_at > NOW + 0.02
    assert ramp.limit(16, NOW + 0.02) == 1 + 1


def test_young_process_leaves_the_rest_to_others() -> None:
    # Guards against trials of nodes that have a connection, while earlier
    # processes may hold the others.
    ramp = OpeningRamp.from_start(NOW, NOW)
    accept(ramp, NOW, 1, 16)
    refuse(ramp, NOW + 0.01, open_count=2)
    held_until = NOW + EARLIER_CONNECTIONS_S
    assert ramp.limit(16, held_until - 0.01) == 1
    assert ramp.limit(16, held_until) == 1 + 1


def test_silent_endpoint_is_not_limited() -> None:
    # Guards against nodes that start beside a crashed endpoint and learn only
    # one failure at a time that it is out of reach.
    ramp = OpeningRamp.from_start(NOW, NOW)
    ramp.record_unanswered()
    assert ramp.limit(16, NOW) == 16


def test_silence_after_a_refusal_ends_no_limit() -> None:
    # Guards against a full endpoint that loses a packet.
    ramp = OpeningRamp.from_start(NOW, NOW)
    refuse(ramp, NOW)
    ramp.record_unanswered()
    assert ramp.limit(16, NOW) == 1


def test_overdue_opening_lets_another_be_tried() -> None:
    # Guards against an endpoint that is blocked by one lost packet.
    ramp = OpeningRamp.from_start(NOW, NOW)
    opening = ramp.begin(NOW)
    assert ramp.limit(16, NOW + TRIAL_TIMEOUT_S - 0.01) == 1
    assert ramp.limit(16, NOW + TRIAL_TIMEOUT_S) == 2
    ramp.end(opening)
    assert ramp.limit(16, NOW + TRIAL_TIMEOUT_S) == 1


@pytest.mark.parametrize(
    ('text', 'expected'),
    [('yes', GradualOpenings), ('no', UnlimitedOpenings)],
)
def test_option_turns_gradual_opening_on_or_off(
    text: str, expected: type[Openings], tmp_path: Path
) -> None:
    # Guards against an option that has no effect.
    path = tmp_path / 'node.ini'
    path.write_text(f'[connections]\ngradual_opening = {text}\n')
    assert isinstance(make_openings(load_options(path), NOW), expected)
