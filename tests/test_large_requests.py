"""A request of the largest allowed size is answered alike by all nodes.

It guards against a limit of messages between nodes that is below what a request
becomes in them, so that only some nodes can serve it.
"""

from http import HTTPStatus

import pytest
from msgspec.json import encode
from trio import current_time

from tests.support import (
    SERVICE,
    create_table,
    order_fields,
    run_virtual,
    stored_count,
)
from trefoilhitch.http_client import HttpClient
from trefoilhitch.http_message import HttpLimits, HttpRequest
from trefoilhitch_lab.deployment import SMALL
from trefoilhitch_lab.stack import Stack, running_stack

PATH = f'/v1/services/{SERVICE}/statements'
LIMIT = HttpLimits().body_bytes
TIMEOUT_S = 10
MARK = 'o1'


def body_of_size(size: int) -> bytes:
    """Return a write whose body has a size."""
    shortest = encode(order_fields(MARK, args=[MARK, '']))
    return encode(order_fields(MARK, args=[MARK, 'x' * (size - len(shortest))]))


def body_of_numbers(size: int) -> bytes:
    """Return a statement with as many numbers as fit in a size."""
    head = b'{"sql":"SELECT 1","args":[1'
    count = (size - len(head) - 2) // len(b',1e15')
    return head + b',1e15' * count + b']}'


async def statuses(stack: Stack, body: bytes) -> set[int]:
    """Return the statuses of the responses of all nodes."""
    headers = {'authorization': f'Bearer {stack.keys["himal"].text}'}
    req = HttpRequest('POST', PATH, headers, body)
    return {
        (
            await HttpClient(node.address).request(
                req, current_time() + TIMEOUT_S
            )
        ).status
        for node in stack.nodes.values()
    }


@pytest.mark.parametrize('size', [LIMIT - 1000, LIMIT - 100, LIMIT])
def test_largest_write_is_refused_by_some_nodes(size: int) -> None:
    async def play() -> None:
        async with running_stack(SMALL) as stack:
            await create_table(stack)
            body = body_of_size(size)
            assert len(body) == size
            assert await statuses(stack, body) == {HTTPStatus.OK}
            assert stored_count(stack, MARK) == 1

    run_virtual(play)


def test_larger_write_is_accepted_by_some_nodes() -> None:
    async def play() -> None:
        async with running_stack(SMALL) as stack:
            await create_table(stack)
            refused = await statuses(stack, body_of_size(LIMIT + 1))
            assert refused == {HTTPStatus.REQUEST_ENTITY_TOO_LARGE}

    run_virtual(play)


def test_many_numbers_are_too_large_for_some_nodes() -> None:
    async def play() -> None:
        async with running_stack(SMALL) as stack:
            await create_table(stack)
            # The endpoint refuses arguments that the statement does not have.
            refused = await statuses(stack, body_of_numbers(LIMIT))
            assert refused == {HTTPStatus.UNPROCESSABLE_ENTITY}

    run_virtual(play)
