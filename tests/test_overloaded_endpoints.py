"""Reads that overloaded endpoints refuse before they are sent."""

from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import cast

import pytest
from trio import current_time

from tests.support import make_loads, run_virtual
from trefoilhitch.decision_log import NullLog
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.catalogue import Freshness, Route
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.endpoint_failures import EndpointFailures
from trefoilhitch.pooler.endpoint_selection import Target
from trefoilhitch.pooler.primary_proof import PrimaryProver
from trefoilhitch.pooler.proof_fetcher import ProofFetcher
from trefoilhitch.pooler.response import Refusal, Response
from trefoilhitch.pooler.retrying.retry_policy import BudgetedBackoff
from trefoilhitch.pooler.session import SessionData
from trefoilhitch.pooler.statement import Statement, Verb
from trefoilhitch.pooler.statement_executor import ConnectionNotOpenedError
from trefoilhitch.pooler.statement_run import StatementRun
from trefoilhitch.pooler.statement_runner import StatementRunner
from trefoilhitch.pooler.statement_sender import StatementSender

PRIMARY = 'i-1'
ROUTE = Route('db', 'ledger', Freshness.LATEST, 0, 1, 1)


@dataclass
class OverloadedSender:
    """Records the endpoints of statements; all of them are overloaded."""

    sent: list[str] = field(default_factory=list)

    async def send(
        self, _run: StatementRun, target: Target, *, keeps_connection: bool
    ) -> None:
        """Refuse the statement."""
        self.sent.append(target.endpoint)
        raise ConnectionNotOpenedError('overloaded', overloaded=True)


def _cluster(readable: list[str]) -> ClusterState:
    """Return a cluster that falls back to the primary, as the real one does."""

    def choose(_requirements: object, _now: float, tried: set[str]) -> Target:
        untried = [name for name in readable if name not in tried]
        endpoint = untried[0] if untried else PRIMARY
        return Target(endpoint, None, None, requires_primary_proof=False)

    cluster = SimpleNamespace(
        clock=current_time,
        breakers=SimpleNamespace(
            may_attempt=lambda *_: True, is_blocked=lambda *_: False
        ),
        endpoints=SimpleNamespace(usable=lambda _: []),
        evacuated=SimpleNamespace(
            excludes=lambda _: False, unless_excluded=lambda primary: primary
        ),
        choose_read_target=choose,
        primary=lambda _: PRIMARY,
        proved_term=lambda _: 1,
    )
    return cast(ClusterState, cluster)


async def _run(
    cluster: ClusterState, sender: OverloadedSender, verb: Verb
) -> Response:
    runner = StatementRunner(
        cluster=cluster,
        sender=cast(StatementSender, sender),
        prover=cast(PrimaryProver, None),
        proofs=cast(ProofFetcher, None),
        failures=EndpointFailures(
            cluster=cluster,
            loads=make_loads(),
            reject_waiters=lambda _: None,
            log=NullLog(),
            metrics=Metrics(),
        ),
        retries=BudgetedBackoff(float),
        log=NullLog(),
        metrics=Metrics(),
    )
    statement = Statement('1', verb, 'READ 1')
    session = SessionData('db', 'a', 'key')
    return await runner.run(
        StatementRun.from_statement(session, statement, ROUTE)
    )


@pytest.mark.parametrize(
    ('verb', 'readable', 'asked'),
    [
        (Verb.READ, [PRIMARY], [PRIMARY]),
        (Verb.READ, ['i-2', 'i-3'], ['i-2', 'i-3', PRIMARY]),
        (Verb.READ, ['i-2', PRIMARY], ['i-2', PRIMARY]),
        (Verb.WRITE, [], [PRIMARY]),
    ],
)
def test_overloaded_endpoints_are_asked_once(
    verb: Verb, readable: list[str], asked: list[str]
) -> None:
    """Guards against eight attempts in a row at a primary that is full."""
    sender = OverloadedSender()
    response = run_virtual(lambda: _run(_cluster(readable), sender, verb))
    assert sender.sent == asked
    assert response.refusal == Refusal.BUSY
