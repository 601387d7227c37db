"""State of one statement while it runs."""

from dataclasses import dataclass, field

from trio import current_time

from trefoilhitch.pooler.catalogue import Route
from trefoilhitch.pooler.endpoint_selection import ReadRequirements
from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.session import SessionData
from trefoilhitch.pooler.statement import Statement, Verb

# Fraction of a statement's timeout that a read may wait for one endpoint, so
# that another endpoint can still be tried.
READ_ATTEMPT_FRACTION = 0.6
# Fraction of a statement's timeout that it waits for an expected new primary.
PRIMARY_WAIT_FRACTION = 0.7
# Fraction of a route's target latency after which a statement is refused if no
# endpoint is available.
REFUSE_FRACTION = 0.24


@dataclass(slots=True)
class StatementRun:
    """State of one statement while it runs.

    Args:
        session: session that sent it.
        statement: the client's statement.
        route: route of its database.
        deadline: monotonic time by which the client has a response.
        wait_until: monotonic time until which it waits for an expected new
            primary.
        refuse_at: monotonic time after which it is refused if no endpoint is
            available.
        writes: whether it may change data.
        failed_endpoints: endpoints that could not run it as a read.
        attempts: number of attempts so far.
        loss: how the last attempt was lost.
        primary_failures: how often the primary could not be reached.
        is_admitted: whether a token was spent for its operation.
        pauses: number of pauses between its attempts so far.
        is_retry: whether an endpoint refused or lost an earlier attempt.

    """

    session: SessionData
    statement: Statement
    route: Route
    deadline: float
    wait_until: float
    refuse_at: float
    writes: bool
    failed_endpoints: set[str] = field(default_factory=set)
    attempts: int = 0
    loss: ResponseLoss = ResponseLoss.NOT_SENT
    primary_failures: int = 0
    is_admitted: bool = False
    pauses: int = 0
    is_retry: bool = False

    @classmethod
    def from_statement(
        cls,
        session: SessionData,
        statement: Statement,
        route: Route,
    ) -> 'StatementRun':
        """Start to run a statement, with deadlines from its route.

        Args:
            session: session that sent it.
            statement: the client's statement.
            route: route of its database.

        Returns:
            The state before the first attempt.

        """
        now = current_time()
        return cls(
            session,
            statement,
            route,
            deadline=now + route.timeout_s,
            wait_until=now + route.timeout_s * PRIMARY_WAIT_FRACTION,
            refuse_at=now + route.target_latency_s * REFUSE_FRACTION,
            writes=session.access(statement) == 'write',
        )

    @property
    def reads(self) -> bool:
        """Whether it may run on a replica."""
        if self.statement.verb == Verb.BEGIN:
            return self.statement.read_only
        return not self.writes

    def read_requirements(self, sent_at: float) -> ReadRequirements:
        """Return which freshness it requires as a read.

        Args:
            sent_at: when it is about to be sent, on the clock that measures
                the age of proofs.

        """
        own = self.session.last_commit_position(self.route.service)
        return ReadRequirements(self.route, sent_at, own)

    @property
    def attempt_timeout_s(self) -> float:
        """Longest time that one attempt may take, in seconds."""
        fraction = READ_ATTEMPT_FRACTION if self.reads else 1
        return self.route.timeout_s * fraction

    def attempt_deadline(self) -> float:
        """Return the deadline of an attempt that starts now."""
        return min(self.deadline, current_time() + self.attempt_timeout_s)

    def mark_admitted(self) -> None:
        """Record that a token was spent for its operation."""
        self.is_admitted = True
