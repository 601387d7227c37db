"""Connects the components that run clients' statements on a node."""

from trio import current_time

from trefoilhitch.pooler.admission import Admission, TokenSource
from trefoilhitch.pooler.client_session import SessionDependencies
from trefoilhitch.pooler.connection_runner import ConnectionRunner
from trefoilhitch.pooler.control.gateway_breakers import (
    CountingBreakers,
    GatewayBreakers,
    SharedBreakers,
)
from trefoilhitch.pooler.control.peer_backoff import PeerBackoff
from trefoilhitch.pooler.endpoint_failures import EndpointFailures
from trefoilhitch.pooler.evacuation.send_guard import SendGuard
from trefoilhitch.pooler.gateway_client import GatewayExecutor
from trefoilhitch.pooler.gateway_server import GatewayServer
from trefoilhitch.pooler.node_state import NodeState
from trefoilhitch.pooler.peer_client import PEER_TIMEOUT_S
from trefoilhitch.pooler.primary_proof import PrimaryProver
from trefoilhitch.pooler.proof_fetcher import ProofFetcher
from trefoilhitch.pooler.retrying.retry_policy import (
    BudgetedBackoff,
    FixedPause,
    RetryPolicy,
)
from trefoilhitch.pooler.routed_executor import RoutedExecutor
from trefoilhitch.pooler.statement_executor import LocalExecutor
from trefoilhitch.pooler.statement_records import StatementRecords
from trefoilhitch.pooler.statement_runner import StatementRunner
from trefoilhitch.pooler.statement_sender import StatementSender
from trefoilhitch.pooler.token_requester import TokenRequester
from trefoilhitch.pooler.transaction_runner import TransactionRunner


def make_token_requester(state: NodeState) -> TokenRequester:
    """Create what requests rate tokens from other nodes.

    Args:
        state: state of the node.

    Returns:
        The requester, which has to run.

    """
    runtime = state.runtime
    return TokenRequester(
        membership=state.membership,
        directory=state.directory,
        client=state.client,
        clock=runtime.clock,
        backoff=PeerBackoff.with_backoff(
            runtime.random, trial_s=PEER_TIMEOUT_S
        ),
        metrics=runtime.metrics,
    )


def make_admission(state: NodeState, tokens: TokenSource) -> Admission:
    """Create the admission control of this node's connections.

    Args:
        state: state of the node.
        tokens: requests tokens from other nodes.

    Returns:
        The admission control.

    """
    runtime = state.runtime
    return Admission(
        rates=state.rates,
        tokens=tokens,
        clock=runtime.clock,
        metrics=runtime.metrics,
        by_priority=state.options.scheduling.rates_by_priority,
    )


def make_local_executor(
    state: NodeState, admission: Admission
) -> LocalExecutor:
    """Create the executor on this node's connections.

    Args:
        state: state of the node.
        admission: spends tokens of rates.

    Returns:
        The executor.

    """
    runtime = state.runtime
    runner = ConnectionRunner(
        connector=state.connector,
        metrics=runtime.metrics,
        guard=SendGuard(state.cluster.evacuated),
        records=_make_records(state),
    )
    return LocalExecutor(
        pool=state.pool,
        runner=runner,
        admission=admission,
        scheduler=state.scheduler,
        loads=state.loads,
        has_left=lambda endpoint: state.cluster.endpoints.has_left(
            endpoint, current_time()
        ),
        evacuated=state.cluster.evacuated,
    )


def make_gateway_server(
    state: NodeState, executor: LocalExecutor
) -> GatewayServer:
    """Create the part of a node that serves other nodes' statements.

    Args:
        state: state of the node.
        executor: executor on this node's connections.

    Returns:
        The server.

    """
    return GatewayServer(
        executor=executor,
        accepts=lambda endpoint: (
            state.cluster.evacuated.data_centres.is_known
            and state.gateways.holds_connections(endpoint)
        ),
        idle_limit_s=lambda: state.declaration.limits.transaction_idle_s,
        log=state.runtime.log,
        loads=(state.loads if state.options.balancing.reads_by_load else None),
    )


def make_gateway_executor(state: NodeState) -> GatewayExecutor:
    """Create the executor through other nodes.

    Args:
        state: state of the node.

    Returns:
        The executor.

    """
    return GatewayExecutor(
        client=state.client,
        rank=state.gateways.rank,
        breakers=_make_breakers(state),
        apply_load=state.loads.apply_gateway_report,
    )


def make_session_dependencies(
    state: NodeState,
    executor: RoutedExecutor,
    prover: PrimaryProver,
    proofs: ProofFetcher,
) -> SessionDependencies:
    """Create what the sessions of clients share.

    Args:
        state: state of the node.
        executor: runs statements on endpoints.
        prover: proves that an endpoint is the primary.
        proofs: fetches proofs that reads need.

    Returns:
        The dependencies.

    """
    runtime = state.runtime
    failures = EndpointFailures(
        cluster=state.cluster,
        reject_waiters=state.reject_waiters,
        loads=state.loads,
        log=runtime.log,
        metrics=runtime.metrics,
    )
    statements = StatementRunner(
        cluster=state.cluster,
        sender=StatementSender(
            cluster=state.cluster,
            executor=executor,
            prover=prover,
            loads=state.loads,
        ),
        prover=prover,
        proofs=proofs,
        failures=failures,
        retries=make_retry_policy(state),
        log=runtime.log,
        metrics=runtime.metrics,
    )
    transactions = TransactionRunner(
        cluster=state.cluster,
        statements=statements,
        prover=prover,
        log=runtime.log,
    )
    return SessionDependencies(
        declaration=state.declaration,
        cluster=state.cluster,
        statements=statements,
        transactions=transactions,
        log=runtime.log,
        metrics=runtime.metrics,
    )


def _make_records(state: NodeState) -> StatementRecords:
    metrics = state.runtime.metrics
    records = StatementRecords(
        state.membership.heartbeat.node, state.runtime.log, metrics
    )
    metrics.add_gauges(records.gauges)
    return records


def _make_breakers(state: NodeState) -> GatewayBreakers:
    if state.client.is_guarded:
        return SharedBreakers(state.client)
    return CountingBreakers()


def make_retry_policy(state: NodeState) -> RetryPolicy:
    """Create the policy by which statements are repeated.

    Args:
        state: state of the node.

    Returns:
        The policy, without statements so far.

    """
    if state.options.retries.with_backoff:
        return BudgetedBackoff(state.runtime.random.random)
    return FixedPause()
