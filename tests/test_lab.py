"""Tests of the consistency checks, the lab database and the demos."""

import pytest

from tests.support import with_virtual_clock
from trefoilhitch._generated.endpoint import LogEntry, LoggedStatement
from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.errors import BadRequestError, SqlRejectedError
from trefoilhitch_lab.database import Database, check_same_statement
from trefoilhitch_lab.demo import run_demo
from trefoilhitch_lab.deployment import Tenant
from trefoilhitch_lab.request_history import RequestHistory
from trefoilhitch_lab.wire_demo import run_wire_demo
from trefoilhitch_lab.workload import rate_excess


def test_check_reports_each_injected_violation() -> None:
    history = RequestHistory()
    for mark in ('kept', 'lost', 'doubled'):
        history.record_write(mark)
    history.record_refusal('overloaded', 'no', 'ran')
    history.record_refusal('unconfirmed', 'unknown', 'maybe')
    report = history.check(['kept', 'doubled', 'doubled', 'ran', 'maybe'])
    assert report.lost_acked_writes == 1
    assert report.duplicate_runs == 1
    assert report.false_not_run == 1
    assert report.violations() == 3
    history.stale_reads = 1
    history.wrong_answers = 1
    assert history.check([]).violations() >= 5
    assert RequestHistory().check(['kept']).violations() == 0


def test_rate_excess_is_reported() -> None:
    tenant = Tenant('t', rate=10, burst=5)
    assert not rate_excess(tenant, [0, 0, 0, 0, 0, 0.1, 0.2])
    assert rate_excess(tenant, [0, 0, 0, 0, 0, 0]) == pytest.approx(0.2)
    assert not rate_excess(tenant, [])


@with_virtual_clock
async def test_demo_has_no_violations() -> None:
    report = await run_demo(7)
    assert report.acknowledged_writes == 156
    assert report.violations() == 0
    assert report.replica_read_share > 0.5


def _entry(term: int, position: int, text: str) -> LogEntry:
    statement = LoggedStatement(sql='INSERT INTO t VALUES (?)', args=[text])
    return LogEntry(
        term=term,
        position=position,
        request=text,
        statements=[statement],
    )


def _create_table_entry() -> LogEntry:
    create = LoggedStatement(sql='CREATE TABLE t (x)', args=[])
    return LogEntry(term=1, position=1, statements=[create])


def _texts(database: Database) -> list[str]:
    return [row[0] for row in database.read('SELECT x FROM t', []).rows]


def test_log_replaces_conflicting_entries_of_older_terms() -> None:
    database = Database()
    start = LogPosition()
    assert database.extend(
        start, [_create_table_entry(), _entry(1, 2, 'a'), _entry(1, 3, 'b')]
    )
    database.apply(3)
    assert _texts(database) == ['a', 'b']
    assert not database.extend(LogPosition(term=2, position=2), [])
    assert not database.extend(LogPosition(term=1, position=9), [])
    assert database.extend(LogPosition(term=1, position=2), [_entry(2, 3, 'c')])
    assert database.find_record('', 'b') is None
    database.apply(3)
    assert _texts(database) == ['a', 'c']


def test_transactions_commit_or_roll_back_as_a_whole() -> None:
    database = Database()
    database.extend(LogPosition(), [_create_table_entry()])
    database.become_primary(2)
    database.begin()
    database.run('INSERT INTO t VALUES (?)', ['x'])
    assert not _texts(database)
    database.rollback()
    database.begin()
    found = database.run('INSERT INTO t VALUES (?) RETURNING x', ['y'])
    database.commit(2, ('org', 'r1'), found)
    assert _texts(database) == ['y']
    stored = database.find_record('org', 'r1')
    assert stored is not None
    assert stored.rows == [['y']]
    with pytest.raises(BadRequestError):
        check_same_statement(stored, 'INSERT INTO t VALUES (?)', ['z'])


@pytest.mark.parametrize(
    'sql',
    [
        'COMMIT',
        'PRAGMA query_only=OFF',
        "ATTACH 'x' AS y",
        'INSERT INTO t VALUES (random())',
        "INSERT INTO t VALUES (datetime('now'))",
        'SELECT 1; SELECT 2',
        'INSERT INTO t VALUES (1)',
    ],
)
def test_statements_that_cannot_replicate_are_rejected(sql: str) -> None:
    database = Database()
    database.extend(LogPosition(), [_create_table_entry()])
    database.apply(1)
    with pytest.raises(SqlRejectedError):
        database.read(sql, [])


@with_virtual_clock
async def test_wire_demo_has_no_violations() -> None:
    report = await run_wire_demo(7)
    assert report.is_passed()
    assert report.failovers == 1
