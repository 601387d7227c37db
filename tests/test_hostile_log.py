"""A log line is written whatever it logs, and whoever reads the log."""

import os
from io import StringIO
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import Struct
from msgspec.json import decode

from tests.support import with_virtual_clock
from trefoilhitch.decision_log import (
    LONG_LINE_BYTES,
    JsonLinesHandler,
    LogbookLog,
)
from trefoilhitch.log_buffer import MAX_BUFFER_BYTES
from trefoilhitch.log_writer import LogWriter

LEVELS = 3000
TEXT = st.text(st.characters(exclude_categories=()), max_size=20)
SCALAR = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.integers(min_value=2**64, max_value=2**20000),
    st.floats(),
    st.binary(max_size=5),
    TEXT,
)
FIELD = st.recursive(
    SCALAR,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(
            st.one_of(TEXT, st.integers(), st.tuples(TEXT)), inner, max_size=3
        ),
    ),
    max_leaves=10,
)


class _Decision(Struct):
    text: str
    number: int


def _nested(levels: int) -> list[Any]:
    nested: list[Any] = []
    for _ in range(levels):
        nested = [nested]
    return nested


def _lines(stream: StringIO) -> list[dict[str, Any]]:
    return [
        decode(line, type=dict[str, Any])
        for line in stream.getvalue().split('\n')
        if line
    ]


def _make_log(stream: StringIO) -> LogbookLog:
    return LogbookLog(node='node-1', sink=JsonLinesHandler(stream))


@pytest.mark.parametrize(
    'logged',
    [
        '\ud800',
        2**70,
        10**5000,
        {('a', 1): 'b'},
        {None: 1},
        object(),
        _nested(LEVELS),
        float('nan'),
    ],
    ids=lambda logged: type(logged).__name__,
)
def test_odd_field_does_not_cost_the_line(logged: Any) -> None:
    stream = StringIO()
    _make_log(stream).event('entry_ignored', endpoint='e-1', detail=logged)
    line = _lines(stream)[0]
    assert line['event'] == 'entry_ignored'
    assert line['record']['endpoint'] == 'e-1'


@given(st.dictionaries(TEXT, FIELD, max_size=4))
def test_any_fields_are_logged(fields: dict[str, Any]) -> None:
    stream = StringIO()
    log = _make_log(stream)
    log.event('odd', **{f'x{name}': each for name, each in fields.items()})
    assert [line['event'] for line in _lines(stream)] == ['odd']


def test_decisions_and_exceptions_with_odd_text_are_logged() -> None:
    stream = StringIO()
    log = _make_log(stream)
    log.decision(_Decision('\ud800', 10**5000))
    log.report(ValueError('\ud800'))
    log.report(ValueError(10**5000))
    events = [line['event'] for line in _lines(stream)]
    assert events == ['_Decision', 'unexpected_failure', 'unexpected_failure']


@with_virtual_clock
async def test_log_without_a_reader_drops_lines_and_goes_on() -> None:
    source, sink = os.pipe()
    writer = LogWriter(sink)
    os.close(source)
    writer.write('one\n')
    writer.write('two\n')
    assert writer.drain() == 2
    assert writer.drain() == 0
    os.close(sink)


@pytest.mark.parametrize(
    'text', ['x', '"', '\x01', '\x80', 'é', '\U0001f600', '\ud800']
)
def test_long_texts_are_cut(text: str) -> None:
    # Guards against a client whose lines fill the buffer of the log, so that
    # lines of others are dropped: names, request ids, databases and details
    # may be as long as a message, 1 MiB.
    stream = StringIO()
    sent = text * 2**20
    _make_log(stream).event(
        'statement', request=sent, detail=sent, nested=[{sent: sent}], took=1.5
    )
    line = _lines(stream)[0]
    assert len(stream.getvalue().encode()) < MAX_BUFFER_BYTES / 10
    assert line['record']['took'] == 1.5
    assert line['record']['request'].endswith(' characters)')


def _fail() -> None:
    raise ValueError('x' * 2**20) from KeyError('y' * LONG_LINE_BYTES)


def test_a_traceback_is_longer_than_other_texts() -> None:
    # Guards against a failure whose frames the log does not show.
    stream = StringIO()
    try:
        _fail()
    except ValueError as exc:
        _make_log(stream).report(exc)
    line = _lines(stream)[0]
    assert len(stream.getvalue()) < MAX_BUFFER_BYTES / 10
    assert 'in _fail' in line['traceback']


def test_deep_lists_of_texts_are_bounded() -> None:
    # Guards against a line whose fields branch at each level.
    stream = StringIO()
    texts: Any = 'x' * 300
    for _ in range(4):
        texts = [texts for _ in range(20)]
    _make_log(stream).event('odd', texts=texts)
    assert len(stream.getvalue().encode()) < MAX_BUFFER_BYTES / 2
    assert _lines(stream)[0]['event'] == 'odd'


@pytest.mark.parametrize('levels', [100, 300, 500, 900])
def test_long_nested_fields_are_logged(levels: int) -> None:
    # Guards against fields that can be encoded, but not be shortened.
    stream = StringIO()
    fields = [_nested(levels), 'x' * LONG_LINE_BYTES]
    _make_log(stream).event('odd', fields=fields)
    assert _lines(stream)[0]['event'] == 'odd'


@pytest.mark.parametrize('text', ['x', '\x80'])
def test_many_long_texts_are_bounded_together(text: str) -> None:
    # Guards against a line that alone exceeds the buffer and is dropped.
    stream = StringIO()
    names = [f'{number}{text * 200}' for number in range(10000)]
    _make_log(stream).event('objects_unreadable', names=names)
    assert len(stream.getvalue().encode()) < MAX_BUFFER_BYTES / 2
    assert _lines(stream)[0]['record']['names'][0] == names[0]


def test_long_lists_of_short_texts_stay_whole() -> None:
    # Guards against decisions that cannot be replayed from the log.
    stream = StringIO()
    names = [f'i-{number}' for number in range(2000)]
    _make_log(stream).event('declaration_in_force', names=names)
    assert _lines(stream)[0]['record']['names'] == names


@pytest.mark.parametrize(
    'text', ['\x9b31m', '\x7f', '\x85', '\u2028', '\u202e', '\x1b]0;x\x07']
)
def test_a_terminal_shows_control_characters_escaped(text: str) -> None:
    # Guards against names that move the cursor, or tear or reorder a line,
    # where an operator looks at the log.
    stream = StringIO()
    _make_log(stream).event('statement', detail=text)
    assert len(stream.getvalue().splitlines()) == 1
    assert text not in stream.getvalue()
    assert _lines(stream)[0]['record']['detail'] == text


@given(TEXT)
def test_texts_that_are_escaped_keep_their_value(text: str) -> None:
    stream = StringIO()
    _make_log(stream).event('odd', detail=text)
    shown = text.encode('utf-8', 'backslashreplace').decode()
    assert _lines(stream)[0]['record']['detail'] == shown
