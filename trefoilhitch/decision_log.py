"""The structured log: JSON lines, one for each decision and event."""

from typing import Any, Protocol

from logbook import Logger, LogRecord, StreamHandler, lookup_level
from msgspec import Struct
from msgspec.json import Encoder

_ENCODER = Encoder()
_RECORD_KEY = 'record'


class DecisionLog(Protocol):
    """Takes note of decisions and events."""

    def decision(self, record: Struct) -> None:
        """Take note of a decision.

        Args:
            record: its inputs and its outcome.

        """

    def event(self, kind: str, **fields: Any) -> None:
        """Take note of an event.

        Args:
            kind: what happened.
            fields: with what.

        """

    def report(self, exc: Exception) -> None:
        """Take note of a failure that was not expected.

        Args:
            exc: what was raised.

        """


class NullLog:
    """Takes note of nothing."""

    def decision(self, record: Struct) -> None:
        """Drop a decision.

        Args:
            record: its inputs and its outcome.

        """

    def event(self, kind: str, **fields: Any) -> None:
        """Drop an event.

        Args:
            kind: what happened.
            fields: with what.

        """

    def report(self, exc: Exception) -> None:
        """Drop a failure.

        Args:
            exc: what was raised.

        """


class LineStream(Protocol):
    """Takes whole lines."""

    def write(self, text: str, /) -> int:
        """Take a line.

        Args:
            text: the line with its end.

        Returns:
            Its length.

        """

    def flush(self) -> None:
        """Have the lines written."""


class JsonLinesHandler(StreamHandler):  # type: ignore[misc]
    """Writes each log record as one JSON line.

    Args:
        stream: where the lines go.
        level: least level that is written.

    """

    def __init__(self, stream: LineStream, level: str = 'info') -> None:
        """Open nothing: the stream belongs to the caller."""
        super().__init__(stream, level=lookup_level(level.upper()))

    def format(self, record: LogRecord) -> str:
        """Return the line for a record.

        Args:
            record: what was logged.

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
            entry['traceback'] = record.formatted_exception
        return _ENCODER.encode(entry).decode()


class LogbookLog:
    """Writes decisions and events to a logbook handler.

    Args:
        node: name of this node.
        sink: where the records go.

    """

    def __init__(self, *, node: str, sink: StreamHandler) -> None:
        """Keep the sink."""
        self._logger = Logger(node)
        self._logger.handlers.append(sink)

    def decision(self, record: Struct) -> None:
        """Write a decision.

        Args:
            record: its inputs and its outcome.

        """
        self._logger.info(_event_name(record), extra={_RECORD_KEY: record})

    def event(self, kind: str, **fields: Any) -> None:
        """Write an event.

        Args:
            kind: what happened.
            fields: with what.

        """
        self._logger.info(kind, extra={_RECORD_KEY: fields})

    def report(self, exc: Exception) -> None:
        """Write a failure that was not expected, with its traceback.

        Args:
            exc: what was raised.

        """
        self._logger.error(
            'unexpected_failure',
            exc_info=(type(exc), exc, exc.__traceback__),
            extra={_RECORD_KEY: {'type': type(exc).__name__, 'text': str(exc)}},
        )


def _event_name(record: Struct) -> str:
    return getattr(record, 'kind', type(record).__name__)
