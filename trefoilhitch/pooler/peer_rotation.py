"""Chooses the nodes to exchange state with, one after the other."""

from random import Random

from trefoilhitch.pooler.membership_view import MembershipView


class PeerRotation:
    """Returns each other node in turn, in random order.

    Failed nodes are included, since they may be back.

    Args:
        membership: the known nodes.
        random: chooses the order.
        same_data_centre: whether to choose among the nodes of this node's data
            centre or among the others.

    """

    def __init__(
        self,
        membership: MembershipView,
        random: Random,
        *,
        same_data_centre: bool,
    ) -> None:
        """Start before the first turn."""
        self._membership = membership
        self._random = random
        self._same_data_centre = same_data_centre
        self._order: list[str] = []

    def next_address(self) -> str | None:
        """Return the address of the next node.

        Returns:
            A peer address, None if there is no such node.

        """
        if not self._order:
            self._order = self._addresses()
            self._random.shuffle(self._order)
        return self._order.pop() if self._order else None

    def _addresses(self) -> list[str]:
        own = self._membership.heartbeat
        return [
            beat.address
            for beat in self._membership.all_beats()
            if beat.address != own.address
            and beat.state != 'leaving'
            and self._same_data_centre == self._membership.is_near(beat)
        ]
