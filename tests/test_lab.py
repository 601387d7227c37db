"""The lab: its checker can fail, its database is sound, its demo passes."""

import pytest

from tests.support import virtual
from trefoilhitch._generated.endpoint import LogEntry, LoggedStatement
from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.errors import BadRequestError, SqlRejectedError
from trefoilhitch_lab.database import Database, check_same_statement
from trefoilhitch_lab.demo import run_demo
from trefoilhitch_lab.deployment import Tenant
from trefoilhitch_lab.ledger import Ledger
from trefoilhitch_lab.wire_demo import run_wire_demo
from trefoilhitch_lab.workload import rate_excess


def test_the_checker_reports_each_planted_fault() -> None:
    ledger = Ledger()
    for mark in ('kept', 'lost', 'doubled'):
        ledger.acknowledged(mark)
    ledger.refused('overloaded', 'no', 'ran')
    ledger.refused('unconfirmed', 'unknown', 'maybe')
    verdict = ledger.verdict(['kept', 'doubled', 'doubled', 'ran', 'maybe'])
    assert verdict.lost_acked_writes == 1
    assert verdict.duplicate_runs == 1
    assert verdict.false_not_run == 1
    assert verdict.violations() == 3
    ledger.stale_reads = 1
    ledger.wrong_answers = 1
    assert ledger.verdict([]).violations() >= 5
    assert Ledger().verdict(['kept']).violations() == 0


def test_the_checker_reports_an_exceeded_rate() -> None:
    tenant = Tenant('t', rate=10, burst=5)
    assert not rate_excess(tenant, [0, 0, 0, 0, 0, 0.1, 0.2])
    assert rate_excess(tenant, [0, 0, 0, 0, 0, 0]) == pytest.approx(0.2)
    assert not rate_excess(tenant, [])


@virtual
async def test_the_demo_keeps_every_promise() -> None:
    verdict = await run_demo(7)
    assert verdict.acknowledged_writes == 156
    assert verdict.violations() == 0
    assert verdict.replica_read_share > 0.5


def _entry(term: int, position: int, text: str) -> LogEntry:
    statement = LoggedStatement(sql='INSERT INTO t VALUES (?)', args=[text])
    return LogEntry(
        term=term,
        position=position,
        request=text,
        statements=[statement],
    )


def _created() -> LogEntry:
    create = LoggedStatement(sql='CREATE TABLE t (x)', args=[])
    return LogEntry(term=1, position=1, statements=[create])


def _texts(database: Database) -> list[str]:
    return [row[0] for row in database.read('SELECT x FROM t', []).rows]


def test_a_log_drops_what_a_later_term_contradicts() -> None:
    database = Database()
    start = LogPosition()
    assert database.extend(
        start, [_created(), _entry(1, 2, 'a'), _entry(1, 3, 'b')]
    )
    database.apply(3)
    assert _texts(database) == ['a', 'b']
    assert not database.extend(LogPosition(term=2, position=2), [])
    assert not database.extend(LogPosition(term=1, position=9), [])
    assert database.extend(LogPosition(term=1, position=2), [_entry(2, 3, 'c')])
    assert database.find_record('', 'b') is None
    database.apply(3)
    assert _texts(database) == ['a', 'c']


def test_a_primary_commits_or_rolls_back_whole_transactions() -> None:
    database = Database()
    database.extend(LogPosition(), [_created()])
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
def test_what_would_not_replicate_is_refused(sql: str) -> None:
    database = Database()
    database.extend(LogPosition(), [_created()])
    database.apply(1)
    with pytest.raises(SqlRejectedError):
        database.read(sql, [])


@virtual
async def test_the_wire_demo_keeps_every_promise() -> None:
    verdict = await run_wire_demo(7)
    assert verdict.is_passed()
    assert verdict.failovers == 1
