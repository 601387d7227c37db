"""Statements of any allowed size run through gateways as they do locally.

They guard against a limit of messages between nodes that is below what clients
may send, so that whether a statement can run depends on the node.
"""

from collections.abc import Sequence

import pytest

from tests.support import run_virtual, with_virtual_clock
from tests.test_gateways import gateway_stack
from trefoilhitch_lab.wire_client import wire_client

NODES = ('node-0', 'node-1', 'node-2')
# The largest is below 1 MiB with the words before it.
SIZES = (1000, 262144, 700000, 1048000)
# JSON writes the first as it is, the second as two bytes, the third as six.
CHARACTERS = ('x', '\xe9', '\x01')
# Together more than a message between nodes may hold, as JSON writes each of
# their characters as six bytes, and less than a session may hold.
MANY_VARIABLES = 7
LARGE_VALUE = '\x01' * 1048000


async def final_code(address: str, queries: Sequence[str]) -> str:
    """Return the code of the last query's response in a new session."""
    async with wire_client(address) as client:
        await client.start('orders', 'key-org-1')
        for query in queries:
            response = await client.query(query)
        return response.code


def final_codes(
    queries: Sequence[str], *, nodes: Sequence[str] = NODES
) -> dict[str, str]:
    """Return the code of the last query's response at each node."""

    async def play() -> dict[str, str]:
        async with gateway_stack() as stack:
            return {
                node: await final_code(stack.nodes[node].address, queries)
                for node in nodes
            }

    return run_virtual(play)


@pytest.mark.parametrize('character', CHARACTERS)
@pytest.mark.parametrize('size', SIZES)
def test_large_write_fails_at_some_nodes(size: int, character: str) -> None:
    codes = final_codes([f'WRITE a {character * size}'])
    assert codes == dict.fromkeys(NODES, '')


@pytest.mark.parametrize('size', SIZES)
def test_large_read_fails_at_some_nodes(size: int) -> None:
    codes = final_codes([f'READ {"y" * size}'])
    assert codes == dict.fromkeys(NODES, '')


@pytest.mark.parametrize('size', SIZES)
def test_large_argument_of_a_prepared_statement_fails_at_some_nodes(
    size: int,
) -> None:
    codes = final_codes(['PREPARE p WRITE shape', f'EXECUTE p a {"z" * size}'])
    assert codes == dict.fromkeys(NODES, '')


@pytest.mark.parametrize('size', SIZES)
def test_large_statement_of_a_transaction_fails_at_some_nodes(
    size: int,
) -> None:
    codes = final_codes(['BEGIN', f'WRITE a {"x" * size}', 'COMMIT'])
    assert codes == dict.fromkeys(NODES, '')


@pytest.mark.parametrize('size', SIZES)
def test_session_of_large_variables_fails_at_some_nodes(
    size: int,
) -> None:
    variables = [f'SET v{number} {"x" * size}' for number in range(4)]
    codes = final_codes([*variables, 'READ a'])
    assert codes == dict.fromkeys(NODES, '')


@pytest.mark.parametrize('statement', ['WRITE a b', 'READ a', 'BEGIN'])
def test_session_too_large_for_a_gateway_is_told_of_a_busy_endpoint(
    statement: str,
) -> None:
    variables = [
        f'SET v{number} {LARGE_VALUE}' for number in range(MANY_VARIABLES)
    ]
    codes = final_codes([*variables, statement], nodes=NODES[1:])
    assert set(codes.values()) == {'MALFORMED'}


@with_virtual_clock
async def test_transaction_too_large_for_a_gateway_stays_open() -> None:
    # The gateway rolls it back, as the variables cannot be set there.
    async with gateway_stack() as stack:
        address = stack.nodes['node-1'].address
        async with wire_client(address) as client:
            await client.start('orders', 'key-org-1')
            await client.query('BEGIN')
            await client.query('WRITE a b')
            for number in range(MANY_VARIABLES):
                await client.query(f'SET v{number} {LARGE_VALUE}')
            refused = await client.query('WRITE a c')
            assert refused.code == 'ABORTED'
            assert refused.state == 'E'
            await client.query('ROLLBACK')
        primary = stack.group.primary
        assert primary is not None
        assert 'a' not in primary.applied_rows()
