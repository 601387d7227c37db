"""State of a database group, with positions that bound the age of reads."""

from collections import deque
from dataclasses import dataclass, field

from msgspec.structs import replace

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.peer import (
    EndpointView,
    GroupChange,
    GroupView,
    OwnerReply,
)
from trefoilhitch.position import at_least

MAX_CONFIRMED_POSITIONS = 256
_MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class ConfirmedPosition:
    """A position of the primary that a majority confirmed.

    Args:
        confirmed_at: monotonic time in seconds at which the primary's log ended
            at this position or before it.
        position: confirmed position.

    """

    confirmed_at: float
    position: LogPosition


@dataclass(slots=True)
class GroupState:
    """The newest view of a group and recently confirmed positions.

    Args:
        view: newest view; None before the first one.
        expires_at: monotonic time in seconds from which the view has to be
            refreshed.

    """

    view: GroupView | None = None
    expires_at: float = 0
    _confirmed: deque[ConfirmedPosition] = field(
        default_factory=lambda: deque(maxlen=MAX_CONFIRMED_POSITIONS)
    )

    @property
    def term(self) -> int:
        """Return the term of the newest view."""
        return self.view.term if self.view else 0

    @property
    def primary(self) -> str:
        """Return the primary's name; empty if there is none."""
        return self.view.primary if self.view else ''

    @property
    def endpoints(self) -> list[EndpointView]:
        """Return the endpoints of the newest view."""
        return self.view.endpoints if self.view else []

    def apply_view(
        self, view: GroupView, *, sent_at: float, expires_at: float
    ) -> None:
        """Apply a monitor's view, unless its term is older.

        Args:
            view: view from a monitor.
            sent_at: monotonic time in seconds at which it was requested.
            expires_at: monotonic time in seconds from which it has to be
                refreshed.

        """
        if view.term < self.term:
            return
        self.view = view
        self.expires_at = expires_at
        if view.proved_age_ms is not None:
            confirmed_at = sent_at - view.proved_age_ms / _MS_PER_S
            position = LogPosition(
                term=view.proved_term,
                position=view.proved_position,
            )
            self._confirmed.append(ConfirmedPosition(confirmed_at, position))

    def replace_primary(self, change: GroupChange) -> bool:
        """Apply a change of primary before a monitor's view shows it.

        Args:
            change: change of the group's primary.

        Returns:
            True if the change was newer than the view.

        """
        if self.view is None or change.term <= self.view.term:
            return False
        self.view = replace(
            self.view,
            term=change.term,
            primary=change.primary,
        )
        return True

    def apply_reply(self, endpoint: str, reply: OwnerReply) -> None:
        """Record a replica's applied position from its response.

        Args:
            endpoint: name of the endpoint that responded.
            reply: response with the position that was read at.

        """
        if self.view is None or reply.role != 'replica':
            return
        self.view = replace(
            self.view,
            endpoints=[
                _with_reply_position(each, reply)
                if each.name == endpoint
                else each
                for each in self.view.endpoints
            ],
        )

    def minimum_position_since(self, since: float) -> LogPosition | None:
        """Return a position that proves that rows are no older than a time.

        A log that has reached the primary's latest position of some time holds
        every write that was acknowledged before that time.

        Args:
            since: monotonic time in seconds.

        Returns:
            The earliest position confirmed at that time or later; None if no
            position is.

        """
        candidates = [
            each for each in self._confirmed if each.confirmed_at >= since
        ]
        if not candidates:
            return None
        earliest = candidates[0]
        for candidate in candidates:
            if at_least(earliest.position, candidate.position):
                earliest = candidate
        return earliest.position


def _with_reply_position(view: EndpointView, reply: OwnerReply) -> EndpointView:
    if (view.applied_term, view.applied_position) >= (
        reply.term,
        reply.position,
    ):
        return view
    return replace(
        view,
        applied_term=reply.term,
        applied_position=reply.position,
    )
