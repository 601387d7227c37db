"""Clients that write all the while, and what they were told."""

from dataclasses import dataclass
from itertools import count
from random import Random

from trio import (
    BrokenResourceError,
    ClosedResourceError,
    Nursery,
    current_time,
    move_on_after,
    sleep,
)

from tests.test_wire_failover import KEY
from trefoilhitch_lab.wire_client import WireClient, wire_client
from trefoilhitch_lab.wire_stack import WireStack

NO_ANSWER = 'NONE'
# Codes that promise that a write has not run.
NOT_RUN = frozenset(
    (
        'ABORTED',
        'AUTHFAIL',
        'BUSY',
        'CONNLIMIT',
        'LAGGING',
        'MALFORMED',
        'NODB',
        'NOSTMT',
        'READONLY',
        'WRONGNODE',
    )
)
PATIENT_S = 3.0
# A client that gives up early writes again soon, so that each short moment in
# which a primary commits is met.
IMPATIENT_S = 0.25
PAUSES_S = (0.05, 0.4)
# Factor of the pauses once all faults have ended.
CALM_FACTOR = 8
_CONNECTION_ERRORS = (BrokenResourceError, ClosedResourceError, OSError)


@dataclass(slots=True)
class SeenWrite:
    """A write, and what its client was told.

    Args:
        mark: name of the row.
        node: name of the node.
        sent_at: when it was sent.
        code: code of the last answer, empty if it was a success.
        may_run: whether the client asked for a commit.
        ended_at: when the client stopped waiting.

    """

    mark: str
    node: str
    sent_at: float
    code: str = NO_ANSWER
    may_run: bool = False
    ended_at: float = 0

    @property
    def is_acknowledged(self) -> bool:
        """Whether the client was told that the write is kept."""
        return self.may_run and not self.code

    @property
    def is_denied(self) -> bool:
        """Whether the client was told, or knows, that it has not run."""
        return not self.may_run or self.code in NOT_RUN


class Clients:
    """Clients of all nodes of a stack.

    Args:
        stack: the running stack.
        random: draws the pauses.

    """

    def __init__(self, stack: WireStack, random: Random) -> None:
        """Start without writes."""
        self.writes: list[SeenWrite] = []
        self.is_calm = False
        self._stack = stack
        self._random = random
        self._numbers = count()

    def start(self, nursery: Nursery) -> None:
        """Write through each node until the nursery is cancelled.

        Args:
            nursery: runs the clients.

        """
        for node in tuple(self._stack.nodes):
            nursery.start_soon(self._write_always, node, IMPATIENT_S, False)
            nursery.start_soon(self._write_always, node, PATIENT_S, False)
            nursery.start_soon(self._write_always, node, PATIENT_S, True)

    async def write(
        self, node: str, timeout_s: float, in_transaction: bool
    ) -> SeenWrite:
        """Write once in a new session.

        Args:
            node: name of the node.
            timeout_s: how long the client waits, in seconds.
            in_transaction: whether it opens a transaction.

        Returns:
            The write.

        """
        mark = f'{node}-{next(self._numbers)}'
        seen = SeenWrite(mark, node, current_time())
        self.writes.append(seen)
        with move_on_after(timeout_s):
            try:
                await self._write(seen, in_transaction)
            except _CONNECTION_ERRORS:
                # The node was killed meanwhile.
                seen.code = NO_ANSWER
        seen.ended_at = current_time()
        return seen

    async def _write_always(
        self, node: str, timeout_s: float, in_transaction: bool
    ) -> None:
        while True:
            if node in self._stack.nodes:
                await self.write(node, timeout_s, in_transaction)
            factor = CALM_FACTOR if self.is_calm else 1
            await sleep(factor * self._random.uniform(*PAUSES_S))

    async def _write(self, seen: SeenWrite, in_transaction: bool) -> None:
        async with wire_client(self._stack.nodes[seen.node].address) as client:
            started = await client.start('orders', KEY)
            if not started.startswith('READY'):
                return
            write = f'WRITE {seen.mark} {seen.mark}'
            if in_transaction:
                await _run_transaction(client, seen, write)
            else:
                seen.may_run = True
                await _run(client, seen, write)


async def _run_transaction(
    client: WireClient, seen: SeenWrite, write: str
) -> None:
    if await _run(client, seen, 'BEGIN') and await _run(client, seen, write):
        seen.may_run = True
        await _run(client, seen, 'COMMIT')


async def _run(client: WireClient, seen: SeenWrite, statement: str) -> bool:
    """Run a statement, and return whether it succeeded."""
    seen.code = NO_ANSWER
    verb = statement.partition(' ')[0]
    await client.send(f'QUERY {seen.mark}-{verb} {statement}')
    response = await client.receive_response()
    is_done = response.outcome.startswith('COMPLETE')
    seen.code = '' if is_done else response.code or NO_ANSWER
    return is_done
