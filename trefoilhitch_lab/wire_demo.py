"""The demo's second half: sessions on the wire protocol, through a failover."""

from dataclasses import asdict, dataclass, field
from itertools import pairwise

from rich.table import Table
from trio import current_time, open_nursery, sleep

from trefoilhitch_lab.wire_client import WireClient, wire_client
from trefoilhitch_lab.wire_stack import WireStack, running_wire_stack

SESSIONS = 4
ROUNDS = 40
PAUSE_S = 0.1
FAILOVER_AFTER_S = 1.5
_MS_PER_S = 1000


@dataclass(slots=True)
class WireVerdict:
    """What clients and endpoints saw.

    Args:
        acknowledged_writes: writes that were acknowledged.
        lost_writes: acknowledged writes that the last lead does not hold.
        reads: reads that were answered.
        stale_reads: reads that lacked an earlier write of their session.
        refused: statements that were refused, most of them while no endpoint
            led.
        failovers: changes of the lead.
        longest_gap_ms: longest time between two acknowledged writes.

    """

    acknowledged_writes: int = 0
    lost_writes: int = 0
    reads: int = 0
    stale_reads: int = 0
    refused: int = 0
    failovers: int = 0
    longest_gap_ms: int = 0

    def holds(self) -> bool:
        """Tell whether every promise was kept and something was served."""
        broken = self.lost_writes + self.stale_reads
        return not broken and bool(self.acknowledged_writes and self.reads)


async def run_wire_demo(seed: int) -> WireVerdict:
    """Run sessions on every node while the lead crashes.

    Args:
        seed: all random choices follow from it.

    Returns:
        What clients and endpoints saw.

    """
    record = _Record()
    async with running_wire_stack(seed=seed) as stack:
        addresses = [each.address for each in stack.nodes.values()]
        async with open_nursery() as nursery:
            nursery.start_soon(_crash_lead, stack)
            for number in range(SESSIONS):
                address = addresses[number % len(addresses)]
                session = _Session(f's{number}', record)
                nursery.start_soon(session.run, address)
        return record.close(stack)


def render_wire(verdict: WireVerdict) -> Table:
    """Return the summary for a person.

    Args:
        verdict: what clients and endpoints saw.

    Returns:
        A table.

    """
    table = Table(title='wire protocol: 3 nodes, 3 endpoints, the lead crashes')
    table.add_column('measure')
    table.add_column('count', justify='right')
    for name, count in asdict(verdict).items():
        table.add_row(name.replace('_', ' '), str(count))
    return table


@dataclass(slots=True)
class _Record:
    verdict: WireVerdict = field(default_factory=WireVerdict)
    written: dict[str, str] = field(default_factory=dict)
    acknowledged_at: list[float] = field(default_factory=list)

    def acknowledge(self, name: str, text: str) -> None:
        self.written[name] = text
        self.verdict.acknowledged_writes += 1
        self.acknowledged_at.append(current_time())

    def close(self, stack: WireStack) -> WireVerdict:
        lead = stack.group.lead
        held = lead.tables() if lead else {}
        lost = [
            name
            for name, text in self.written.items()
            if _number(held.get(name, '')) < _number(text)
        ]
        self.verdict.lost_writes = len(lost)
        self.verdict.failovers = len(stack.promotions.done)
        self.verdict.longest_gap_ms = _longest_gap_ms(self.acknowledged_at)
        return self.verdict


class _Session:
    def __init__(self, name: str, record: _Record) -> None:
        self._name = name
        self._record = record

    async def run(self, address: str) -> None:
        async with wire_client(address) as client:
            await client.start('visits', 'key-himal')
            for number in range(ROUNDS):
                await self._write(client, f'v{number}')
                await self._read(client)
                await sleep(PAUSE_S)

    async def _write(self, client: WireClient, text: str) -> None:
        answer = await client.query(f'WRITE {self._name} {text}')
        if answer.code:
            self._record.verdict.refused += 1
            return
        self._record.acknowledge(self._name, text)

    async def _read(self, client: WireClient) -> None:
        answer = await client.query(f'READ {self._name}')
        if answer.code:
            self._record.verdict.refused += 1
            return
        self._record.verdict.reads += 1
        newest = self._record.written.get(self._name, '')
        # A write whose outcome was unknown may have been kept after all.
        if _number(answer.rows[0]) < _number(newest):
            self._record.verdict.stale_reads += 1


def _longest_gap_ms(moments: list[float]) -> int:
    gaps = [after - before for before, after in pairwise(moments)]
    return round(max(gaps, default=0) * _MS_PER_S)


def _number(text: str) -> int:
    return int(text[1:]) if text.startswith('v') else -1


async def _crash_lead(stack: WireStack) -> None:
    await sleep(FAILOVER_AFTER_S)
    lead = stack.group.lead
    if lead is not None:
        lead.crash()
        lead.leads = False
