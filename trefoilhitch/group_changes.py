"""Recent changes of primaries, propagated with the heartbeats."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from trefoilhitch._generated.peer import GroupChange

CHANGE_TTL_S = 10.0


@dataclass(frozen=True, slots=True)
class RecentChange:
    """A change and the time until which it is propagated.

    Args:
        change: change of a primary.
        expires_at: monotonic time in seconds from which the change is no longer
            sent.

    """

    change: GroupChange
    expires_at: float


@dataclass(frozen=True, slots=True)
class GroupChanges:
    """The latest change of each group.

    Args:
        recent: latest change by service.

    """

    recent: Mapping[str, RecentChange] = field(default_factory=dict)

    def newer_than_known(
        self, changes: Iterable[GroupChange]
    ) -> list[GroupChange]:
        """Return the changes that are newer than the recorded ones.

        Args:
            changes: changes of any age.

        Returns:
            Changes with a later term than the recorded one of their service.

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
        """Return a copy that includes newer changes.

        Args:
            changes: changes newer than the recorded ones.
            now: monotonic time in seconds.

        Returns:
            The merged changes.

        """
        recent = dict(self.recent)
        for change in changes:
            expires_at = now + CHANGE_TTL_S
            recent[change.service] = RecentChange(change, expires_at)
        return GroupChanges(recent)

    def unexpired(self, now: float) -> list[GroupChange]:
        """Return the changes that still have to be propagated.

        Args:
            now: monotonic time in seconds.

        Returns:
            Changes that were merged less than `CHANGE_TTL_S` ago.

        """
        return [
            each.change
            for each in self.recent.values()
            if now < each.expires_at
        ]

    def _known_term(self, change: GroupChange) -> int:
        known = self.recent.get(change.service)
        return known.change.term if known else 0
