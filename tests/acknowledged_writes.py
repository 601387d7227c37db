"""Writes as clients saw them, compared with the log of the primary."""

from trio import move_on_after

from tests import test_wire_failover as failover
from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_group import WireGroup
from trefoilhitch_lab.wire_stack import WireStack

NO_ANSWER = 'NONE'


class AcknowledgedWrites:
    """Writes through nodes, and remembers which of them were acknowledged.

    An endpoint may acknowledge a commit to a node that does not pass the
    acknowledgement on. Only those that a client has seen have to survive.
    """

    def __init__(self) -> None:
        """Start without writes."""
        self.marks: list[str] = []

    async def write(
        self, stack: WireStack, mark: str, node: str, *, timeout_s: float = 3
    ) -> str:
        """Write once in a new session.

        Args:
            stack: the running stack.
            mark: name and text of the row.
            node: name of the node.
            timeout_s: how long the client waits, in seconds.

        Returns:
            Code of the answer, empty if the write was acknowledged, 'NONE'
            without an answer.

        """
        code = NO_ANSWER
        with move_on_after(timeout_s):
            code = await _write_once(stack, mark, node)
        if not code:
            self.marks.append(mark)
        return code

    def missing(self, group: WireGroup) -> list[str]:
        """Return the acknowledged writes that the primary's log lacks.

        Args:
            group: the database group.

        """
        assert group.primary is not None
        held = {mark for entry in group.primary.log for mark in entry.writes}
        return [mark for mark in self.marks if mark not in held]


async def _write_once(stack: WireStack, mark: str, node: str) -> str:
    async with wire_client(stack.nodes[node].address) as client:
        started = await client.start('orders', failover.KEY)
        if not started:
            return NO_ANSWER
        if not started.startswith('READY'):
            return started.split()[1]
        response = await client.query(f'WRITE {mark} {mark}')
    if response.outcome.startswith('COMPLETE'):
        return ''
    # A connection that closes, as that of a killed node, acknowledges nothing.
    return response.code or NO_ANSWER
