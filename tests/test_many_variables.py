"""A session whose variables were acknowledged is served with them."""

from tests.support import with_virtual_clock
from trefoilhitch_lab.wire_client import WireClient, wire_client
from trefoilhitch_lab.wire_stack import running_wire_stack

# Short variables, which the limit of a session's text allows.
MOST_VARIABLES = 31000
TRIES = 3


async def _fill(client: WireClient) -> int:
    """Set variables until one is refused; return how many were set."""
    for number in range(MOST_VARIABLES):
        response = await client.query(f'SET v{number} x')
        if response.code:
            assert response.code == 'MALFORMED'
            return number
    return MOST_VARIABLES


@with_virtual_clock
async def test_session_of_many_values_is_told_of_a_busy_endpoint() -> None:
    async with running_wire_stack() as stack:
        async with wire_client(stack.nodes['node-0'].address) as client:
            await client.start('orders', 'key-himal')
            count = await _fill(client)
            for _ in range(TRIES):
                assert not (await client.query('READ i1')).code
        endpoints = stack.group.endpoints.values()
        assert sum(each.request_counts['SET'] for each in endpoints) <= count
        assert len(stack.group.executed[-1].variables) == count
