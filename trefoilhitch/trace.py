"""Replays recorded decisions and compares their outcomes."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, TypeAlias

from msgspec import ValidationError, convert

from trefoilhitch import placement, promotion, routing
from trefoilhitch._generated.record import (
    PlacementRecord,
    PromotionRecord,
    RouteRecord,
    SuspicionRecord,
)
from trefoilhitch.errors import TrefoilhitchError
from trefoilhitch.json_decoding import UnreadableJsonError, decode_json

Record: TypeAlias = (
    RouteRecord | PlacementRecord | SuspicionRecord | PromotionRecord
)
_RECORD_TYPES: Mapping[str, type[Record]] = MappingProxyType(
    {
        'route': RouteRecord,
        'placement': PlacementRecord,
        'suspicion': SuspicionRecord,
        'promotion': PromotionRecord,
    }
)


class TraceError(TrefoilhitchError):
    """A line of a trace cannot be read."""


@dataclass(frozen=True, slots=True)
class Difference:
    """A decision whose replayed outcome differs from the recorded one.

    Args:
        line: number of the line, from 1.
        record: the recorded decision.
        recorded: the recorded outcome.
        replayed: the outcome of the replay.

    """

    line: int
    record: Record
    recorded: str
    replayed: str


def read_trace(lines: Iterable[str]) -> Iterator[tuple[int, Record]]:
    """Read the decisions of a trace or a log, skipping all other lines.

    Args:
        lines: JSON lines, as the log writes them.

    Yields:
        Line numbers and records.

    Raises:
        TraceError: a line is not JSON, or a record lacks a field.

    """
    for number, line in enumerate(lines, start=1):
        record = _read_line(number, line) if line.strip() else None
        if record is not None:
            yield number, record


def first_difference(lines: Iterable[str]) -> Difference | None:
    """Replay a trace up to the first difference.

    Args:
        lines: JSON lines, as the log writes them.

    Returns:
        The first difference, None if there is none.

    """
    for number, record in read_trace(lines):
        recorded = _recorded_outcome(record)
        replayed = _replayed_outcome(record)
        if recorded != replayed:
            return Difference(number, record, recorded, replayed)
    return None


def _read_line(number: int, line: str) -> Record | None:
    try:
        return _convert_record(decode_json(line, dict[str, Any]))
    except (TraceError, UnreadableJsonError, ValidationError) as exc:
        raise TraceError(f'line {number}: {exc}') from exc


def _convert_record(logged: Mapping[str, Any]) -> Record | None:
    fields = logged.get('record', logged)
    if not isinstance(fields, Mapping):
        raise TraceError('the record is not an object')
    record_type = _RECORD_TYPES.get(str(fields.get('kind', '')))
    return None if record_type is None else convert(fields, record_type)


def _recorded_outcome(record: Record) -> str:
    match record:
        case RouteRecord():
            return f'{record.endpoint} {record.reason}'
        case PlacementRecord():
            return record.owner
        case SuspicionRecord():
            return f'{record.claim} {record.reason}'
        case PromotionRecord():
            return f'{record.primary} {record.reason}'


def _replayed_outcome(record: Record) -> str:
    match record:
        case RouteRecord():
            route = routing.replay_route(record)
            return f'{route.endpoint} {route.reason}'
        case PlacementRecord():
            return placement.replay_placement(record) or ''
        case SuspicionRecord():
            suspicion = promotion.replay_suspicion(record)
            return f'{suspicion.claim} {suspicion.reason}'
        case PromotionRecord():
            choice = promotion.replay_promotion(record)
            return f'{choice.primary} {choice.reason}'
