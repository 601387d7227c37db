"""Remembers which of the nodes that this one asked did not answer."""

from random import Random

from trio import current_time

from trefoilhitch.pooler.control.failure_backoff import (
    Backoff,
    FailureBackoff,
    NoBackoff,
)


class PeerBackoff:
    """Tells which nodes may be asked for one kind of information.

    Args:
        backoff: decides when a node that failed is asked again.
        random: spreads the pauses after failures.

    """

    def __init__(self, backoff: Backoff, random: Random) -> None:
        """Store the dependencies."""
        self._backoff = backoff
        self._random = random

    @classmethod
    def with_backoff(
        cls, random: Random, *, trial_s: float, enabled: bool = True
    ) -> 'PeerBackoff':
        """Create the memory for one kind of information.

        Args:
            random: spreads the pauses after failures.
            trial_s: time within which a trial ends, in seconds.
            enabled: whether nodes that failed are left alone.

        Returns:
            The memory, without failures.

        """
        backoff = FailureBackoff(trial_s) if enabled else NoBackoff()
        return cls(backoff, random)

    def may_ask(self, node: str) -> bool:
        """Return whether a node may be asked now; it counts as asked then.

        Args:
            node: name of the node.

        """
        return self._backoff.may_ask(node, current_time())

    def has_failed(self, node: str) -> bool:
        """Return whether the newest request to a node failed.

        Args:
            node: name of the node.

        """
        return self._backoff.has_failed(node)

    def record(self, node: str, *, answered: bool) -> None:
        """Record whether a node answered.

        Args:
            node: name of the node.
            answered: whether it did.

        """
        if answered:
            self._backoff.record_success(node)
            return
        random = self._random.random()
        self._backoff.record_failure(node, current_time(), random)
