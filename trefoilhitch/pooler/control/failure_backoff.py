"""Decides when a node that failed is asked again.

While many nodes are in doubt, each statement asks the same node. If that node
fails, all would go on asking it. So a node that failed is left alone for a
while, longer after each further failure, and then gets one trial at a time.
"""

from dataclasses import dataclass
from typing import Protocol

from trefoilhitch.retry import jittered_s

# A single failure may be due to a lost packet, so the first pause is short.
FIRST_PAUSE_S = 0.2
# Nodes are found failed within some 3 s. Those that are not have recovered by
# then, and should be used again soon.
MAX_PAUSE_S = 1.6


def pause_s(failures: int, random: float) -> float:
    """Return how long a node is left alone after consecutive failures.

    Args:
        failures: number of consecutive failures, at least 1.
        random: random number from 0 up to 1.

    Returns:
        The pause in seconds.

    """
    return jittered_s(failures - 1, FIRST_PAUSE_S, MAX_PAUSE_S, random)


class Backoff(Protocol):
    """Tells which nodes may be asked."""

    def may_ask(self, name: str, now: float) -> bool:
        """Return whether a node may be asked; it counts as asked then.

        Args:
            name: name of the node.
            now: monotonic time.

        """

    def has_failed(self, name: str) -> bool:
        """Return whether the newest request to a node failed.

        Args:
            name: name of the node.

        """

    def record_failure(self, name: str, now: float, random: float) -> None:
        """Record that a node did not answer.

        Args:
            name: name of the node.
            now: monotonic time.
            random: random number from 0 up to 1.

        """

    def record_success(self, name: str) -> None:
        """Record that a node answered.

        Args:
            name: name of the node.

        """


class NoBackoff:
    """Lets every node be asked at any time."""

    def may_ask(self, name: str, now: float) -> bool:
        """Let the node be asked; see `Backoff`."""
        return True

    def has_failed(self, name: str) -> bool:
        """Return False; see `Backoff`."""
        return False

    def record_failure(self, name: str, now: float, random: float) -> None:
        """Ignore a failure; see `Backoff`."""

    def record_success(self, name: str) -> None:
        """Ignore a success; see `Backoff`."""


@dataclass(slots=True)
class _Failures:
    count: int = 0
    next_trial_at: float = 0


class FailureBackoff:
    """Leaves nodes that failed alone, with one trial at a time.

    Args:
        trial_s: time within which a trial ends, in seconds.

    """

    def __init__(self, trial_s: float) -> None:
        """Start without failures."""
        self._trial_s = trial_s
        self._failures: dict[str, _Failures] = {}

    def may_ask(self, name: str, now: float) -> bool:
        """Return whether a node may be asked; see `Backoff`."""
        failures = self._failures.get(name)
        if failures is None:
            return True
        if now < failures.next_trial_at:
            return False
        # A trial that is cancelled records nothing, and ends by then.
        failures.next_trial_at = now + self._trial_s
        return True

    def has_failed(self, name: str) -> bool:
        """Return whether the newest request failed; see `Backoff`."""
        return name in self._failures

    def record_failure(self, name: str, now: float, random: float) -> None:
        """Record that a node did not answer; see `Backoff`."""
        failures = self._failures.setdefault(name, _Failures())
        failures.count += 1
        failures.next_trial_at = now + pause_s(failures.count, random)

    def record_success(self, name: str) -> None:
        """Record that a node answered; see `Backoff`."""
        self._failures.pop(name, None)
