"""Recent changes of primaries, told from node to node with the heartbeats."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from trefoilhitch._generated.peer import GroupChange

CHANGE_TTL_S = 10.0


@dataclass(frozen=True, slots=True)
class RecentChange:
    """A change and how long it is passed on.

    Args:
        change: the change.
        expires_at: monotonic time after which it is not passed on.

    """

    change: GroupChange
    expires_at: float


@dataclass(frozen=True, slots=True)
class GroupChanges:
    """The newest change of each group.

    Args:
        recent: changes by service.

    """

    recent: Mapping[str, RecentChange] = field(default_factory=dict)

    def newer_than_known(
        self, changes: Iterable[GroupChange]
    ) -> list[GroupChange]:
        """Return which changes are newer than what is known.

        Args:
            changes: changes that were heard.

        Returns:
            Those with a later term than known for their service.

        """
        return [
            change
            for change in changes
            if change.term > self._known_term(change)
        ]

    def merge(
        self,
        changes: Iterable[GroupChange],
        now: float,
    ) -> 'GroupChanges':
        """Return the changes after some more were heard.

        Args:
            changes: newer changes.
            now: monotonic time.

        Returns:
            What is known now.

        """
        recent = dict(self.recent)
        for change in changes:
            expires_at = now + CHANGE_TTL_S
            recent[change.service] = RecentChange(change, expires_at)
        return GroupChanges(recent)

    def unexpired(self, now: float) -> list[GroupChange]:
        """Return the changes that are still news.

        Args:
            now: monotonic time.

        Returns:
            Changes that were heard a short time ago.

        """
        return [
            each.change
            for each in self.recent.values()
            if now < each.expires_at
        ]

    def _known_term(self, change: GroupChange) -> int:
        known = self.recent.get(change.service)
        return known.change.term if known else 0
