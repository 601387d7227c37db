"""Shares of rates that are kept up to date with the members."""

from collections.abc import Callable

from trefoilhitch.pooler.catalogue import Catalogue
from trefoilhitch.pooler.gateway_directory import (
    GatewayDirectory,
    RateHolderVersion,
)
from trefoilhitch.pooler.membership_view import MembershipView
from trefoilhitch.pooler.rate_share import RateShare
from trefoilhitch.pooler.rate_shares import RateShares


class HeldRates:
    """Applies changes of the members before a share is used.

    Args:
        shares: this node's shares.
        membership: the known nodes.
        directory: tells which nodes hold the rates.
        clock: returns seconds on a clock that includes suspended time.

    """

    def __init__(
        self,
        *,
        shares: RateShares,
        membership: MembershipView,
        directory: GatewayDirectory,
        clock: Callable[[], float],
    ) -> None:
        """Start before the members are known."""
        self._shares = shares
        self._membership = membership
        self._directory = directory
        self._clock = clock
        # What the shares were computed for; None makes them computed again.
        self._version: RateHolderVersion | None = None

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Apply the declared rates.

        Args:
            catalogue: catalogue in force.

        """
        self._shares.apply_catalogue(catalogue, self._clock())
        self._version = None

    def share(self, organisation: str) -> RateShare | None:
        """Return this node's share of an organisation's rate.

        Args:
            organisation: organisation name.

        Returns:
            The share, None if no rate is declared for it.

        """
        self.refresh()
        return self._shares.share(organisation)

    def refresh(self) -> None:
        """Apply changes of the members.

        No tokens are spent before the registered nodes have been listed.
        """
        version = self._directory.rate_holder_version
        if version == self._version or not self._membership.nodes_listed:
            return
        self._version = version
        self._shares.update_node_count(
            self._directory.rate_holder_count(),
            self._clock(),
            self._directory.holds_rate,
        )
