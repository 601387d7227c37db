"""Changes of endpoints' entries, for nodes that do not watch the store."""

from dataclasses import dataclass

from trefoilhitch._generated.peer import EndpointEntryReport, EntriesReply
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.era_numbers import NO_ERA
from trefoilhitch.pooler.object_watcher import Changes


@dataclass(frozen=True, slots=True)
class _Entry:
    """The newest state of an entry.

    Args:
        record: the entry, None if it was removed.
        revision: revision of the store at which this node learnt it.

    """

    record: EndpointRecord | None
    revision: int


class EntryLog:
    """Keeps the newest state of each entry and when it changed."""

    def __init__(self) -> None:
        """Start without entries."""
        self.revision = 0
        # Era of the store to which the revisions belong.
        self.era = NO_ERA
        self._entries: dict[str, _Entry] = {}

    def replace_all(self, listing: Changes[EndpointRecord]) -> None:
        """Record a complete listing.

        Args:
            listing: all entries.

        """
        gone = self._entries.keys() - listing.present.keys()
        if listing.era != self.era:
            self._begin_era(listing)
        self.apply(
            Changes(listing.present, tuple(sorted(gone)), listing.revision)
        )
        # Another node may have named a revision that the store never assigned.
        self.revision = listing.revision

    def apply(self, changes: Changes[EndpointRecord]) -> None:
        """Record changes.

        Args:
            changes: entries that exist, and names of those that do not.

        """
        for name, record in changes.present.items():
            self._put(name, record, changes.revision)
        for name in changes.absent:
            self._put(name, None, changes.revision)
        self.revision = max(self.revision, changes.revision)

    def is_behind(self, era: int, revision: int) -> bool:
        """Return whether another node has later entries.

        Args:
            era: era of the store in which the other node read them; a node of
                an earlier version names none.
            revision: its revision.

        """
        return (era or self.era, revision) > (self.era, self.revision)

    def changes_since(self, revision: int, era: int) -> EntriesReply:
        """Return the entries that changed after a revision.

        Args:
            revision: revision of the store.
            era: era of the store that assigned it.

        Returns:
            The message for another node; all entries if its era is another
            one.

        """
        if era not in {NO_ERA, self.era}:
            revision = 0
        return EntriesReply(
            revision=self.revision,
            era=self.era,
            entries=[
                _write_entry(name, entry.record)
                for name, entry in sorted(self._entries.items())
                if entry.revision > revision
            ],
        )

    def _begin_era(self, listing: Changes[EndpointRecord]) -> None:
        """Assign the first revision of a new era to all entries."""
        self.era = listing.era
        self.revision = listing.revision
        self._entries = {
            name: _Entry(entry.record, listing.revision)
            for name, entry in self._entries.items()
        }

    def _put(
        self, name: str, record: EndpointRecord | None, revision: int
    ) -> None:
        known = self._entries.get(name)
        if known is None or known.record != record:
            self._entries[name] = _Entry(record, revision)


def read_changes(reply: EntriesReply) -> Changes[EndpointRecord]:
    """Decode the changes that another node sent.

    Args:
        reply: message of the other node.

    Returns:
        The changes.

    """
    present = {
        report.endpoint: _read_entry(report)
        for report in reply.entries
        if _is_usable(report)
    }
    absent = tuple(
        report.endpoint for report in reply.entries if not _is_usable(report)
    )
    return Changes(present, absent, reply.revision, reply.era)


def _write_entry(
    name: str, record: EndpointRecord | None
) -> EndpointEntryReport:
    if record is None:
        return EndpointEntryReport(endpoint=name, present=False)
    return EndpointEntryReport(
        endpoint=name,
        service=record.service,
        address=record.address,
        data_centre=record.data_centre,
        started_at_ms=record.started_at_ms,
        leaving=record.leaving,
        role=record.role,
        slots=record.slots,
    )


def _is_usable(report: EndpointEntryReport) -> bool:
    return report.present and bool(report.address)


def _read_entry(report: EndpointEntryReport) -> EndpointRecord:
    return EndpointRecord(
        endpoint=report.endpoint,
        service=report.service,
        address=report.address,
        data_centre=report.data_centre,
        started_at_ms=report.started_at_ms,
        leaving=report.leaving,
        role=report.role,
        slots=report.slots,
    )
