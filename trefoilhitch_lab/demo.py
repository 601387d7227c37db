"""The demo: orders, stock reads and a transaction through three nodes."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Any, TypeAlias

from msgspec import to_builtins as as_builtins
from msgspec.json import encode
from rich.console import Console
from rich.table import Table
from trio import open_nursery, run
from trio.testing import MockClock

from trefoilhitch.errors import RefusalError
from trefoilhitch_lab.caller import Caller
from trefoilhitch_lab.deployment import SMALL
from trefoilhitch_lab.ledger import Ledger, Verdict
from trefoilhitch_lab.stack import Stack, running_stack
from trefoilhitch_lab.wire_demo import render_wire_verdict, run_wire_demo

Rows: TypeAlias = Sequence[Sequence[Any]]
SESSIONS = 6
ROUNDS = 25
SERVICE = 'orders'
CREATE_ORDERS = (
    'CREATE TABLE orders (mark TEXT, session INTEGER, quantity INTEGER)'
)
CREATE_STOCK = 'CREATE TABLE stock (product TEXT PRIMARY KEY, quantity INTEGER)'
INSERT_ORDER = 'INSERT INTO orders VALUES (?, ?, ?)'
COUNT_ORDERS = 'SELECT ?, count(*) FROM orders WHERE session = ?'
READ_STOCK = 'SELECT ?, quantity FROM stock WHERE product = ?'
TAKE_STOCK = 'UPDATE stock SET quantity = quantity - 1 WHERE product = ?'
ALL_MARKS = 'SELECT mark FROM orders'


@dataclass(slots=True)
class DemoSession:
    """A session that orders, reads what it ordered, and roams.

    Args:
        number: its number.
        caller: sends its requests.
        ledger: takes note of what it is told.
        acked: how many of its orders were acknowledged.

    """

    number: int
    caller: Caller
    ledger: Ledger
    acked: int = 0

    async def run(self) -> None:
        """Run all rounds."""
        for each in range(ROUNDS):
            await self._order(f's{self.number}-o{each}')
            await self._count(f's{self.number}-c{each}')
            await self._stock(f's{self.number}-r{each}')
        await self._buy(f's{self.number}-buy')
        self.caller.close()

    async def _order(self, mark: str) -> None:
        self.ledger.sent()
        fields = {
            'sql': INSERT_ORDER,
            'args': [mark, self.number, 1],
            'access': 'write',
            'idempotency_key': mark,
        }
        try:
            await self.caller.statement(SERVICE, fields)
        except RefusalError as exc:
            self.ledger.refused(exc.code, exc.run, mark)
            return
        self.acked += 1
        self.ledger.acknowledged(mark)

    async def _count(self, tag: str) -> None:
        rows = await self._read(
            tag,
            {
                'sql': COUNT_ORDERS,
                'args': [tag, self.number],
            },
        )
        if rows and rows[0][1] < self.acked:
            self.ledger.stale_reads += 1

    async def _stock(self, tag: str) -> None:
        await self._read(
            tag,
            {
                'sql': READ_STOCK,
                'args': [tag, 'paste'],
                'freshness': 'max_age',
                'max_age_ms': 2000,
            },
        )

    async def _read(self, tag: str, fields: dict[str, object]) -> Rows:
        self.ledger.sent()
        try:
            reply = await self.caller.statement(SERVICE, fields)
        except RefusalError as exc:
            self.ledger.refused(exc.code, exc.run)
            return []
        self.ledger.read(role=reply.role, eligible=True)
        if not reply.rows or reply.rows[0][0] != tag:
            self.ledger.wrong_answers += 1
            return []
        return reply.rows

    async def _buy(self, mark: str) -> None:
        """Take stock and order in one transaction."""
        self.ledger.sent()
        try:
            await self._take_and_order(mark)
        except RefusalError as exc:
            self.ledger.refused(exc.code, exc.run, mark)
            return
        self.ledger.acknowledged(mark)

    async def _take_and_order(self, mark: str) -> None:
        named = {'idempotency_key': mark}
        opened = await self.caller.begin(SERVICE, named)
        step = f'{opened.transaction}/statements'
        for sql, args in (
            (TAKE_STOCK, ['paste']),
            (INSERT_ORDER, [mark, self.number, 1]),
        ):
            fields = {'sql': sql, 'args': args, 'access': 'write'}
            await self.caller.in_transaction(SERVICE, step, fields)
        commit = f'{opened.transaction}/commit'
        await self.caller.in_transaction(SERVICE, commit, named)


async def run_demo(seed: int) -> Verdict:
    """Run the demo on an embedded stack.

    Args:
        seed: all random choices follow from it.

    Returns:
        What the outside record found.

    """
    ledger = Ledger()
    async with running_stack(SMALL, seed=seed) as stack:
        addresses = stack.addresses
        key = stack.keys['himal'].text
        await _create_tables(Caller(key, addresses, Random(seed)))
        async with open_nursery() as nursery:
            for number in range(SESSIONS):
                caller = Caller(key, addresses, Random(seed + number))
                nursery.start_soon(DemoSession(number, caller, ledger).run)
        return ledger.verdict(_stored(stack))


async def _create_tables(caller: Caller) -> None:
    for sql in (CREATE_ORDERS, CREATE_STOCK):
        await caller.statement(SERVICE, {'sql': sql, 'access': 'write'})
    await caller.statement(
        SERVICE,
        {
            'sql': 'INSERT INTO stock VALUES (?, ?)',
            'args': ['paste', 1000],
            'access': 'write',
        },
    )
    caller.close()


def _stored(stack: Stack) -> list[str]:
    primary = stack.primary_of(SERVICE)
    if primary is None:
        return []
    return [row[0] for row in primary.database.read(ALL_MARKS, []).rows]


def render(verdict: Verdict) -> Table:
    """Return the summary for a person.

    Args:
        verdict: what the outside record found.

    Returns:
        A table.

    """
    table = Table(
        title='trefoilhitch demo: 3 nodes, 3 endpoints, sessions that roam'
    )
    table.add_column('measure')
    table.add_column('count', justify='right')
    for name, count in as_builtins(verdict).items():
        table.add_row(name.replace('_', ' '), str(count))
    return table


def main(*, json: bool, seed: int) -> int:
    """Run the demo and print its summary.

    Args:
        json: print one JSON object.
        seed: all random choices follow from it.

    Returns:
        Exit code; 1 if a promise was broken.

    """
    verdict = run(run_demo, seed)
    wire = run(run_wire_demo, seed, clock=MockClock(autojump_threshold=0))
    if json:
        print(encode({**as_builtins(verdict), 'wire': wire}).decode())
    else:
        Console().print(render(verdict))
        Console().print(render_wire_verdict(wire))
    broken = verdict.violations() or not verdict.acknowledged_writes
    return 1 if broken or not wire.is_passed() else 0
