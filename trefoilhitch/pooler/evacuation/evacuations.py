"""Applies what the store and other nodes say about evacuations."""

from collections.abc import Callable

from trefoilhitch._generated.peer import EvacuationReport
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.evacuation.evacuated_data_centres import (
    EvacuatedDataCentres,
    EvacuationChange,
)
from trefoilhitch.pooler.object_watcher import Changes


class Evacuations:
    """Keeps the evacuated data centres up to date.

    Args:
        data_centres: the evacuated data centres.
        clock: returns seconds on a clock that includes suspended time.
        notify_change: wakes the statements that wait for a change.
        log: records which evacuations begin and end.
        metrics: shows how many are in force.

    """

    def __init__(
        self,
        *,
        data_centres: EvacuatedDataCentres,
        clock: Callable[[], float],
        notify_change: Callable[[], None],
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        """Store the dependencies."""
        self._data_centres = data_centres
        self._clock = clock
        self._notify_change = notify_change
        self._log = log
        self._metrics = metrics
        self._show_number()

    def report(self) -> EvacuationReport | None:
        """Return the report for other nodes, None if there is none."""
        return self._data_centres.report()

    def replace_all(self, listing: Changes[str]) -> bool:
        """Apply a listing of the store.

        Args:
            listing: all evacuations.

        Returns:
            Whether anything has changed.

        """
        return self._record(
            self._data_centres.replace_all(
                listing.present.keys(),
                listing.revision,
                listing.era,
                self._clock(),
            )
        )

    def apply(self, changes: Changes[str]) -> bool:
        """Apply changes of the store.

        Args:
            changes: evacuations that exist, and names of those that do not.

        Returns:
            Whether anything has changed.

        """
        return self._record(
            self._data_centres.apply_changes(
                changes.present.keys(),
                changes.absent,
                changes.revision,
                self._clock(),
            )
        )

    def merge(self, report: EvacuationReport | None) -> bool:
        """Apply the report of another node.

        Args:
            report: its report, None if it knows of no evacuation.

        Returns:
            Whether anything has changed.

        """
        if report is None:
            return False
        return self._record(self._data_centres.merge(report, self._clock()))

    def tick(self) -> None:
        """Record that this process runs."""
        self._data_centres.suspension.tick(self._clock())

    def confirm(self, sent_at: float) -> None:
        """Record that another node answered.

        Args:
            sent_at: when its answer was requested.

        """
        self._data_centres.suspension.confirm(sent_at)

    def expire(self) -> bool:
        """End what the store has lacked for too long since its restoration.

        Returns:
            Whether anything has changed.

        """
        return self._record(self._data_centres.expire(self._clock()))

    def _record(self, change: EvacuationChange) -> bool:
        if change.is_empty:
            return False
        self._log_each('evacuation_began', change.began)
        self._log_each('evacuation_ended', change.ended)
        self._show_number()
        self._notify_change()
        return True

    def _log_each(self, event: str, names: tuple[str, ...]) -> None:
        for name in names:
            self._log.event(
                event,
                data_centre=name,
                revision=self._data_centres.revision,
                era=self._data_centres.era,
            )

    def _show_number(self) -> None:
        number = len(self._data_centres.names)
        self._metrics.set_gauge('evacuated_data_centres', number)
