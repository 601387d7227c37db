"""State of a replicated database: a log and the SQLite tables built from it."""

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
    """The rows that a statement returned.

    Args:
        columns: names of the columns.
        rows: column values of each row.
        changed: number of changed rows.

    """

    columns: list[str] = field(default_factory=list)
    rows: list[list[Any]] = field(default_factory=list)
    changed: int = 0


class SqliteDatabase:
    """An in-memory SQLite database for statements that can be replicated.

    Denied are transaction control, access to other databases, and functions
    whose outcome would differ between replicas.
    """

    def __init__(self) -> None:
        """Create an empty, read-only database."""
        self._is_trusted = False
        self._conn = sqlite3.connect(
            ':memory:',
            isolation_level=None,
            cached_statements=0,
        )
        self._conn.set_authorizer(self._authorise)
        self.run_trusted('PRAGMA query_only=ON')

    def run_trusted(self, sql: str) -> None:
        """Run a statement of the emulator, without the authoriser's checks.

        Args:
            sql: the statement.

        """
        self._is_trusted = True
        try:
            self._conn.execute(sql)
        finally:
            self._is_trusted = False

    def run(self, sql: str, args: Sequence[Any]) -> Rows:
        """Run a statement of a client.

        Args:
            sql: the statement.
            args: values of its placeholders.

        Returns:
            The rows that it returned.

        Raises:
            SqlRejectedError: SQLite or the authoriser refused the statement.

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
        """Replace the tables by a copy of another database.

        Args:
            other: database to copy.

        """
        self._is_trusted = True
        try:
            other._conn.backup(self._conn)  # noqa: SLF001
        finally:
            self._is_trusted = False

    def close(self) -> None:
        """Close the database and free its memory."""
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
    """The log of an endpoint and the tables that its applied part results in.

    The primary runs write transactions in a second copy of the tables.
    """

    def __init__(self) -> None:
        """Create an empty log and empty tables."""
        self.log: list[LogEntry] = []
        self.applied_count = 0
        self._applied_tables = SqliteDatabase()
        self._write_tables = SqliteDatabase()
        self._records: dict[tuple[str, str], LogEntry] = {}
        self._pending: list[LoggedStatement] = []

    @property
    def end(self) -> LogPosition:
        """The last position of the log."""
        return self.position_at(len(self.log))

    @property
    def applied_end(self) -> LogPosition:
        """The position up to which the log is applied to the tables."""
        return self.position_at(self.applied_count)

    def position_at(self, position: int) -> LogPosition:
        """Return a log position with its term.

        Args:
            position: number of entries up to and including the position.

        Returns:
            The position with the term of its entry; term 0 for position 0.

        """
        term = self.log[position - 1].term if position else 0
        return LogPosition(term=term, position=position)

    def find_record(self, organisation: str, request: str) -> LogEntry | None:
        """Return the log entry of an earlier request.

        Args:
            organisation: organisation that made the request.
            request: id of the request.

        Returns:
            The entry; None if the log holds none.

        """
        return self._records.get((organisation, request))

    def read(self, sql: str, args: Sequence[Any]) -> Rows:
        """Run a read statement on the applied tables.

        Args:
            sql: the statement.
            args: values of its placeholders.

        Returns:
            The rows that it returned.

        """
        return self._applied_tables.run(sql, args)

    def become_primary(self, term: int) -> None:
        """Apply the whole log and begin a term with an empty entry.

        Args:
            term: term of the new primary.

        """
        self.apply(len(self.log))
        self._write_tables.close()
        self._write_tables = SqliteDatabase()
        self._write_tables.run_trusted('PRAGMA query_only=OFF')
        self._write_tables.copy_from(self._applied_tables)
        position = len(self.log) + 1
        self._append(LogEntry(term=term, position=position))

    def begin(self) -> None:
        """Begin the write transaction; only one may be open at a time."""
        self._pending = []
        self._write_tables.run_trusted('BEGIN')

    def run(self, sql: str, args: Sequence[Any]) -> Rows:
        """Run a statement in the write transaction.

        Args:
            sql: the statement.
            args: values of its placeholders.

        Returns:
            The rows that it returned.

        """
        found = self._write_tables.run(sql, args)
        if found.changed or not found.columns:
            self._pending.append(LoggedStatement(sql=sql, args=list(args)))
        return found

    def rollback(self) -> None:
        """Roll back the write transaction."""
        self._write_tables.run_trusted('ROLLBACK')

    def commit(self, term: int, key: tuple[str, str], found: Rows) -> LogEntry:
        """Commit the write transaction and append it to the log.

        The entry also stores the response, which a retry of the same request
        receives.

        Args:
            term: term of the primary.
            key: organisation and request id.
            found: rows of the response.

        Returns:
            The new log entry.

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
        """Append entries of a primary, and truncate the log where it differs.

        Args:
            previous: position of the entry before the first one.
            entries: consecutive entries of the primary's log.

        Returns:
            False if the log has no entry of that term at `previous`.

        """
        if previous.position > len(self.log):
            return False
        if self.position_at(previous.position).term != previous.term:
            return False
        for entry in entries:
            self._store(entry)
        return True

    def apply(self, position: int) -> None:
        """Apply the log to the tables up to a position.

        Args:
            position: position of the last entry to apply.

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
    """Check that a retry sends the statement that its key was used for.

    Args:
        entry: log entry of the first request with the idempotency key.
        sql: statement of the retry.
        args: values of its placeholders.

    Raises:
        BadRequestError: the statements or their arguments differ.

    """
    if entry.statements != [LoggedStatement(sql=sql, args=list(args))]:
        raise BadRequestError('the idempotency key belongs to another request')
