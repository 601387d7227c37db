"""History of client requests, and its check against the databases."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from msgspec import Struct


class ConsistencyReport(Struct, frozen=True, kw_only=True):
    """Result of checking a request history against the databases.

    Args:
        requests: number of requests sent.
        acknowledged_writes: number of acknowledged writes.
        replica_read_share: share of eligible reads that a replica served.
        stale_reads: reads older than their session or freshness allows.
        wrong_answers: responses that belong to another request.
        lost_acked_writes: acknowledged writes missing in the database.
        duplicate_runs: requests executed more than once.
        false_not_run: refusals that reported `run: no` for writes that
            the database holds.
        refusals: number of refusals by code.

    """

    requests: int
    acknowledged_writes: int
    replica_read_share: float
    stale_reads: int
    wrong_answers: int
    lost_acked_writes: int
    duplicate_runs: int
    false_not_run: int
    refusals: dict[str, int]

    def violations(self) -> int:
        """Return the number of violated guarantees.

        Returns:
            Sum of all counts that must be 0.

        """
        return sum(
            (
                self.stale_reads,
                self.wrong_answers,
                self.lost_acked_writes,
                self.duplicate_runs,
                self.false_not_run,
            )
        )


@dataclass(slots=True)
class RequestHistory:
    """Records the requests of clients and the responses they received."""

    requests: int = 0
    stale_reads: int = 0
    wrong_answers: int = 0
    replica_reads: int = 0
    eligible_reads: int = 0
    cut_requests: int = 0
    refusals: Counter[str] = field(default_factory=Counter)
    acknowledged_marks: set[str] = field(default_factory=set)
    not_run_marks: set[str] = field(default_factory=set)

    def record_request(self) -> None:
        """Record a request that was sent."""
        self.requests += 1

    def record_write(self, mark: str) -> None:
        """Record an acknowledged write.

        Args:
            mark: unique text that the write stored.

        """
        self.acknowledged_marks.add(mark)

    def record_refusal(self, code: str, run: str, mark: str = '') -> None:
        """Record a refusal.

        Args:
            code: refusal code.
            run: whether the request was executed: `no` or `unknown`.
            mark: unique text that the request would have stored.

        """
        self.refusals[code] += 1
        if mark and run == 'no':
            self.not_run_marks.add(mark)

    def record_read(self, *, role: str, eligible: bool) -> None:
        """Record a successful read.

        Args:
            role: role of the endpoint that served it.
            eligible: whether a replica was allowed to serve it.

        """
        if eligible:
            self.eligible_reads += 1
            self.replica_reads += role == 'replica'

    def check(self, stored: Iterable[str]) -> ConsistencyReport:
        """Check the history against the contents of the databases.

        Args:
            stored: unique texts in the databases, one per row.

        Returns:
            Measured counts and violations.

        """
        row_counts = Counter(stored)
        return ConsistencyReport(
            requests=self.requests,
            acknowledged_writes=len(self.acknowledged_marks),
            replica_read_share=self.replica_reads / max(1, self.eligible_reads),
            stale_reads=self.stale_reads,
            wrong_answers=self.wrong_answers,
            lost_acked_writes=sum(
                mark not in row_counts for mark in self.acknowledged_marks
            ),
            duplicate_runs=sum(count > 1 for count in row_counts.values()),
            false_not_run=sum(
                mark in row_counts for mark in self.not_run_marks
            ),
            refusals=dict(self.refusals),
        )
