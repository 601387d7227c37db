"""One statement on its way to an answer."""

from dataclasses import dataclass, field

from trio import current_time

from trefoilhitch.pooler.catalogue import Route
from trefoilhitch.pooler.endpoint_selection import ReadRequirements
from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.session import SessionData
from trefoilhitch.pooler.statement import Statement, Verb

# Part of a statement's time that one read may wait for one endpoint, so that
# another one can still be asked.
READ_ATTEMPT_FRACTION = 0.6
# Part of a statement's time for which it waits for a lead that is about to be
# there.
PRIMARY_WAIT_FRACTION = 0.7
# Part of an operation's target latency after which it is refused if there is
# no endpoint that could be asked.
REFUSE_FRACTION = 0.24


@dataclass(slots=True)
class StatementRun:
    """One statement on its way to an answer.

    Args:
        session: whose it is.
        statement: the statement.
        route: how its database is served.
        deadline: monotonic time by which it is answered.
        wait_until: monotonic time until which it waits for a lead that is
            about to be there.
        refuse_at: monotonic time after which it is refused if no endpoint
            could be asked.
        writes: whether it may change data.
        failed_endpoints: endpoints that could not run it as a read.
        attempts: how often it was tried.
        loss: how the last attempt was lost.
        primary_failures: how often the lead could not be reached.

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

    @classmethod
    def from_statement(
        cls,
        session: SessionData,
        statement: Statement,
        route: Route,
    ) -> 'StatementRun':
        """Start the way of a statement.

        Args:
            session: whose it is.
            statement: the statement.
            route: how its database is served.

        Returns:
            The run.

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
        """Return what it asks for as a read.

        Args:
            sent_at: when it is about to be sent, on the ages' clock.

        """
        own = self.session.last_commit_position(self.route.service)
        return ReadRequirements(self.route, sent_at, own)

    def attempt_deadline(self) -> float:
        """Return by when the present attempt is given up."""
        if not self.reads:
            return self.deadline
        timeout_s = self.route.timeout_s * READ_ATTEMPT_FRACTION
        return min(self.deadline, current_time() + timeout_s)
