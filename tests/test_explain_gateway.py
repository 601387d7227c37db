"""Which gateway an explanation names, by what is known of the gateways."""

from trio import current_time, sleep

from tests.fingerprint import fingerprint
from tests.support import with_virtual_clock
from tests.test_connection_guard import beat
from trefoilhitch._generated.peer import ExplainedQueue, MemberBeat
from trefoilhitch.decision_log import NullLog
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.circuit_breakers import (
    FAILURES_TO_OPEN,
    TRIAL_INTERVAL_S,
)
from trefoilhitch.pooler.control.gateway_breakers import CountingBreakers
from trefoilhitch.pooler.explaining.gateway_explainer import (
    ExplainedGateway,
    GatewayExplainer,
)
from trefoilhitch.pooler.gateway_client import GatewayExecutor
from trefoilhitch.pooler.peer_client import PeerClient
from trefoilhitch.pooler.scheduling.concurrency_limit import SlotBounds
from trefoilhitch.pooler.scheduling.statement_scheduler import (
    PassThroughScheduler,
    PriorityScheduler,
    StatementScheduler,
    TurnRequest,
)

FIRST, SECOND, THIRD = (beat(f'10.0.0.{number}:1') for number in range(3))
OWN = SECOND.node
ENDPOINT = 'ledger-0'


class Gateways:
    """Three gateways in a fixed order."""

    def rank(self, endpoint: str, subject: str) -> tuple[MemberBeat, ...]:
        """Return the gateways."""
        return FIRST, SECOND, THIRD

    def is_own(self, endpoint: str, subject: str) -> bool:
        """Return False, since this node is the second choice."""
        return False


class Node:
    """A node that explains which gateway it would use."""

    def __init__(self, scheduler: StatementScheduler | None = None) -> None:
        """Connect the parts of the node."""
        self.breakers = CountingBreakers()
        gateways = Gateways()
        self._explainer = GatewayExplainer(
            node=OWN,
            gateways=gateways,
            remote=GatewayExecutor(
                client=PeerClient(NullLog()),
                rank=gateways.rank,
                breakers=self.breakers,
                apply_load=lambda *_: None,
            ),
            scheduler=scheduler or make_scheduler(),
        )

    def lose(self, gateway: MemberBeat) -> None:
        """Let statements find that a gateway accepts no connections."""
        for _ in range(FAILURES_TO_OPEN):
            self.breakers.record_failure(gateway)

    def explain(self) -> ExplainedGateway:
        """Explain the gateway to an endpoint."""
        return self._explainer.explain(ENDPOINT, 'himal')


def make_scheduler() -> PriorityScheduler:
    """Return a scheduler that permits one statement at a time."""
    return PriorityScheduler(
        bounds=lambda endpoint: SlotBounds(1, 1),
        readiness=lambda endpoint: lambda organisation: True,
        log=NullLog(),
        metrics=Metrics(),
    )


@with_virtual_clock
async def test_the_first_gateway_holds_the_connection() -> None:
    # Guards against the queue of this node at another node's connection.
    assert Node().explain() == ExplainedGateway(FIRST.node)


@with_virtual_clock
async def test_unreachable_gateways_are_passed_over() -> None:
    # Guards against a gateway that statements leave out.
    node = Node()
    node.lose(FIRST)
    queue = ExplainedQueue(waiting=0, in_flight=0, limit=1)
    assert node.explain() == ExplainedGateway(OWN, (FIRST.node,), queue)
    node.lose(SECOND)
    assert node.explain() == ExplainedGateway(
        THIRD.node, (FIRST.node, SECOND.node)
    )
    node.lose(THIRD)
    assert node.explain() == ExplainedGateway(
        '', (FIRST.node, SECOND.node, THIRD.node)
    )


@with_virtual_clock
async def test_the_trial_of_a_gateway_is_left_to_statements() -> None:
    # Guards against an explanation that keeps a statement from its trial.
    node = Node()
    node.lose(FIRST)
    await sleep(TRIAL_INTERVAL_S)
    before = fingerprint(node)
    assert node.explain().node == FIRST.node
    assert fingerprint(node) == before
    assert node.breakers.may_attempt(FIRST)
    assert not node.breakers.may_attempt(FIRST)


@with_virtual_clock
async def test_statements_of_this_node_are_counted() -> None:
    # Guards against a queue that overlooks the statement that is running.
    scheduler = make_scheduler()
    node = Node(scheduler)
    node.lose(FIRST)
    request = TurnRequest(ENDPOINT, 'himal', 0, 'read', current_time() + 1)
    with await scheduler.acquire(request):
        queue = node.explain().queue
    assert queue == ExplainedQueue(waiting=0, in_flight=1, limit=1)


@with_virtual_clock
async def test_statements_that_are_not_limited_have_no_queue() -> None:
    # Guards against numbers that mean nothing without the option.
    node = Node(PassThroughScheduler())
    node.lose(FIRST)
    assert node.explain() == ExplainedGateway(OWN, (FIRST.node,))
