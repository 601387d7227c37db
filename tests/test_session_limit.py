"""A client cannot use up a node's memory with the state of its session."""

from hypothesis import given
from hypothesis import strategies as st

from trefoilhitch.pooler.response import Refusal
from trefoilhitch.pooler.session import SessionData
from trefoilhitch.pooler.session_limit import (
    ENTRY_CHARS,
    MAX_STATE_CHARS,
    MAX_VARIABLES,
    NodeLimit,
    SessionLimit,
)
from trefoilhitch.pooler.statement import PreparedStatement

NAMES = st.sampled_from('abc')
TEXTS = st.sampled_from(['', 'short', 'x' * 1048000, 'x' * 3000000])
STEPS = st.lists(
    st.tuples(st.sampled_from(['set', 'prepare', 'drop']), NAMES, TEXTS),
    max_size=30,
)


@given(STEPS)
def test_state_of_a_session_stays_within_the_limit(
    steps: list[tuple[str, str, str]],
) -> None:
    session = SessionData('orders', 'himal', 'key')
    for kind, name, text in steps:
        before = (dict(session.variables), dict(session.prepared))
        if kind == 'set':
            stored = session.set_variable(name, text) is None
        elif kind == 'prepare':
            prepared = PreparedStatement('read', text)
            stored = session.prepare(name, prepared) is None
        else:
            stored = session.deallocate(name)
            assert stored == (name in before[1])
        if not stored:
            assert before == (session.variables, session.prepared)
        assert _state_chars(session) <= MAX_STATE_CHARS


def test_entries_of_no_text_are_counted() -> None:
    session = SessionData('orders', 'himal', 'key')
    names = [f'name-{number}' for number in range(MAX_STATE_CHARS // 256)]
    empty = PreparedStatement('read', '')
    assert any(session.prepare(name, empty) for name in names)


def test_session_holds_more_variables_than_can_be_sent_at_once() -> None:
    session = SessionData('orders', 'himal', 'key')
    names = [f'name-{number}' for number in range(MAX_VARIABLES + 1)]
    refusals = [session.set_variable(name, '') for name in names]
    assert refusals.count(None) == MAX_VARIABLES
    assert refusals[-1] == Refusal.MALFORMED
    assert session.set_variable(names[0], 'changed') is None


def test_room_of_removed_statements_is_used_again() -> None:
    session = SessionData('orders', 'himal', 'key')
    large = PreparedStatement('read', 'x' * 1048000)
    for number in range(100):
        assert session.prepare('s1', large) is None
        if number % 2:
            assert session.deallocate('s1')


def test_large_sessions_leave_room_for_small_ones() -> None:
    node = NodeLimit()
    sessions = [
        SessionData('orders', 'himal', 'key', limit=SessionLimit(node))
        for _ in range(100)
    ]
    refusals = [each.set_variable('a', 'x' * 1048000) for each in sessions]
    assert refusals[:32] == [None for _ in range(32)]
    assert set(refusals[32:]) == {Refusal.BUSY}
    assert not any(each.set_variable('b', 'x' * 900) for each in sessions[32:])
    sessions[0].limit.release_all()
    assert sessions[50].set_variable('a', 'x' * 1048000) is None
    for each in sessions:
        each.limit.release_all()
    assert node.chars == 0


def _state_chars(session: SessionData) -> int:
    texts = list(session.variables.items())
    texts += [(name, each.body) for name, each in session.prepared.items()]
    return sum(ENTRY_CHARS + len(name) + len(text) for name, text in texts)
