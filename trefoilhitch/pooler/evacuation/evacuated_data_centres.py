"""Decides which data centres are evacuated, and from when on they are closed.

The load pattern: an operator takes a data centre out of service while clients
use its endpoints, and nodes restart, or the store is restored, meanwhile.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass

from trefoilhitch._generated.peer import EvacuationReport
from trefoilhitch.pooler.era_numbers import FIRST_ERA, NO_ERA
from trefoilhitch.pooler.evacuation.suspension_detector import (
    SuspensionDetector,
)

# Fractions of the time within which the last statement has to arrive. A node
# counts them from when it learnt of the evacuation; the rest is left for the
# way there and for the statement's way to the endpoint.
# A planned hand-over of a primary takes some 2 s of 5 s.
NEW_STATEMENT_FRACTION = 0.5
# A transaction that was begun before has a little longer to end.
TRANSACTION_FRACTION = 0.6
# How long operators may take to write again what a restored store has lost.
REWRITE_TIME_S = 5.0

_Names = frozenset[str]
_NONE: _Names = frozenset()


@dataclass(frozen=True, slots=True)
class EvacuationChange:
    """Evacuations that began or ended.

    Args:
        began: names of the data centres whose evacuation began.
        ended: names of those whose evacuation ended.

    """

    began: tuple[str, ...] = ()
    ended: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether nothing has changed."""
        return not (self.began or self.ended)


class EvacuatedDataCentres:
    """The data centres that operators have evacuated, as one node knows them.

    An era of the store may begin without evacuations that were in force. These
    are kept for a while, for the operators write them again.

    Args:
        timeout_s: time after which no statement may reach an evacuated data
            centre, in seconds.

    """

    def __init__(self, timeout_s: float = math.inf) -> None:
        """Start before the first listing."""
        self.revision = 0
        # Era of the store to which the revision belongs.
        self.era = NO_ERA
        self.suspension = SuspensionDetector()
        self._timeout_s = timeout_s
        self._was_read = False
        self._is_shared = False
        self._listed = _NONE
        self._kept = _NONE
        self._keep_until = -math.inf
        self._began_at: dict[str, float] = {}

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the evacuated data centres, sorted."""
        return tuple(sorted(self._began_at))

    @property
    def is_known(self) -> bool:
        """Whether the evacuations were listed, or there can be none."""
        return self._was_read or math.isinf(self._timeout_s)

    def contains(self, data_centre: str) -> bool:
        """Return whether a data centre is evacuated.

        Args:
            data_centre: name of the data centre.

        Returns:
            True as soon as this node has learnt of it.

        """
        return data_centre in self._began_at

    def excludes(self, data_centre: str, now: float) -> bool:
        """Return whether new statements may not be sent to a data centre.

        Args:
            data_centre: name of the data centre.
            now: time in seconds.

        Returns:
            True for any before the first listing.

        """
        if not self.is_known:
            return True
        began_at = self._began_at.get(data_centre)
        if began_at is None:
            return False
        return now >= began_at + self._timeout_s * NEW_STATEMENT_FRACTION

    def must_end_at(self, data_centre: str) -> float:
        """Return when open transactions in a data centre must have ended.

        Args:
            data_centre: name of the data centre.

        Returns:
            Time in seconds, infinite if it is not evacuated.

        """
        began_at = self._began_at.get(data_centre, math.inf)
        return began_at + self._timeout_s * TRANSACTION_FRACTION

    def replace_all(
        self, names: Collection[str], revision: int, era: int, now: float
    ) -> EvacuationChange:
        """Apply a listing that this node has read.

        Args:
            names: all evacuated data centres that the store has.
            revision: the store's revision.
            era: era of the store.
            now: time in seconds.

        Returns:
            What has changed. The evacuations of the first listing may have
            begun long ago, so that they are in force at once.

        """
        if era != self.era:
            self._begin_era(era, now)
        listed = frozenset(names)
        if revision < self.revision:
            # Another node read the store later than this one.
            listed |= self._listed
        self.revision = revision
        change = self._apply(listed, self._kept - listed, now)
        self._was_read = True
        return change

    def apply_changes(
        self,
        present: Collection[str],
        absent: Collection[str],
        revision: int,
        now: float,
    ) -> EvacuationChange:
        """Apply changes that this node has read.

        Args:
            present: data centres whose evacuation was requested.
            absent: data centres whose evacuation was withdrawn.
            revision: the store's revision.
            now: time in seconds.

        Returns:
            What has changed.

        """
        self.revision = max(self.revision, revision)
        listed = (self._listed | frozenset(present)) - frozenset(absent)
        return self._apply(listed, self._kept - frozenset(absent), now)

    def merge(self, report: EvacuationReport, now: float) -> EvacuationChange:
        """Apply the report of another node.

        Args:
            report: what is in force at the other node.
            now: time in seconds.

        Returns:
            What has changed.

        """
        self._is_shared = True
        names = frozenset(report.data_centres)
        if report.era > self.era:
            self._begin_era(report.era, now)
        is_same_era = report.era == self.era
        if is_same_era and report.revision > self.revision:
            self.revision = report.revision
            # The other node may only have kept what it reports.
            is_kept = now < self._keep_until
            kept = self._kept if is_kept else self._kept - names
            return self._apply(names, kept, now)
        if now < self._keep_until:
            # The other node knew the store before it was restored.
            return self._apply(self._listed, self._kept | names, now)
        if is_same_era and report.revision == self.revision:
            # One of the two has kept what the store no longer has.
            return self._apply(self._listed & names, _NONE, now)
        return EvacuationChange()

    def expire(self, now: float) -> EvacuationChange:
        """End what the store has lacked for too long since its restoration.

        Args:
            now: time in seconds.

        Returns:
            What has changed.

        """
        if now < self._keep_until or not self._kept:
            return EvacuationChange()
        return self._apply(self._listed, _NONE, now)

    def report(self) -> EvacuationReport | None:
        """Return the report for other nodes.

        Returns:
            The report, None as long as there never was an evacuation.

        """
        if not self._is_shared:
            return None
        return EvacuationReport(
            revision=self.revision,
            era=self.era,
            data_centres=list(self.names),
        )

    def _begin_era(self, era: int, now: float) -> None:
        """Keep what was in force until the operators have written again."""
        self.era = era
        self.revision = 0
        self._listed = _NONE
        self._kept = frozenset(self._began_at)
        if era > FIRST_ERA:
            self._keep_until = now + REWRITE_TIME_S

    def _apply(
        self, listed: _Names, kept: _Names, now: float
    ) -> EvacuationChange:
        self._listed = listed
        self._kept = kept
        in_force = listed | kept
        began = sorted(in_force - self._began_at.keys())
        ended = sorted(self._began_at.keys() - in_force)
        for old in ended:
            self._began_at.pop(old)
        is_current = self._was_read and not self.suspension.is_catching_up(now)
        since = now if is_current else -math.inf
        self._began_at.update(dict.fromkeys(began, since))
        self._is_shared = self._is_shared or bool(in_force)
        return EvacuationChange(tuple(began), tuple(ended))
