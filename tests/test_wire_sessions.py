"""Sessions over the wire protocol, from what clients and endpoints see."""

from tests.support import virtual
from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_stack import running_wire_stack

KEY = 'key-himal'


@virtual
async def test_a_write_is_read_back_on_every_route() -> None:
    async with running_wire_stack() as stack:
        node = stack.nodes['node-1']
        async with wire_client(node.address) as client:
            assert await client.start('visits', KEY) == 'READY I -'
            written = await client.query('WRITE a1 red')
            assert written.outcome.startswith('COMPLETE receipt-')
            assert (await client.query('READ a1')).rows == ('red',)
