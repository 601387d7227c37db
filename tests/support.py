"""Helpers of the tests: a virtual clock, stacks and callers."""

from collections.abc import Awaitable, Callable
from functools import wraps
from random import Random
from typing import Any

from trio import run
from trio.testing import MockClock

from trefoilhitch_lab.endpoint_server import EndpointServer
from trefoilhitch_lab.session_client import SessionClient
from trefoilhitch_lab.stack import Stack

SERVICE = 'orders'
CREATE = 'CREATE TABLE orders (mark TEXT, session TEXT)'
INSERT = 'INSERT INTO orders VALUES (?, ?)'
COUNT = 'SELECT count(*) FROM orders WHERE mark = ?'


def with_virtual_clock(
    test: Callable[[], Awaitable[None]],
) -> Callable[[], None]:
    """Run an asynchronous test on a virtual clock, which waits for nothing."""

    @wraps(test)
    def wrapper() -> None:
        run(test, clock=MockClock(autojump_threshold=0))

    return wrapper


def session_client(
    stack: Stack, *nodes: str, organisation: str = 'himal'
) -> SessionClient:
    """Return a caller that goes to some nodes, or to all that are ready."""

    def chosen_addresses() -> list[str]:
        return [stack.nodes[name].address for name in nodes]

    key = stack.keys[organisation].text
    return SessionClient(
        key, chosen_addresses if nodes else stack.addresses, Random(0)
    )


def order_fields(mark: str, **fields: Any) -> dict[str, Any]:
    """Return the fields of an order."""
    return {
        'sql': INSERT,
        'args': [mark, 'session'],
        'access': 'write',
        'idempotency_key': mark,
        **fields,
    }


def count_fields(mark: str, **fields: Any) -> dict[str, Any]:
    """Return the fields of a read that counts an order."""
    return {'sql': COUNT, 'args': [mark], **fields}


async def create_table(stack: Stack) -> None:
    """Create the orders' table."""
    client = session_client(stack)
    await client.run_statement(SERVICE, {'sql': CREATE, 'access': 'write'})
    client.close()


def primary_of(stack: Stack) -> EndpointServer:
    """Return the current primary."""
    primary = stack.primary_of(SERVICE)
    assert primary is not None
    return primary


def replica_of(stack: Stack) -> EndpointServer:
    """Return the first replica."""
    group = stack.group(SERVICE)
    return next(server for server in group if server.role == 'replica')


def stored_count(stack: Stack, mark: str) -> int:
    """Return how often the current primary's tables hold an order."""
    return int(primary_of(stack).database.read(COUNT, [mark]).rows[0][0])
