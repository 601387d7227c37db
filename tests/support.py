"""Test helpers: virtual clock, clients, requests and endpoint lookups."""

from collections.abc import Awaitable, Callable
from functools import wraps
from random import Random
from typing import Any, TypeVar

from trio import current_time, run
from trio.testing import MockClock

from trefoilhitch.decision_log import NullLog
from trefoilhitch.pooler.balancing.load_observer import LoadObserver
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.endpoint_selection import EndpointSelector
from trefoilhitch_lab.endpoint_server import EndpointServer
from trefoilhitch_lab.session_client import SessionClient
from trefoilhitch_lab.stack import Stack

ResultT = TypeVar('ResultT')
SERVICE = 'orders'
CREATE = 'CREATE TABLE orders (mark TEXT, session TEXT)'
INSERT = 'INSERT INTO orders VALUES (?, ?)'
COUNT = 'SELECT count(*) FROM orders WHERE mark = ?'


def run_virtual(play: Callable[[], Awaitable[ResultT]]) -> ResultT:
    """Run an asynchronous function on a virtual clock, without real delays."""
    return run(play, clock=MockClock(autojump_threshold=0))


def with_virtual_clock(
    test: Callable[[], Awaitable[None]],
) -> Callable[[], None]:
    """Run an asynchronous test on a virtual clock, without real delays."""

    @wraps(test)
    def wrapper() -> None:
        run_virtual(test)

    return wrapper


def session_client(
    stack: Stack, *nodes: str, organisation: str = 'himal'
) -> SessionClient:
    """Return a client of the named nodes, or of all ready nodes."""

    def chosen_addresses() -> list[str]:
        return [stack.nodes[name].address for name in nodes]

    key = stack.keys[organisation].text
    return SessionClient(
        key, chosen_addresses if nodes else stack.addresses, Random(0)
    )


def order_fields(mark: str, **fields: Any) -> dict[str, Any]:
    """Return the request fields that insert an order."""
    return {
        'sql': INSERT,
        'args': [mark, 'session'],
        'access': 'write',
        'idempotency_key': mark,
        **fields,
    }


def count_fields(mark: str, **fields: Any) -> dict[str, Any]:
    """Return the request fields that count an order."""
    return {'sql': COUNT, 'args': [mark], **fields}


async def create_table(stack: Stack) -> None:
    """Create the table of orders."""
    client = session_client(stack)
    await client.run_statement(SERVICE, {'sql': CREATE, 'access': 'write'})
    client.close()


def primary_of(stack: Stack) -> EndpointServer:
    """Return the current primary of the test service."""
    primary = stack.primary_of(SERVICE)
    assert primary is not None
    return primary


def replica_of(stack: Stack) -> EndpointServer:
    """Return the first replica of the test service."""
    group = stack.group(SERVICE)
    return next(server for server in group if server.role == 'replica')


def stored_count(stack: Stack, mark: str) -> int:
    """Return how often the primary stores an order."""
    return int(primary_of(stack).database.read(COUNT, [mark]).rows[0][0])


def make_cluster() -> ClusterState:
    """Return the state of a node that knows no endpoints."""
    return ClusterState(
        selector=EndpointSelector(data_centre='patan', regions={}),
        log=NullLog(),
        clock=current_time,
    )


def make_loads() -> LoadObserver:
    """Return an observer of the load of endpoints that are not known."""
    cluster = make_cluster()
    return LoadObserver(
        cluster.loads, cluster.selector, cluster.find, cluster.positions
    )
