"""Priority of a statement, on its way from its route to the gateway."""

from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import cast

import pytest
from trio import current_time

from tests.support import make_loads, run_virtual
from trefoilhitch._generated.peer import MemberBeat, RunReply, RunRequest
from trefoilhitch.decision_log import NullLog
from trefoilhitch.pooler.catalogue import Freshness, Route
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.control.gateway_breakers import CountingBreakers
from trefoilhitch.pooler.endpoint_selection import Target
from trefoilhitch.pooler.gateway_client import GatewayExecutor
from trefoilhitch.pooler.gateway_server import GatewayServer
from trefoilhitch.pooler.peer_client import PeerClient
from trefoilhitch.pooler.primary_proof import PrimaryProver
from trefoilhitch.pooler.response import Response
from trefoilhitch.pooler.session import SessionData
from trefoilhitch.pooler.statement import Statement, Verb
from trefoilhitch.pooler.statement_executor import (
    StartedStatement,
    StatementJob,
)
from trefoilhitch.pooler.statement_request import StatementResult
from trefoilhitch.pooler.statement_run import StatementRun
from trefoilhitch.pooler.statement_sender import StatementSender

ENDPOINT = 'i-1'


@dataclass
class RecordingClient:
    """Records what is sent to gateways."""

    messages: list[RunRequest] = field(default_factory=list)

    async def call(
        self,
        _address: str,
        _kind: str,
        message: RunRequest,
        *_: object,
        **_options: object,
    ) -> RunReply:
        """Record the message."""
        self.messages.append(message)
        return RunReply()


@dataclass
class RecordingExecutor:
    """Records the jobs of a gateway."""

    jobs: list[StatementJob] = field(default_factory=list)

    async def start(self, job: StatementJob) -> StartedStatement:
        """Record the job."""
        self.jobs.append(job)
        return StartedStatement(StatementResult(Response()))


def _route(priority: int) -> Route:
    return Route('db', 'ledger', Freshness.LATEST, 0, 1, 1, priority=priority)


@pytest.mark.parametrize(('declared', 'sent'), [(0, 0), (7, 7), (-3, 0)])
def test_priority_travels_from_the_route_to_the_gateway(
    declared: int, sent: int
) -> None:
    at_entry, at_gateway = RecordingExecutor(), RecordingExecutor()
    client = RecordingClient()
    server = GatewayServer(
        executor=at_gateway,
        accepts=lambda _: True,
        idle_limit_s=lambda: 1,
        log=NullLog(),
    )
    beat = MemberBeat(
        node='gateway',
        address='gateway',
        region='r',
        data_centre='d',
        incarnation=1,
        counter=1,
        state='live',
    )
    gateways = GatewayExecutor(
        client=cast(PeerClient, client),
        rank=lambda *_: (beat,),
        breakers=CountingBreakers(),
        apply_load=lambda *_: None,
    )
    cluster = SimpleNamespace(
        clock=current_time,
        proved_term=lambda _: 1,
        observations=SimpleNamespace(newest=lambda _: None),
    )
    sender = StatementSender(
        cluster=cast(ClusterState, cluster),
        executor=at_entry,
        prover=cast(PrimaryProver, None),
        loads=make_loads(),
    )

    async def play() -> None:
        statement = Statement('1', Verb.READ, 'READ 1')
        run = StatementRun.from_statement(
            SessionData('db', 'a', 'key'), statement, _route(declared)
        )
        target = Target(ENDPOINT, None, None, requires_primary_proof=False)
        await sender.send(run, target, keeps_connection=False)
        await gateways.start(at_entry.jobs[0])
        await server.run(client.messages[0])

    run_virtual(play)
    assert at_entry.jobs[0].priority == sent
    assert client.messages[0].priority == sent
    assert at_gateway.jobs[0].priority == sent
