"""Compares what clients sent with what endpoints ran.

The rules are those of the page: a statement runs unchanged, for the session
that sent it, with exactly the values and the prepared content that the session
was acknowledged, on its transaction's connection, and a write only once.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from types import MappingProxyType

from tests.connection_replay import (
    NO_REQUEST_ID,
    NOT_RUN,
    UNCLAIMED,
    ConnectionReplay,
    Run,
)
from tests.session_history import (
    OPEN_STATES,
    PROMISES,
    SentStatement,
    SessionHistory,
    answer_code,
    answer_state,
)
from tests.wire_grammar import (
    BLANK,
    LINE_END_BYTES,
    MAX_LINE_BYTES,
    Query,
    is_well_formed,
    without_minimum,
)
from tests.wire_journal import (
    ClientGot,
    ClientSent,
    EndpointAnswered,
    EndpointReceived,
    Event,
    SessionOpened,
)
from tests.write_ledger import WriteLedger

MAX_HELD_NAMES = 128
MAX_HELD_BYTES = 4194304
SHOWN_BYTES = 90
# A line may become longer than the client's by a MINLSN prefix and by a name of
# the product's own, so that it cannot be sent.
MAX_GROWTH_BYTES = MappingProxyType(
    {b'READ': 50, b'BEGIN': 50, b'PREPARE': 50, b'EXECUTE': 100}
)
FORWARDED = frozenset((b'READ', b'WRITE', b'EXECUTE', b'COMMIT'))
RENAMED = frozenset((b'PREPARE', b'EXECUTE', b'DEALLOC'))
MAY_HAVE_MINIMUM = frozenset((b'READ', b'BEGIN', b'EXECUTE'))


@dataclass(frozen=True, slots=True)
class Break:
    """A rule that was broken.

    Args:
        rule: name of the rule.
        reason: what was wrong.
        detail: statement and place.

    """

    rule: str
    reason: str
    detail: str

    @property
    def kind(self) -> tuple[str, str]:
        """Rule and reason, without what differs between runs."""
        return self.rule, self.reason.partition(',')[0]

    def __str__(self) -> str:
        """Return one line."""
        return f'{self.rule} {self.reason}: {self.detail}'


def check_journal(
    events: Iterable[Event], *, all_served: bool = False
) -> list[Break]:
    """Check a run.

    Args:
        events: all that crossed the sockets, in order.
        all_served: whether no fault was played, so that each well-formed
            statement has to be served.

    Returns:
        The broken rules, in the order in which they were broken.

    """
    checker = _WireChecker(all_served=all_served)
    for event in events:
        checker.feed(event)
    return checker.finish()


class _WireChecker:
    """Replays sessions and connections side by side."""

    def __init__(self, *, all_served: bool) -> None:
        self._all_served = all_served
        self._breaks: list[Break] = []
        self._sessions: dict[str, SessionHistory] = {}
        self._outstanding: dict[str, SentStatement | None] = {}
        self._sent: dict[bytes, SentStatement] = {}
        self._connections: dict[str, ConnectionReplay] = {}
        self._answers: defaultdict[bytes, list[tuple[bytes, ...]]]
        self._answers = defaultdict(list)
        self._ledger = WriteLedger()

    def feed(self, event: Event) -> None:
        """Take the next event."""
        match event:
            case SessionOpened(session, organisation):
                history = SessionHistory(session, organisation)
                self._sessions[session] = history
            case ClientSent(session, line):
                self._send(session, line)
            case ClientGot(session, lines):
                self._get(session, lines)
            case EndpointReceived(connection, line):
                self._receive(connection, line)
            case EndpointAnswered(connection, lines):
                self._answer(connection, lines)

    def finish(self) -> list[Break]:
        """Take statements without an answer as run, and look at all writes."""
        for connection in tuple(self._connections):
            self._answer(connection, ())
        for written in self._ledger.repeated():
            self._break('TWICE', 'took effect twice', self._sent[written])
        for written in self._ledger.kept_in_spite():
            self._break('REFUSED', 'kept after a promise', self._sent[written])
        for attempt, reason in self._ledger.spread().items():
            self._add('PINNED', reason, attempt)
        return self._breaks

    def _send(self, session: str, line: bytes) -> None:
        sent = self._sessions[session].send(line)
        self._outstanding[session] = sent
        if sent is not None:
            self._sent[sent.query.request_id] = sent

    def _get(self, session: str, lines: tuple[bytes, ...]) -> None:
        sent = self._outstanding.pop(session, None)
        if sent is None:
            return
        code = answer_code(lines)
        self._sessions[session].answer(sent, lines)
        if code in PROMISES:
            self._ledger.promised[sent.attempt] = code
        if code == b'NOSTMT' and _names_known(sent):
            self._break('PINNED', 'unknown though acknowledged', sent)
        if not code:
            self._check_receipt(sent, lines)
        if self._all_served and code and not self._may_refuse(sent, code):
            reason = f'refused with {code.decode()}'
            self._break('SERVED', reason, sent)

    def _may_refuse(self, sent: SentStatement, code: bytes) -> bool:
        if _may_node_refuse(sent, code):
            return True
        answers = self._answers[sent.query.request_id]
        refused = any(answer_code(lines) == code for lines in answers)
        # The page does not say that a write without data can run.
        return code == b'MALFORMED' and refused and _lacks_data(sent)

    def _check_receipt(
        self, sent: SentStatement, lines: tuple[bytes, ...]
    ) -> None:
        if sent.query.verb not in FORWARDED:
            return
        if sent.query.verb == b'COMMIT' and sent.state != b'T':
            return
        if lines[:-1] not in self._answers[sent.query.request_id]:
            self._break('MIXED', 'not what an endpoint answered', sent)

    def _receive(self, connection: str, line: bytes) -> None:
        if len(line) + LINE_END_BYTES > MAX_LINE_BYTES:
            self._add('SIZE', f'line of {len(line)} bytes', _shown(line))
        replay = self._connections.setdefault(
            connection, ConnectionReplay(connection)
        )
        run = replay.receive(line)
        if run is not None:
            self._check_text(run)

    def _check_text(self, run: Run) -> None:
        query = run.query
        if query.request_id == NO_REQUEST_ID:
            if without_minimum(query).verb in FORWARDED:
                self._break_run('UNASKED', 'sent without an id', run)
            return
        sent = self._sent.get(query.request_id)
        if sent is None:
            self._break_run('UNASKED', 'id that no client sent', run)
        elif not _is_same_text(sent.query, query):
            self._break_run('UNASKED', 'changed text', run)

    def _answer(self, connection: str, lines: tuple[bytes, ...]) -> None:
        replay = self._connections.get(connection)
        if replay is None or replay.pending is None:
            return
        sent = self._sent.get(replay.pending.query.request_id)
        run = replay.answer(lines, sent.attempt if sent else '')
        self._check_held(replay)
        if run is None:
            return
        if sent is None:
            self._ledger.end(connection, answer_state(lines))
        else:
            self._answer_client(run, sent, lines)

    def _answer_client(
        self, run: Run, sent: SentStatement, lines: tuple[bytes, ...]
    ) -> None:
        code = answer_code(lines)
        state = answer_state(lines)
        self._answers[sent.query.request_id].append(lines[:-1])
        if code in NOT_RUN or _cannot_have_run(run, lines):
            self._ledger.end(run.connection, state)
            return
        self._check_run(run, sent)
        self._ledger.record(run, sent, code=code, state=state)

    def _check_run(self, run: Run, sent: SentStatement) -> None:
        if run.organisation != sent.organisation:
            self._break_run('UNASKED', 'for another organisation', run)
        if run.variables != sent.variables:
            expected = _shown(repr(sent.variables).encode())
            self._break_run('PINNED', f'values, not {expected}', run)
        if sent.query.verb == b'EXECUTE' and run.shape != sent.shape:
            expected = _shown(repr(sent.shape).encode())
            self._break_run('PINNED', f'ran a shape, not {expected}', run)
        if run.owner not in _allowed_owners(sent):
            reason = f'in transaction {run.owner or "-"}, not {sent.attempt}'
            self._break_run('PINNED', reason, run)

    def _check_held(self, replay: ConnectionReplay) -> None:
        if len(replay.prepared) > MAX_HELD_NAMES:
            count = len(replay.prepared)
            self._add('HELD', f'{count} names', replay.connection)
        if replay.held_bytes > MAX_HELD_BYTES:
            self._add('HELD', f'{replay.held_bytes} bytes', replay.connection)

    def _break(self, rule: str, reason: str, sent: SentStatement) -> None:
        self._add(rule, reason, f'{sent.session} {_shown(sent.line)}')

    def _break_run(self, rule: str, reason: str, run: Run) -> None:
        ran = f'{run.connection} {_shown(run.query.text)}'
        shape = _shown(repr(run.shape).encode()) if run.shape else ''
        held = _shown(repr(run.variables).encode()) if run.variables else ''
        sent = self._sent.get(run.query.request_id)
        line = _shown(sent.line) if sent else 'nothing'
        detail = f'{ran} {shape} {held} for {line}'
        self._add(rule, reason, detail)

    def _add(self, rule: str, reason: str, detail: str) -> None:
        self._breaks.append(Break(rule, reason, detail))


def _cannot_have_run(run: Run, lines: tuple[bytes, ...]) -> bool:
    """Return whether an unanswered EXECUTE named what was not prepared."""
    is_execute = without_minimum(run.query).verb == b'EXECUTE'
    return is_execute and not lines and run.shape is None


def _allowed_owners(sent: SentStatement) -> frozenset[str]:
    if sent.in_transaction and sent.query.verb != b'BEGIN':
        return frozenset((sent.attempt, UNCLAIMED))
    return frozenset(('',))


def _names_known(sent: SentStatement) -> bool:
    return sent.query.verb == b'EXECUTE' and sent.shape is not None


def _is_same_text(sent: Query, received: Query) -> bool:
    if received.text == sent.text:
        return True
    plain = without_minimum(received)
    if plain != received and plain.verb not in MAY_HAVE_MINIMUM:
        return False
    if plain.verb not in RENAMED or plain.verb != sent.verb:
        return plain.text == sent.text
    return plain.fields[1:] == sent.fields[1:]


def _may_node_refuse(sent: SentStatement, code: bytes) -> bool:
    """Return whether a statement may be refused although nothing failed."""
    if not is_well_formed(sent.line):
        return True
    verb = sent.query.verb
    if code == b'NOSTMT':
        known = sent.shape is not None
        return verb in {b'EXECUTE', b'DEALLOC'} and not known
    if code == b'READONLY':
        return sent.writes and sent.read_only and sent.state == b'T'
    if code == b'ABORTED':
        # A failed transaction is rolled back, whichever way it is ended.
        return verb == b'COMMIT' and sent.state == b'E'
    return code == b'MALFORMED' and _cannot_run(sent)


def _cannot_run(sent: SentStatement) -> bool:
    verb = sent.query.verb
    is_begin = verb == b'BEGIN'
    if sent.state == b'E' or (is_begin and sent.state in OPEN_STATES):
        return True
    growth = MAX_GROWTH_BYTES.get(verb, 0)
    size = len(sent.line) + LINE_END_BYTES + growth
    return size > MAX_LINE_BYTES


def _lacks_data(sent: SentStatement) -> bool:
    """Return whether EXECUTE names a write but carries no data."""
    if sent.query.verb != b'EXECUTE' or not sent.writes:
        return False
    return BLANK not in sent.query.padded[1]


def _shown(line: bytes) -> str:
    text = line[:SHOWN_BYTES].decode('latin-1').encode('unicode_escape')
    return text.decode('ascii')
