"""Demo: orders, stock reads and transactions through three nodes."""

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
from trefoilhitch_lab.deployment import SMALL
from trefoilhitch_lab.request_history import ConsistencyReport, RequestHistory
from trefoilhitch_lab.session_client import SessionClient
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
    """A session that places and reads orders through changing nodes.

    Args:
        number: session number.
        client: sends its requests.
        history: records requests and responses.
        acknowledged_count: how many of its orders were acknowledged.

    """

    number: int
    client: SessionClient
    history: RequestHistory
    acknowledged_count: int = 0

    async def run(self) -> None:
        """Run all rounds."""
        for round_number in range(ROUNDS):
            await self._insert_order(f's{self.number}-o{round_number}')
            await self._count_orders(f's{self.number}-c{round_number}')
            await self._read_stock(f's{self.number}-r{round_number}')
        await self._order_from_stock(f's{self.number}-buy')
        self.client.close()

    async def _insert_order(self, mark: str) -> None:
        self.history.record_request()
        fields = {
            'sql': INSERT_ORDER,
            'args': [mark, self.number, 1],
            'access': 'write',
            'idempotency_key': mark,
        }
        try:
            await self.client.run_statement(SERVICE, fields)
        except RefusalError as exc:
            self.history.record_refusal(exc.code, exc.run, mark)
            return
        self.acknowledged_count += 1
        self.history.record_write(mark)

    async def _count_orders(self, tag: str) -> None:
        rows = await self._read(
            tag,
            {
                'sql': COUNT_ORDERS,
                'args': [tag, self.number],
            },
        )
        if rows and rows[0][1] < self.acknowledged_count:
            self.history.stale_reads += 1

    async def _read_stock(self, tag: str) -> None:
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
        self.history.record_request()
        try:
            reply = await self.client.run_statement(SERVICE, fields)
        except RefusalError as exc:
            self.history.record_refusal(exc.code, exc.run)
            return []
        self.history.record_read(role=reply.role, eligible=True)
        if not reply.rows or reply.rows[0][0] != tag:
            self.history.wrong_answers += 1
            return []
        return reply.rows

    async def _order_from_stock(self, mark: str) -> None:
        """Reduce the stock and insert an order in one transaction."""
        self.history.record_request()
        try:
            await self._run_transaction(mark)
        except RefusalError as exc:
            self.history.record_refusal(exc.code, exc.run, mark)
            return
        self.history.record_write(mark)

    async def _run_transaction(self, mark: str) -> None:
        key_fields = {'idempotency_key': mark}
        transaction = await self.client.begin_transaction(SERVICE, key_fields)
        step = f'{transaction.transaction}/statements'
        for sql, args in (
            (TAKE_STOCK, ['paste']),
            (INSERT_ORDER, [mark, self.number, 1]),
        ):
            fields = {'sql': sql, 'args': args, 'access': 'write'}
            await self.client.continue_transaction(SERVICE, step, fields)
        commit = f'{transaction.transaction}/commit'
        await self.client.continue_transaction(SERVICE, commit, key_fields)


async def run_demo(seed: int) -> ConsistencyReport:
    """Run the demo on an in-process stack.

    Args:
        seed: seed of all random choices.

    Returns:
        Findings of the consistency check.

    """
    history = RequestHistory()
    async with running_stack(SMALL, seed=seed) as stack:
        addresses = stack.addresses
        key = stack.keys['himal'].text
        await _create_tables(SessionClient(key, addresses, Random(seed)))
        async with open_nursery() as nursery:
            for number in range(SESSIONS):
                client = SessionClient(key, addresses, Random(seed + number))
                nursery.start_soon(DemoSession(number, client, history).run)
        return history.check(_stored_marks(stack))


async def _create_tables(client: SessionClient) -> None:
    for sql in (CREATE_ORDERS, CREATE_STOCK):
        await client.run_statement(SERVICE, {'sql': sql, 'access': 'write'})
    await client.run_statement(
        SERVICE,
        {
            'sql': 'INSERT INTO stock VALUES (?, ?)',
            'args': ['paste', 1000],
            'access': 'write',
        },
    )
    client.close()


def _stored_marks(stack: Stack) -> list[str]:
    primary = stack.primary_of(SERVICE)
    if primary is None:
        return []
    return [row[0] for row in primary.database.read(ALL_MARKS, []).rows]


def render_report(report: ConsistencyReport) -> Table:
    """Return the summary as a table.

    Args:
        report: findings of the consistency check.

    Returns:
        Table with one row per measure.

    """
    table = Table(
        title='trefoilhitch demo: 3 nodes, 3 endpoints, roaming sessions'
    )
    table.add_column('measure')
    table.add_column('count', justify='right')
    for name, count in as_builtins(report).items():
        table.add_row(name.replace('_', ' '), str(count))
    return table


def main(*, json: bool, seed: int) -> int:
    """Run the demo and print its summary.

    Args:
        json: whether to print one JSON object instead of tables.
        seed: seed of all random choices.

    Returns:
        Exit code, 1 if a guarantee was violated.

    """
    report = run(run_demo, seed)
    wire_report = run(
        run_wire_demo, seed, clock=MockClock(autojump_threshold=0)
    )
    if json:
        print(encode({**as_builtins(report), 'wire': wire_report}).decode())
    else:
        Console().print(render_report(report))
        Console().print(render_wire_verdict(wire_report))
    violated = report.violations() or not report.acknowledged_writes
    return 1 if violated or not wire_report.is_passed() else 0
