"""A replay of recorded failure traces gives the recorded outcomes."""

from pathlib import Path

import pytest
from msgspec import json
from msgspec.structs import replace

from trefoilhitch._generated.record import (
    PromotionRecord,
    RouteRecord,
    SuspicionRecord,
)
from trefoilhitch.trace import TraceError, first_difference, read_trace

TRACES = sorted((Path(__file__).parent / 'traces').glob('*.jsonl'))


def _records(name: str) -> list[object]:
    lines = (Path(__file__).parent / 'traces' / name).read_text().splitlines()
    return [record for _, record in read_trace(lines)]


def test_there_are_a_dozen_traces() -> None:
    assert len(TRACES) >= 12


@pytest.mark.parametrize('path', TRACES, ids=lambda path: path.stem)
def test_a_replay_gives_the_recorded_outcomes(path: Path) -> None:
    lines = path.read_text().splitlines()
    assert list(read_trace(lines))
    assert first_difference(lines) is None


@pytest.mark.parametrize('path', TRACES, ids=lambda path: path.stem)
def test_a_changed_outcome_is_found(path: Path) -> None:
    number, record = list(read_trace(path.read_text().splitlines()))[-1]
    match record:
        case RouteRecord():
            changed = replace(record, endpoint='nobody')
        case PromotionRecord():
            changed = replace(record, primary='nobody')
        case SuspicionRecord():
            changed = replace(record, claim=not record.claim)
        case _:
            changed = replace(record, owner='nobody')
    lines = path.read_text().splitlines()
    lines[number - 1] = json.encode(changed).decode()
    found = first_difference(lines)
    assert found is not None
    assert found.line == number


@pytest.mark.parametrize(
    ('name', 'primaries'),
    [
        ('primary_cut_with_node.jsonl', 2),
        ('longer_log_of_older_term.jsonl', 2),
        ('monitor_cut_from_primary.jsonl', 1),
        ('unfinished_fence.jsonl', 2),
        ('planned_switch.jsonl', 2),
    ],
)
def test_a_trace_contains_the_expected_promotions(
    name: str, primaries: int
) -> None:
    chosen = [
        record.primary
        for record in _records(name)
        if isinstance(record, PromotionRecord) and record.primary
    ]
    assert len(chosen) == primaries


def test_lines_without_a_decision_are_skipped() -> None:
    assert first_difference(['', '{"event":"started"}']) is None


@pytest.mark.parametrize('line', ['{', '{"kind":"route"}'])
def test_an_unreadable_line_is_reported_with_its_number(line: str) -> None:
    with pytest.raises(TraceError, match='line 2'):
        first_difference(['', line])
