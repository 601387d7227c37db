"""Writes as clients saw them, compared with the log of the primary."""

from trio import move_on_after

from tests import test_wire_failover as failover
from trefoilhitch_lab.wire_group import WireGroup
from trefoilhitch_lab.wire_stack import WireStack


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
        code = 'NONE'
        with move_on_after(timeout_s):
            code = await failover.write(stack, mark, node)
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
