"""Shares of all organisations' rates, as far as one node owns them."""

from trefoilhitch.pooler.catalogue import Catalogue
from trefoilhitch.pooler.rate_limit import RateLimit, RateRule
from trefoilhitch.pooler.rate_share import RateShare


class RateShares:
    """Keeps one share for each organisation.

    Args:
        rule: how operations are counted against a rate.
        now: time in seconds.

    """

    def __init__(self, rule: RateRule, now: float) -> None:
        """Start without organisations."""
        self._rule = rule
        self._started_at = now
        # Nothing is spent before it is known how many nodes share a rate.
        self._node_count = 0
        self._shares: dict[str, RateShare] = {}
        self._catalogue: Catalogue | None = None

    def apply_catalogue(self, catalogue: Catalogue, now: float) -> None:
        """Take over the declared rates.

        Args:
            catalogue: what is declared.
            now: time in seconds.

        """
        self._catalogue = catalogue
        # An organisation that is withdrawn and declared again has still spent
        # what it spent.
        for name in self._shares.keys() - catalogue.organisations.keys():
            if self._shares[name].is_unused(now):
                self._shares.pop(name)
        self._configure_shares(now)

    def update_node_count(self, node_count: int, now: float) -> None:
        """Take over how many nodes share the rates.

        Args:
            node_count: nodes that may spend, those out of reach among them.
            now: time in seconds.

        """
        if node_count != self._node_count:
            self._node_count = node_count
            self._configure_shares(now)

    def share(self, organisation: str) -> RateShare | None:
        """Return this node's share of an organisation's rate.

        Args:
            organisation: its name.

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
            share.configure(limit, self._node_count, now)
