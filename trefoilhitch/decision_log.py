"""Structured log: one JSON line for each decision and event."""

from typing import Any, Protocol

from logbook import Logger, LogRecord, StreamHandler, lookup_level
from msgspec import Struct
from msgspec.json import Encoder

from trefoilhitch.json_decoding import UnreadableJsonError, decode_json
from trefoilhitch.log_buffer import MAX_BUFFER_BYTES
from trefoilhitch.loggable import escape_in_json, make_loggable, shorten_texts

_ENCODER = Encoder()
_RECORD_KEY = 'record'
_TRACEBACK_KEY = 'traceback'
# Length up to which no text of a line is shortened. Most lines have less than
# 1 KB; clients may choose names and request ids of 1 MiB.
LONG_LINE_BYTES = 4096
# Length of each text in longer lines.
MAX_TEXT_CHARS = 300
# A longer line is reduced to what `make_loggable` keeps. Half of the buffer of
# the log, which drops a line that it has no room for.
MAX_LINE_BYTES = MAX_BUFFER_BYTES // 2


class DecisionLog(Protocol):
    """Logs decisions and events."""

    def decision(self, record: Struct) -> None:
        """Log a decision.

        Args:
            record: the decision's inputs and outcome.

        """

    def event(self, kind: str, **fields: Any) -> None:
        """Log an event.

        Args:
            kind: name of the event.
            fields: fields of the event.

        """

    def report(self, exc: Exception) -> None:
        """Log an unexpected exception.

        Args:
            exc: the exception.

        """


class NullLog:
    """Discards everything."""

    def decision(self, record: Struct) -> None:
        """Discard a decision.

        Args:
            record: the decision's inputs and outcome.

        """

    def event(self, kind: str, **fields: Any) -> None:
        """Discard an event.

        Args:
            kind: name of the event.
            fields: fields of the event.

        """

    def report(self, exc: Exception) -> None:
        """Discard an exception.

        Args:
            exc: the exception.

        """


class LineStream(Protocol):
    """Accepts whole lines."""

    def write(self, text: str, /) -> int:
        """Write a line.

        Args:
            text: the line with its end.

        Returns:
            Length of the line in characters.

        """

    def flush(self) -> None:
        """Write the lines that are still buffered."""


class JsonLinesHandler(StreamHandler):  # type: ignore[misc]
    """Writes each log record as one JSON line.

    Args:
        stream: stream that the lines are written to.
        level: lowest level that is written.

    """

    def __init__(self, stream: LineStream, level: str = 'info') -> None:
        """Initialise the handler; the caller owns the stream."""
        super().__init__(stream, level=lookup_level(level.upper()))

    def format(self, record: LogRecord) -> str:
        """Format a record as a line.

        Args:
            record: the log record.

        Returns:
            JSON without a line end.

        """
        entry = {
            'time': record.time.isoformat(),
            'level': record.level_name.lower(),
            'node': record.channel,
            'event': record.message,
        }
        fields = record.extra.get(_RECORD_KEY)
        if fields:
            entry['record'] = fields
        if record.exc_info:
            entry[_TRACEBACK_KEY] = record.formatted_exception
        return _encode(entry)


class LogbookLog:
    """Writes decisions and events to a logbook handler.

    Args:
        node: name of this node.
        sink: handler that writes the records.

    """

    def __init__(self, *, node: str, sink: StreamHandler) -> None:
        """Initialise a logger with the sink as its only handler."""
        self._logger = Logger(node)
        self._logger.handlers.append(sink)

    def decision(self, record: Struct) -> None:
        """Log a decision.

        Args:
            record: the decision's inputs and outcome.

        """
        self._logger.info(_event_name(record), extra={_RECORD_KEY: record})

    def event(self, kind: str, **fields: Any) -> None:
        """Log an event.

        Args:
            kind: name of the event.
            fields: fields of the event.

        """
        self._logger.info(kind, extra={_RECORD_KEY: fields})

    def report(self, exc: Exception) -> None:
        """Log an unexpected exception with its traceback.

        Args:
            exc: the exception.

        """
        self._logger.error(
            'unexpected_failure',
            exc_info=(type(exc), exc, exc.__traceback__),
            extra={
                _RECORD_KEY: {'type': type(exc).__name__, 'text': _text(exc)}
            },
        )


def _text(exc: Exception) -> str:
    try:
        return str(exc)
    except Exception as failure:
        return f'no text: {type(failure).__name__}'


def _encode(entry: dict[str, Any]) -> str:
    try:
        line = _to_json(entry)
    except (TypeError, ValueError, RecursionError):
        # A field that others wrote must not cost the line.
        line = _to_json(make_loggable(entry))
    if len(line) > LONG_LINE_BYTES:
        line = _shorten(line, entry)
    return line.decode()


def _shorten(line: bytes, entry: dict[str, Any]) -> bytes:
    """Shorten a line, so that it does not cost lines of others."""
    loggable = make_loggable(entry)
    try:
        shortened = shorten_texts(
            decode_json(line, dict[str, Any]), MAX_TEXT_CHARS
        )
    except (UnreadableJsonError, RecursionError):
        shortened = loggable
    traceback = loggable.get(_TRACEBACK_KEY)
    if traceback is not None:
        shortened[_TRACEBACK_KEY] = traceback
    encoded = _to_json(shortened)
    if len(encoded) > MAX_LINE_BYTES:
        encoded = _to_json(make_loggable(shortened))
    if len(encoded) > MAX_LINE_BYTES:
        # Many texts at several levels.
        beginning = encoded[:LONG_LINE_BYTES].decode(errors='replace')
        encoded = _to_json({**shortened, _RECORD_KEY: beginning})
    return encoded


def _to_json(entry: dict[str, Any]) -> bytes:
    return escape_in_json(_ENCODER.encode(entry))


def _event_name(record: Struct) -> str:
    return getattr(record, 'kind', type(record).__name__)
