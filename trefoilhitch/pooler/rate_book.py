"""Shares of all organisations' rates, as far as one node owns them."""

from trefoilhitch.pooler.catalogue import Catalogue
from trefoilhitch.pooler.rate_limit import RateLimit, RateRule
from trefoilhitch.pooler.rates import RateShare


class RateBook:
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
        self._nodes = 0
        self._shares: dict[str, RateShare] = {}
        self._catalogue: Catalogue | None = None

    def declare(self, catalogue: Catalogue, now: float) -> None:
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
        self._configure(now)

    def share_among(self, nodes: int, now: float) -> None:
        """Take over how many nodes share the rates.

        Args:
            nodes: nodes that may spend, those out of reach among them.
            now: time in seconds.

        """
        if nodes != self._nodes:
            self._nodes = nodes
            self._configure(now)

    def share(self, organisation: str) -> RateShare | None:
        """Return this node's share of an organisation's rate.

        Args:
            organisation: its name.

        Returns:
            The share, None if no rate is declared for it.

        """
        return self._shares.get(organisation)

    def _configure(self, now: float) -> None:
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
            share.configure(limit, self._nodes, now)
