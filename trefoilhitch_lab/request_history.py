"""The outside record: what callers were told, checked against the databases."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from msgspec import Struct


class ConsistencyReport(Struct, frozen=True, kw_only=True):
    """What the outside record found.

    Args:
        requests: requests sent.
        acknowledged_writes: writes that were acknowledged.
        replica_read_share: share of the reads allowed to go to a replica
            that a replica served.
        stale_reads: reads that missed what their session had written.
        wrong_answers: answers that belonged to another request.
        lost_acked_writes: acknowledged writes that the database does not hold.
        duplicate_runs: requests that ran more than once.
        false_not_run: refused as not run, yet the database holds them.
        refusals: refusals by code.

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
        """Return how many promises were broken.

        Returns:
            The sum of all counts that have to be 0.

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
    """Takes note of what callers sent and were told."""

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
        """Note a request."""
        self.requests += 1

    def record_write(self, mark: str) -> None:
        """Note a write that was acknowledged.

        Args:
            mark: unique text that the write stored.

        """
        self.acknowledged_marks.add(mark)

    def record_refusal(self, code: str, run: str, mark: str = '') -> None:
        """Note a refusal.

        Args:
            code: its code.
            run: its promise.
            mark: unique text that the request would have stored.

        """
        self.refusals[code] += 1
        if mark and run == 'no':
            self.not_run_marks.add(mark)

    def record_read(self, *, role: str, eligible: bool) -> None:
        """Note a read that was answered.

        Args:
            role: role of the endpoint that answered.
            eligible: whether a replica was allowed to answer.

        """
        if eligible:
            self.eligible_reads += 1
            self.replica_reads += role == 'replica'

    def check(self, stored: Iterable[str]) -> ConsistencyReport:
        """Compare what callers were told with what the databases hold.

        Args:
            stored: the unique texts in the databases, once for each row.

        Returns:
            The verdict.

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
