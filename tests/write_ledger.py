"""Which writes took effect, and what clients were told about them."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from tests.connection_replay import Run
from tests.session_history import OPEN_STATES, SentStatement

ENDS = frozenset((b'COMMIT', b'ROLLBACK'))


@dataclass(slots=True)
class WriteLedger:
    """Writes by connection and client attempt.

    Args:
        effects: how often each write took effect, or may have.
        attempts: client attempt of each write that took effect.
        promised: attempts that were told that nothing of them is kept.
        connections: connections on which statements of each transaction ran.
        begins: connections on which each transaction was begun.

    """

    effects: Counter[bytes] = field(default_factory=Counter)
    attempts: dict[bytes, str] = field(default_factory=dict)
    promised: dict[str, bytes] = field(default_factory=dict)
    connections: defaultdict[str, set[str]] = field(
        default_factory=lambda: defaultdict(set)
    )
    begins: defaultdict[str, set[str]] = field(
        default_factory=lambda: defaultdict(set)
    )
    _open: defaultdict[str, list[SentStatement]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def record(
        self, run: Run, sent: SentStatement, *, code: bytes, state: bytes
    ) -> None:
        """Record a statement that ran, or may have.

        Args:
            run: the statement at the endpoint.
            sent: what the client sent.
            code: code of the endpoint's answer; empty after a success.
            state: state of the connection afterwards.

        """
        verb = sent.query.verb
        if verb == b'BEGIN' and not code:
            self.begins[sent.attempt].add(run.connection)
        elif verb != b'BEGIN' and sent.in_transaction:
            self.connections[sent.attempt].add(run.connection)
        if sent.writes:
            self._open[run.connection].append(sent)
        if sent.writes and not run.owner:
            self._commit(run.connection)
        if verb == b'COMMIT':
            self._commit(run.connection)
        self.end(run.connection, state)

    def end(self, connection: str, state: bytes) -> None:
        """Drop the open writes of a transaction that has ended."""
        if state not in OPEN_STATES:
            self._open.pop(connection, None)

    def repeated(self) -> list[bytes]:
        """Return the writes that took effect more than once."""
        return [written for written, count in self.effects.items() if count > 1]

    def spread(self) -> dict[str, str]:
        """Return why a transaction was not on one connection, by attempt."""
        reasons: dict[str, str] = {}
        for attempt, begun in self.begins.items():
            if len(begun) > 1:
                reasons[attempt] = 'begun on several connections'
        for attempt, used in self.connections.items():
            if len(used) > 1 or not used <= self.begins.get(attempt, used):
                reasons[attempt] = 'several connections'
        return reasons

    def kept_in_spite(self) -> list[bytes]:
        """Return the writes that are kept although a promise was given."""
        return [
            written
            for written, attempt in self.attempts.items()
            if attempt in self.promised
        ]

    def _commit(self, connection: str) -> None:
        for sent in self._open.pop(connection, []):
            self.effects[sent.query.request_id] += 1
            self.attempts[sent.query.request_id] = sent.attempt
