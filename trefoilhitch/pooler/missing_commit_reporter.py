"""Reports acknowledged commits that a later primary lacks."""

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.acknowledged_positions import MissingCommit


class MissingCommitReporter:
    """Logs and counts acknowledged commits that are missing.

    Args:
        log: receives an event for each.
        metrics: counts them.

    """

    def __init__(self, log: DecisionLog, metrics: Metrics) -> None:
        """Store the dependencies."""
        self._log = log
        self._metrics = metrics

    def report(self, missing: MissingCommit) -> None:
        """Report that the log of a primary lacks an acknowledged commit.

        Args:
            missing: the commit and the primary.

        """
        primary = missing.observation
        self._metrics.count('acknowledged_commits_missing')
        self._log.event(
            'acknowledged_commit_missing',
            service=primary.service,
            endpoint=primary.endpoint,
            term=primary.term,
            position=primary.position,
            acknowledged=missing.acknowledged,
        )
