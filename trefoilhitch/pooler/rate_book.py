"""This node's shares of all organisations' rates."""

from collections.abc import Mapping

from trefoilhitch.pooler.catalogue import Catalogue
from trefoilhitch.pooler.rates import RateShare


class RateBook:
    """Keeps one share for each organisation.

    Args:
        now: time in seconds, on a clock that counts suspended time.

    """

    def __init__(self, now: float) -> None:
        """Start without organisations."""
        self._measured_at = now
        self._nodes = 1
        self._shares: dict[str, RateShare] = {}
        self._catalogue: Catalogue | None = None

    def declare(self, catalogue: Catalogue, now: float) -> None:
        """Take over the declared rates.

        Args:
            catalogue: what is declared.
            now: time in seconds.

        """
        self._catalogue = catalogue
        for name in self._shares.keys() - catalogue.organisations.keys():
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

    def spend(self, organisation: str, now: float) -> bool:
        """Admit one operation if this node's share allows it.

        Args:
            organisation: for whom it runs.
            now: time in seconds.

        Returns:
            True if it may run; also if no rate is declared.

        """
        share = self._shares.get(organisation)
        return share is None or share.spend(now)

    def measure(self, now: float) -> Mapping[str, float]:
        """Measure the demand since the last call.

        Args:
            now: time in seconds.

        Returns:
            The parts that this node is short of, by organisation.

        """
        elapsed = now - self._measured_at
        self._measured_at = now
        short: dict[str, float] = {}
        for name, share in self._shares.items():
            share.measure(elapsed)
            missing = share.shortage(now)
            if missing > 0:
                short[name] = missing
        return short

    def lend(self, organisation: str, wanted: float, now: float) -> float:
        """Lend a part of a rate to another node.

        Args:
            organisation: whose rate.
            wanted: part that is asked for.
            now: time in seconds.

        Returns:
            The part lent, 0 if none can be spared.

        """
        share = self._shares.get(organisation)
        return share.lend(wanted, now) if share else 0

    def borrow(
        self, organisation: str, fraction: float, asked_at: float
    ) -> None:
        """Take over a part that another node lent.

        Args:
            organisation: whose rate.
            fraction: the part.
            asked_at: when this node asked for it.

        """
        share = self._shares.get(organisation)
        if share is not None:
            share.borrow(fraction, asked_at)

    def _configure(self, now: float) -> None:
        if self._catalogue is None:
            return
        for declared in self._catalogue.organisations.values():
            share = self._shares.get(declared.name)
            if share is None:
                share = RateShare(now)
                self._shares[declared.name] = share
            share.configure(
                rate_per_s=declared.rate_per_s,
                burst=declared.burst,
                nodes=self._nodes,
                now=now,
            )
