"""The metrics page stays readable, whatever others choose as names.

Endpoints choose their ids: any printable Latin-1 characters but blanks.
"""

import re
from collections.abc import Iterator

import pytest
from hypothesis import given
from hypothesis import strategies as st

from trefoilhitch.metrics import (
    MAX_LABEL_CHARS,
    MAX_LABELS,
    OTHER_LABEL,
    Gauge,
    Metrics,
)

# A line of the Prometheus text format, by its published grammar.
SAMPLE = re.compile(
    r'(?P<name>[a-zA-Z_:][a-zA-Z0-9_:]*)'
    r'(\{(?P<key>[a-zA-Z_][a-zA-Z0-9_]*)="(?P<label>([^"\\\n]|\\[\\"n])*)"\})?'
    r' (?P<number>[-+.0-9a-zA-Z]+)',
)
ESCAPED = {r'\\': '\\', r'\"': '"', r'\n': '\n'}
ODD_LABELS = (
    'i"1',
    'i\\',
    'i"} 1\ntrefoilhitch_forged_total{kind="x',
    '\ud800',
    'é',
    r'\n',
)


def unescape(found: re.Match[str]) -> str:
    """Return the character that an escape sequence stands for."""
    return ESCAPED[found[0]]


def samples(text: str) -> Iterator[tuple[str, str, float]]:
    """Parse a metrics page; yield name, label and number of each sample."""
    for line in text.split('\n')[:-1]:
        if line.startswith('# TYPE '):
            continue
        parsed = SAMPLE.fullmatch(line)
        assert parsed is not None, line
        label = re.sub(r'\\.', unescape, parsed['label'] or '')
        yield parsed['name'], label, float(parsed['number'])


def counted(metrics: Metrics, name: str) -> dict[str, float]:
    """Return the numbers of a counter by label; each may stand there once."""
    found = [
        (label, number)
        for sample, label, number in samples(metrics.render())
        if sample == f'trefoilhitch_{name}'
    ]
    assert len(dict(found)) == len(found)
    return dict(found)


def sendable(label: str) -> str:
    """Return a label as it can be encoded."""
    return label.encode('utf-8', 'backslashreplace').decode()


@pytest.mark.parametrize('label', ODD_LABELS)
def test_an_odd_label_stays_within_its_sample(label: str) -> None:
    # Guards against a name that breaks the page, or forges other metrics.
    metrics = Metrics()
    metrics.count('reads_sent', label)
    metrics.add_gauges(lambda: [Gauge('limit', 1, 'endpoint', label)])
    assert counted(metrics, 'reads_sent_total') == {sendable(label): 1}
    assert counted(metrics, 'limit') == {sendable(label): 1}
    assert 'trefoilhitch_forged_total' not in {
        name for name, _, _ in samples(metrics.render())
    }


@given(st.lists(st.text(st.characters(exclude_categories=())), max_size=5))
def test_any_labels_are_counted_apart(labels: list[str]) -> None:
    metrics = Metrics()
    for label in labels:
        metrics.count('reads_sent', label)
    metrics.render().encode()
    shown = counted(metrics, 'reads_sent_total')
    assert sum(shown.values()) == len(labels)
    assert set(shown) == {sendable(label) for label in labels}


def test_a_long_label_is_cut() -> None:
    # Guards against a page of many MiB.
    metrics = Metrics()
    for end in 'ab':
        metrics.count('reads_sent', 'x' * 2**20 + end)
    metrics.add_gauges(lambda: [Gauge('limit', 1, 'endpoint', 'x' * 2**20)])
    cut = 'x' * MAX_LABEL_CHARS
    assert counted(metrics, 'reads_sent_total') == {cut: 2}
    assert counted(metrics, 'limit') == {cut: 1}


def test_labels_beyond_the_limit_are_counted_together() -> None:
    # Guards against memory that grows with each endpoint that ever was.
    metrics = Metrics()
    for number in range(2 * MAX_LABELS):
        metrics.count('reads_sent', f'i-{number}')
    metrics.count('reads_sent', 'i-0')
    metrics.count('writes_sent', 'i-0')
    shown = counted(metrics, 'reads_sent_total')
    assert len(shown) == MAX_LABELS + 1
    assert (shown['i-0'], shown[OTHER_LABEL]) == (2, MAX_LABELS)
    assert counted(metrics, 'writes_sent_total') == {'i-0': 1}


def test_gauges_beyond_the_limit_are_left_out() -> None:
    # Guards against a page that grows with names that others choose.
    metrics = Metrics()
    metrics.add_gauges(
        lambda: [
            Gauge('limit', 1, 'endpoint', f'i-{number}')
            for number in range(2 * MAX_LABELS)
        ]
    )
    assert len(counted(metrics, 'limit')) == MAX_LABELS
