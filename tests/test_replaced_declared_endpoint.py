"""Acknowledged writes outlive endpoints that the declaration replaces.

A primary goes on to count the members that it was promoted with, while a
promotion counts the endpoints that are declared now.
"""

import pytest
from trio import move_on_after, sleep

from tests.support import (
    SERVICE,
    create_table,
    order_fields,
    primary_of,
    session_client,
    with_virtual_clock,
)
from trefoilhitch.errors import RefusalError
from trefoilhitch_lab.deployment import SMALL
from trefoilhitch_lab.endpoint_server import EndpointServer
from trefoilhitch_lab.stack import Stack, running_stack

# Time in which all nodes learn of a declaration.
DECLARED_S = 3
# Time in which a promotion follows the loss of a primary.
FAILOVER_S = 8
ACKNOWLEDGED = 'acknowledged'


def replicas_of(stack: Stack) -> tuple[EndpointServer, EndpointServer]:
    """Return the two replicas of the service."""
    first, second = (
        server for server in stack.group(SERVICE) if server.role == 'replica'
    )
    return first, second


async def replace(stack: Stack, replaced: str, successor: str) -> None:
    """Replace an endpoint, and wait until all nodes know."""
    await stack.replace_endpoint(replaced, successor)
    await sleep(DECLARED_S)
    for running in stack.nodes.values():
        config = running.ctx.config.current
        declared = config.groups[SERVICE]
        assert successor in {each.name for each in declared}


async def write(stack: Stack, mark: str) -> None:
    """Write an order, which has to be acknowledged."""
    await session_client(stack).run_statement(SERVICE, order_fields(mark))


async def write_while_led_by(stack: Stack, old: EndpointServer) -> list[str]:
    """Write orders while an endpoint leads; return those acknowledged."""
    marks: list[str] = []
    with move_on_after(FAILOVER_S):
        while old.role == 'primary':
            mark = f'o{len(marks)}'
            try:
                await write(stack, mark)
            except RefusalError:
                await sleep(0.1)
            else:
                marks.append(mark)
    return marks


def lost(stack: Stack, *marks: str) -> list[str]:
    """Return the acknowledged orders that the primary lacks."""
    held = {entry.request for entry in primary_of(stack).database.log}
    return [mark for mark in marks if f'{SERVICE}:{mark}' not in held]


async def cut_off_replica(stack: Stack, *, is_replaced: bool) -> EndpointServer:
    """Leave the primary one replica, which is declared or replaced.

    Returns:
        The primary.

    """
    await create_table(stack)
    primary = primary_of(stack)
    lagging, holder = replicas_of(stack)
    if is_replaced:
        await replace(stack, holder.name, 'orders-new')
    stack.network.cut([primary.name], [lagging.name])
    return primary


@pytest.mark.parametrize('is_replaced', [False, True])
def test_write_outlives_its_primary_after_an_endpoint_was_replaced(
    is_replaced: bool,
) -> None:
    """Guards against a replaced endpoint that alone holds a write."""

    @with_virtual_clock
    async def play() -> None:
        async with running_stack(SMALL) as stack:
            old = await cut_off_replica(stack, is_replaced=is_replaced)
            await write(stack, ACKNOWLEDGED)
            everyone = {*stack.endpoints, *stack.nodes, 'store'}
            stack.network.cut([old.name], everyone - {old.name})
            await sleep(FAILOVER_S)
            assert primary_of(stack) is not old
            assert not lost(stack, ACKNOWLEDGED)

    play()


@pytest.mark.parametrize('is_replaced', [False, True])
def test_writes_outlive_a_slow_replica_after_an_endpoint_was_replaced(
    is_replaced: bool,
) -> None:
    """Guards against a promotion while a primary acknowledges writes."""

    @with_virtual_clock
    async def play() -> None:
        async with running_stack(SMALL) as stack:
            old = await cut_off_replica(stack, is_replaced=is_replaced)
            marks = await write_while_led_by(stack, old)
            assert marks
            await sleep(FAILOVER_S)
            assert not lost(stack, *marks)

    play()


@with_virtual_clock
async def test_writes_outlive_replacements_of_all_replicas_in_turn() -> None:
    """Guards against an empty endpoint that is promoted without any fault."""
    async with running_stack(SMALL) as stack:
        await create_table(stack)
        await write(stack, ACKNOWLEDGED)
        first, second = replicas_of(stack)
        await replace(stack, first.name, 'orders-new-1')
        assert not lost(stack, ACKNOWLEDGED)
        await replace(stack, second.name, 'orders-new-2')
        await sleep(FAILOVER_S)
        assert not lost(stack, ACKNOWLEDGED)
