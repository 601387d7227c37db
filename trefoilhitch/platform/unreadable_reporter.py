"""Records objects of the store that cannot be decoded."""

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.metrics import Metrics

# Characters of an error message that are logged.
MAX_DETAIL_CHARS = 200
# Number of objects that are remembered, so that each is logged once.
MAX_REMEMBERED = 1000


class UnreadableReporter:
    """Logs and counts objects that cannot be decoded, each of them once.

    Args:
        log: records each object.
        metrics: counts them by kind.

    """

    def __init__(self, log: DecisionLog, metrics: Metrics) -> None:
        """Initialise with the log and the metrics."""
        self._log = log
        self._metrics = metrics
        self._logged: dict[tuple[str, str], str] = {}
        self._nameless: dict[str, int] = {}

    def record(self, event: str, kind: str, name: str, exc: Exception) -> None:
        """Record an object whose content cannot be decoded.

        Args:
            event: name of the event.
            kind: kind of the object.
            name: name of the object.
            exc: why it cannot be decoded.

        """
        detail = str(exc)[:MAX_DETAIL_CHARS]
        if self._logged.get((kind, name)) == detail:
            return
        if len(self._logged) >= MAX_REMEMBERED:
            self._logged.clear()
        self._logged[kind, name] = detail
        self._metrics.count('unreadable_objects', kind)
        self._log.event(event, name=name[:MAX_DETAIL_CHARS], detail=detail)

    def record_nameless(self, kind: str, number: int) -> None:
        """Record objects of which not even the name can be decoded.

        Args:
            kind: kind of the objects.
            number: how many they are.

        """
        if self._nameless.get(kind) == number:
            return
        self._nameless[kind] = number
        self._metrics.add('unreadable_objects', number, kind)
        self._log.event('objects_unreadable', listing=kind, number=number)
