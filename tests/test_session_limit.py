"""A client cannot use up a node's memory with the state of its session."""

from hypothesis import given
from hypothesis import strategies as st

from trefoilhitch.pooler.session import SessionData
from trefoilhitch.pooler.session_limit import ENTRY_CHARS, MAX_STATE_CHARS
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
            stored = session.set_variable(name, text)
        elif kind == 'prepare':
            stored = session.prepare(name, PreparedStatement('read', text))
        else:
            stored = session.deallocate(name)
            assert stored == (name in before[1])
        if not stored:
            assert before == (session.variables, session.prepared)
        assert _state_chars(session) <= MAX_STATE_CHARS


def test_entries_of_no_text_are_counted() -> None:
    session = SessionData('orders', 'himal', 'key')
    names = [f'name-{number}' for number in range(MAX_STATE_CHARS // 256)]
    assert not all(session.set_variable(name, '') for name in names)


def test_room_of_removed_statements_is_used_again() -> None:
    session = SessionData('orders', 'himal', 'key')
    large = PreparedStatement('read', 'x' * 1048000)
    for number in range(100):
        assert session.prepare('s1', large)
        if number % 2:
            assert session.deallocate('s1')


def _state_chars(session: SessionData) -> int:
    texts = list(session.variables.items())
    texts += [(name, each.body) for name, each in session.prepared.items()]
    return sum(ENTRY_CHARS + len(name) + len(text) for name, text in texts)
