"""Feeds evacuations from the store to this node and to other nodes."""

from collections.abc import Callable

from trefoilhitch.pooler.evacuation.evacuations import Evacuations
from trefoilhitch.pooler.object_watcher import Changes, ChangeSource


class EvacuationFeed:
    """Applies what the store says, and tells other nodes of changes.

    Args:
        source: source of the names of evacuated data centres.
        evacuations: receives them.
        spread: tells other nodes that this one has something newer.

    """

    def __init__(
        self,
        *,
        source: ChangeSource[str],
        evacuations: Evacuations,
        spread: Callable[[], None],
    ) -> None:
        """Store the dependencies."""
        self.source = source
        self._evacuations = evacuations
        self._spread = spread

    def replace_all(self, listing: Changes[str]) -> None:
        """Apply a full listing.

        Args:
            listing: all evacuations.

        """
        if self._evacuations.replace_all(listing):
            self._spread()

    def apply(self, changes: Changes[str]) -> None:
        """Apply changes.

        Args:
            changes: evacuations that exist, and names of those that do not.

        """
        if self._evacuations.apply(changes):
            self._spread()
