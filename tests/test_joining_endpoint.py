"""An endpoint joins its group while the group's primary is replaced."""

from functools import partial

import pytest
from trio import (
    BrokenResourceError,
    ClosedResourceError,
    Nursery,
    move_on_after,
    open_nursery,
    open_tcp_stream,
    sleep,
)

from tests import test_wire_failover as failover
from tests.support import run_virtual
from tests.test_wire_failover import (
    RECORDED_S,
    SERVICE,
    lease_holder,
    primary_of,
)
from trefoilhitch_lab.wire_client import WireClient
from trefoilhitch_lab.wire_endpoint import WireEndpoint
from trefoilhitch_lab.wire_stack import WireStack, running_wire_stack

JOINING = 'ledger-9'
POLL_S = 0.01
# A write that no replica receives gets no answer.
WRITE_TIMEOUT_S = 0.2
DONE_S = 3


async def write_at_primary(old: WireEndpoint) -> None:
    """Write at an endpoint as a node does that still reaches it."""
    number = 0
    while True:
        number += 1
        with move_on_after(WRITE_TIMEOUT_S):
            await write_once(old, f'direct-{number}')
        await sleep(POLL_S)


async def write_once(old: WireEndpoint, mark: str) -> None:
    """Write in a connection of its own."""
    host, _, port = old.address.rpartition(':')
    try:
        async with await open_tcp_stream(host, int(port)) as stream:
            client = WireClient(stream)
            await client.send(f'START {SERVICE} himal {old.endpoint}')
            await client.reader.receive_line()
            await client.query(f'WRITE {mark} {mark}')
    except (BrokenResourceError, ClosedResourceError, OSError):
        return


async def join(stack: WireStack, nursery: Nursery) -> None:
    """Start a further endpoint, which receives the log of the primary."""
    joining = WireEndpoint(stack.group, JOINING, 'patan')
    await joining.start(nursery)
    stack.group.endpoints[JOINING] = joining
    stack.group.catch_up(joining)
    entry = stack.endpoint_entry(JOINING)
    stack.store_state.put('servers', JOINING, entry)


async def play(delay_s: float) -> None:
    """Cut the primary off from the nodes, then let an endpoint join."""
    async with running_wire_stack() as stack, open_nursery() as nursery:
        await sleep(RECORDED_S)
        await failover.write(stack, 'before')
        old = primary_of(stack)
        for running in stack.nodes.values():
            running.cut_endpoints.add(old.endpoint)
        nursery.start_soon(write_at_primary, old)
        while not lease_holder(stack):
            await sleep(POLL_S)
        await sleep(delay_s)
        await join(stack, nursery)
        while not stack.promotions.completed:
            await sleep(POLL_S)
        await sleep(DONE_S)
        assert stack.group.lost_entries == []
        assert await failover.write(stack, 'after') == ''
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('delay_s', [0, 0.2, 0.45, 0.6, 0.75])
def test_endpoint_that_joins_during_a_failover_acknowledges_commits(
    delay_s: float,
) -> None:
    """Guards against lost orders: those that only a newcomer received."""
    run_virtual(partial(play, delay_s))
