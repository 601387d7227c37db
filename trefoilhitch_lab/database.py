"""A replicated database's state: its log, and SQLite tables made from it."""

import sqlite3
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from trefoilhitch._generated.endpoint import LogEntry, LoggedStatement
from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.errors import BadRequestError, SqlRejectedError

_DENIED_ACTIONS = frozenset(
    (
        sqlite3.SQLITE_TRANSACTION,
        sqlite3.SQLITE_SAVEPOINT,
        sqlite3.SQLITE_ATTACH,
        sqlite3.SQLITE_DETACH,
        sqlite3.SQLITE_PRAGMA,
    )
)
_DENIED_FUNCTIONS = frozenset(
    (
        'random',
        'randomblob',
        'date',
        'time',
        'datetime',
        'julianday',
        'unixepoch',
        'strftime',
        'load_extension',
    )
)


@dataclass(frozen=True, slots=True)
class Rows:
    """What a statement returned.

    Args:
        columns: names of the columns.
        rows: the rows.
        changed: number of rows changed.

    """

    columns: list[str] = field(default_factory=list)
    rows: list[list[Any]] = field(default_factory=list)
    changed: int = 0


class SqliteDatabase:
    """An in-memory SQLite database that refuses what would not replicate."""

    def __init__(self) -> None:
        """Start empty and read-only."""
        self._is_trusted = False
        self._conn = sqlite3.connect(
            ':memory:',
            isolation_level=None,
            cached_statements=0,
        )
        self._conn.set_authorizer(self._authorise)
        self.run_trusted('PRAGMA query_only=ON')

    def run_trusted(self, sql: str) -> None:
        """Run a statement of the stand-in itself.

        Args:
            sql: the statement.

        """
        self._is_trusted = True
        try:
            self._conn.execute(sql)
        finally:
            self._is_trusted = False

    def run(self, sql: str, args: Sequence[Any]) -> Rows:
        """Run a statement of a caller.

        Args:
            sql: the statement.
            args: its arguments.

        Returns:
            Its rows.

        Raises:
            SqlRejectedError: the database refused it.

        """
        before = self._conn.total_changes
        try:
            cursor = self._conn.execute(sql, args)
            found = cursor.fetchall()
        except (sqlite3.Error, sqlite3.Warning) as exc:
            raise SqlRejectedError(str(exc)) from exc
        names = [column[0] for column in cursor.description or ()]
        changed = self._conn.total_changes - before
        return Rows(names, [list(row) for row in found], changed)

    def copy_from(self, other: 'SqliteDatabase') -> None:
        """Become a copy of another database.

        Args:
            other: what is copied.

        """
        self._is_trusted = True
        try:
            other._conn.backup(self._conn)  # noqa: SLF001
        finally:
            self._is_trusted = False

    def close(self) -> None:
        """Free the memory."""
        self._conn.close()

    def _authorise(self, action: int, *details: str | None) -> int:
        if self._is_trusted:
            return sqlite3.SQLITE_OK
        if action in _DENIED_ACTIONS:
            return sqlite3.SQLITE_DENY
        if (
            action == sqlite3.SQLITE_FUNCTION
            and details[1] in _DENIED_FUNCTIONS
        ):
            return sqlite3.SQLITE_DENY
        return sqlite3.SQLITE_OK


class Database:
    """The log of an endpoint, and the tables that a prefix of it makes."""

    def __init__(self) -> None:
        """Start empty."""
        self.log: list[LogEntry] = []
        self.applied_count = 0
        self._applied_tables = SqliteDatabase()
        self._write_tables = SqliteDatabase()
        self._records: dict[tuple[str, str], LogEntry] = {}
        self._pending: list[LoggedStatement] = []

    @property
    def end(self) -> LogPosition:
        """Return the last position of the log."""
        return self.position_at(len(self.log))

    @property
    def applied_end(self) -> LogPosition:
        """Return the position that the tables result from."""
        return self.position_at(self.applied_count)

    def position_at(self, position: int) -> LogPosition:
        """Return a log position with its term.

        Args:
            position: number of entries before and at it.

        Returns:
            The position.

        """
        term = self.log[position - 1].term if position else 0
        return LogPosition(term=term, position=position)

    def find_record(self, organisation: str, request: str) -> LogEntry | None:
        """Return the entry that an earlier request made.

        Args:
            organisation: whose request.
            request: its id.

        Returns:
            The entry, or None.

        """
        return self._records.get((organisation, request))

    def read(self, sql: str, args: Sequence[Any]) -> Rows:
        """Read the applied tables.

        Args:
            sql: the statement.
            args: its arguments.

        Returns:
            Its rows.

        """
        return self._applied_tables.run(sql, args)

    def become_primary(self, term: int) -> None:
        """Apply the whole log and begin a term with an empty entry.

        Args:
            term: the new term.

        """
        self.apply(len(self.log))
        self._write_tables.close()
        self._write_tables = SqliteDatabase()
        self._write_tables.run_trusted('PRAGMA query_only=OFF')
        self._write_tables.copy_from(self._applied_tables)
        position = len(self.log) + 1
        self._append(LogEntry(term=term, position=position))

    def begin(self) -> None:
        """Open the one write transaction."""
        self._pending = []
        self._write_tables.run_trusted('BEGIN')

    def run(self, sql: str, args: Sequence[Any]) -> Rows:
        """Run a statement in the write transaction.

        Args:
            sql: the statement.
            args: its arguments.

        Returns:
            Its rows.

        """
        found = self._write_tables.run(sql, args)
        if found.changed or not found.columns:
            self._pending.append(LoggedStatement(sql=sql, args=list(args)))
        return found

    def rollback(self) -> None:
        """Undo the write transaction."""
        self._write_tables.run_trusted('ROLLBACK')

    def commit(self, term: int, key: tuple[str, str], found: Rows) -> LogEntry:
        """Commit the write transaction with its outcome record.

        Args:
            term: term of the primary.
            key: organisation and request.
            found: what the request is answered with.

        Returns:
            The new entry.

        """
        self._write_tables.run_trusted('COMMIT')
        entry = LogEntry(
            term=term,
            position=len(self.log) + 1,
            organisation=key[0],
            request=key[1],
            statements=self._pending,
            columns=found.columns,
            rows=found.rows,
            changed=found.changed,
        )
        self._append(entry)
        return entry

    def extend(
        self, previous: LogPosition, entries: Iterable[LogEntry]
    ) -> bool:
        """Take entries from a primary, and drop what contradicts them.

        Args:
            previous: position before the entries.
            entries: the entries.

        Returns:
            False if the log does not hold the previous position.

        """
        if previous.position > len(self.log):
            return False
        if self.position_at(previous.position).term != previous.term:
            return False
        for entry in entries:
            self._store(entry)
        return True

    def apply(self, position: int) -> None:
        """Apply the log up to a position.

        Args:
            position: number of entries.

        """
        if position <= self.applied_count:
            return
        self._applied_tables.run_trusted('PRAGMA query_only=OFF')
        for entry in self.log[self.applied_count : position]:
            self._apply_entry(entry)
        self._applied_tables.run_trusted('PRAGMA query_only=ON')
        self.applied_count = position

    def _append(self, entry: LogEntry) -> None:
        self._store(entry)
        self.apply(entry.position)

    def _store(self, entry: LogEntry) -> None:
        if entry.position <= len(self.log):
            if self.log[entry.position - 1].term == entry.term:
                return
            self._truncate(entry.position - 1)
        self.log.append(entry)
        if entry.request:
            self._records[entry.organisation, entry.request] = entry

    def _truncate(self, length: int) -> None:
        for entry in self.log[length:]:
            self._records.pop((entry.organisation, entry.request), None)
        self.log = self.log[:length]
        if self.applied_count > length:
            self._applied_tables.close()
            self._applied_tables = SqliteDatabase()
            self.applied_count = 0
            self.apply(length)

    def _apply_entry(self, entry: LogEntry) -> None:
        self._applied_tables.run_trusted('BEGIN')
        for statement in entry.statements:
            self._applied_tables.run(statement.sql, statement.args)
        self._applied_tables.run_trusted('COMMIT')


def check_same_statement(
    entry: LogEntry, sql: str, args: Sequence[Any]
) -> None:
    """Refuse an idempotency key that was used for something else.

    Args:
        entry: what the key was used for.
        sql: the statement now.
        args: its arguments.

    Raises:
        BadRequestError: they differ.

    """
    if entry.statements != [LoggedStatement(sql=sql, args=list(args))]:
        raise BadRequestError('the idempotency key belongs to another request')
