"""Finds the endpoint for an attempt at a read, within the retry budgets."""

from trio import current_time

from trefoilhitch.errors import TrefoilhitchError
from trefoilhitch.pooler.catalogue import Freshness
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.endpoint_selection import Target
from trefoilhitch.pooler.expected_target import ExpectedTarget, expect_read
from trefoilhitch.pooler.retrying.retry_policy import RetryPolicy
from trefoilhitch.pooler.statement_run import StatementRun


class RetryBudgetError(TrefoilhitchError):
    """No endpoint that may run the read may be sent another retry."""


class ReadTargetFinder:
    """Chooses the endpoints of reads.

    Args:
        cluster: known endpoints and primaries.
        retries: knows the budgets.

    """

    def __init__(self, cluster: ClusterState, retries: RetryPolicy) -> None:
        """Store the dependencies."""
        self._cluster = cluster
        self._retries = retries

    def choose(self, run: StatementRun) -> Target | None:
        """Choose the target of a read's next attempt.

        Args:
            run: state of the read.

        Returns:
            The target, None if no endpoint can run the read now.

        Raises:
            RetryBudgetError: the budgets of all endpoints that could run it
                are used up.

        """
        now = current_time()
        usable = self._cluster.endpoints.usable(run.route.service)
        endpoints = [record.endpoint for record in usable]
        spent = self._spent(run, endpoints, now)
        target = self._cluster.choose_read_target(
            run.read_requirements(self._cluster.clock()),
            now,
            run.failed_endpoints | spent | self._blocked(endpoints, now),
        )
        if target is not None and target.endpoint in spent:
            raise RetryBudgetError(target.endpoint)
        return target

    def expect(self, run: StatementRun) -> ExpectedTarget:
        """Return where a read's first attempt would be sent, without a draw.

        Args:
            run: state of the read.

        """
        now = current_time()
        usable = self._cluster.endpoints.usable(run.route.service)
        endpoints = [record.endpoint for record in usable]
        return expect_read(
            self._cluster,
            run.read_requirements(self._cluster.clock()),
            now,
            self._blocked(endpoints, now),
        )

    def has_other(self, run: StatementRun) -> bool:
        """Return whether an endpoint is left that has not failed.

        Args:
            run: state of a statement.

        Returns:
            False for a statement that only the primary may run.

        Raises:
            RetryBudgetError: as in `choose`.

        """
        if not run.reads:
            return False
        target = self.choose(run)
        return target is not None and (
            target.endpoint not in run.failed_endpoints
        )

    def _spent(
        self, run: StatementRun, endpoints: list[str], now: float
    ) -> frozenset[str]:
        """Return the endpoints to which this read may not be sent again.

        A read of the latest data has no substitute for the primary.
        """
        if not run.is_retry or run.route.freshness == Freshness.LATEST:
            return frozenset()
        return self._retries.without_budget(endpoints, now)

    def _blocked(self, endpoints: list[str], now: float) -> frozenset[str]:
        """Return the endpoints that another statement tries at present."""
        if not self._retries.seeks_others:
            return frozenset()
        breakers = self._cluster.breakers
        return frozenset(
            endpoint
            for endpoint in endpoints
            if breakers.is_blocked(endpoint, now)
        )
