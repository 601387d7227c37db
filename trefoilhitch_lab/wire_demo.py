"""Second part of the demo: wire-protocol sessions during a failover."""

from dataclasses import asdict, dataclass, field
from itertools import pairwise

from rich.table import Table
from trio import current_time, open_nursery, sleep

from trefoilhitch_lab.wire_client import WireClient, wire_client
from trefoilhitch_lab.wire_stack import WireStack, running_wire_stack

SESSIONS = 4
ROUNDS = 40
ROUND_PAUSE_S = 0.1
CRASH_AFTER_S = 1.5
_MS_PER_S = 1000


@dataclass(slots=True)
class WireVerdict:
    """Counts of what clients and endpoints observed.

    Args:
        acknowledged_writes: number of acknowledged writes.
        lost_writes: acknowledged writes that the final primary lacks.
        reads: number of successful reads.
        stale_reads: reads that missed an earlier write of their session.
        refused: refused statements, most of them while there was no primary.
        failovers: number of promotions.
        longest_gap_ms: longest time between two acknowledged writes.

    """

    acknowledged_writes: int = 0
    lost_writes: int = 0
    reads: int = 0
    stale_reads: int = 0
    refused: int = 0
    failovers: int = 0
    longest_gap_ms: int = 0

    def is_passed(self) -> bool:
        """Return whether no guarantee was violated and requests succeeded."""
        broken = self.lost_writes + self.stale_reads
        return not broken and bool(self.acknowledged_writes and self.reads)


async def run_wire_demo(seed: int) -> WireVerdict:
    """Run sessions on every node while the primary crashes.

    Args:
        seed: seed of all random choices.

    Returns:
        Counts of what clients and endpoints observed.

    """
    history = _ClientHistory()
    async with running_wire_stack(seed=seed) as stack:
        addresses = [each.address for each in stack.nodes.values()]
        async with open_nursery() as nursery:
            nursery.start_soon(_crash_primary, stack)
            for number in range(SESSIONS):
                address = addresses[number % len(addresses)]
                session = _Session(f's{number}', history)
                nursery.start_soon(session.run, address)
        return history.finish(stack)


def render_wire_verdict(verdict: WireVerdict) -> Table:
    """Render the counts as a table.

    Args:
        verdict: counts of a run.

    Returns:
        A table with one row for each count.

    """
    table = Table(
        title='wire protocol: 3 nodes, 3 endpoints, the primary crashes'
    )
    table.add_column('measure')
    table.add_column('count', justify='right')
    for name, count in asdict(verdict).items():
        table.add_row(name.replace('_', ' '), str(count))
    return table


@dataclass(slots=True)
class _ClientHistory:
    verdict: WireVerdict = field(default_factory=WireVerdict)
    last_writes: dict[str, str] = field(default_factory=dict)
    acknowledgement_times: list[float] = field(default_factory=list)

    def acknowledge(self, name: str, text: str) -> None:
        self.last_writes[name] = text
        self.verdict.acknowledged_writes += 1
        self.acknowledgement_times.append(current_time())

    def finish(self, stack: WireStack) -> WireVerdict:
        primary = stack.group.primary
        primary_rows = primary.applied_rows() if primary else {}
        lost = [
            name
            for name, text in self.last_writes.items()
            if _write_number(primary_rows.get(name, '')) < _write_number(text)
        ]
        self.verdict.lost_writes = len(lost)
        self.verdict.failovers = len(stack.promotions.completed)
        self.verdict.longest_gap_ms = _longest_gap_ms(
            self.acknowledgement_times
        )
        return self.verdict


class _Session:
    def __init__(self, name: str, history: _ClientHistory) -> None:
        self._name = name
        self._history = history

    async def run(self, address: str) -> None:
        async with wire_client(address) as client:
            await client.start('visits', 'key-himal')
            for number in range(ROUNDS):
                await self._write(client, f'v{number}')
                await self._read(client)
                await sleep(ROUND_PAUSE_S)

    async def _write(self, client: WireClient, text: str) -> None:
        response = await client.query(f'WRITE {self._name} {text}')
        if response.code:
            self._history.verdict.refused += 1
            return
        self._history.acknowledge(self._name, text)

    async def _read(self, client: WireClient) -> None:
        response = await client.query(f'READ {self._name}')
        if response.code:
            self._history.verdict.refused += 1
            return
        self._history.verdict.reads += 1
        newest = self._history.last_writes.get(self._name, '')
        # A row may be newer than the last acknowledged write: a write with an
        # unknown outcome may have taken effect.
        if _write_number(response.rows[0]) < _write_number(newest):
            self._history.verdict.stale_reads += 1


def _longest_gap_ms(times: list[float]) -> int:
    gaps = [after - before for before, after in pairwise(times)]
    return round(max(gaps, default=0) * _MS_PER_S)


def _write_number(text: str) -> int:
    return int(text[1:]) if text.startswith('v') else -1


async def _crash_primary(stack: WireStack) -> None:
    await sleep(CRASH_AFTER_S)
    primary = stack.group.primary
    if primary is not None:
        primary.crash()
        primary.is_primary = False
