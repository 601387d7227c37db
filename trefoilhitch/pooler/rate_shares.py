"""One node's shares of the rates of all organisations."""

from collections.abc import Callable

from trefoilhitch.pooler.catalogue import Catalogue
from trefoilhitch.pooler.rate_limit import RateLimit, RateRule
from trefoilhitch.pooler.rate_share import RateShare


class RateShares:
    """Holds one share for each organisation.

    Args:
        rule: how operations are counted against a rate.
        now: time in seconds.

    """

    def __init__(self, rule: RateRule, now: float) -> None:
        """Create the shares without organisations."""
        self._rule = rule
        self._started_at = now
        # No tokens are spent while the number of nodes is unknown.
        self._node_count = 0
        self._holds: Callable[[str], bool] = _holds_all
        self._held: frozenset[str] = frozenset()
        self._shares: dict[str, RateShare] = {}
        self._catalogue: Catalogue | None = None

    def apply_catalogue(self, catalogue: Catalogue, now: float) -> None:
        """Apply the declared rates.

        Args:
            catalogue: catalogue in force.
            now: time in seconds.

        """
        self._catalogue = catalogue
        # The share of a removed organisation is kept while its spent tokens
        # count, in case the organisation is declared again.
        for name in self._shares.keys() - catalogue.organisations.keys():
            if self._shares[name].is_unused(now):
                self._shares.pop(name)
        self._configure_shares(now)

    def update_node_count(
        self,
        node_count: int,
        now: float,
        holds: Callable[[str], bool] | None = None,
    ) -> None:
        """Apply the number of nodes that share the rates.

        Args:
            node_count: number of nodes that own a part of each rate, including
                unreachable ones.
            now: time in seconds.
            holds: returns whether this node owns a part of an organisation's
                rate; by default it owns one of each.

        """
        self._holds = holds or _holds_all
        held = frozenset(name for name in self._shares if self._holds(name))
        if node_count != self._node_count or held != self._held:
            self._node_count = node_count
            self._configure_shares(now)

    def share(self, organisation: str) -> RateShare | None:
        """Return this node's share of an organisation's rate.

        Args:
            organisation: organisation name.

        Returns:
            The share, None if no rate is declared for it.

        """
        return self._shares.get(organisation)

    def _configure_shares(self, now: float) -> None:
        if self._catalogue is None:
            return
        for declared in self._catalogue.organisations.values():
            share = self._shares.get(declared.name)
            if share is None:
                share = RateShare(self._started_at)
                self._shares[declared.name] = share
            limit = RateLimit.from_declared(
                declared.rate_per_s, declared.burst, self._rule
            )
            if self._holds(declared.name):
                share.configure(limit, self._node_count, now)
            else:
                share.suspend(limit)
        self._held = frozenset(
            name for name in self._shares if self._holds(name)
        )


def _holds_all(organisation: str) -> bool:
    """Let a node own a part of each rate."""
    return True
