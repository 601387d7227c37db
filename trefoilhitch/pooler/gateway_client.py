"""Runs statements through gateways, the nodes that hold the connections."""

from collections.abc import Callable, Iterator, Mapping

from msgspec.structs import replace
from trio import current_time

from trefoilhitch._generated.peer import (
    AbandonReply,
    AbandonRequest,
    EndpointLoad,
    MemberBeat,
    RunReply,
    RunRequest,
)
from trefoilhitch.errors import DeadlineError, RefusalError, UnreachableError
from trefoilhitch.pooler.control.gateway_breakers import GatewayBreakers
from trefoilhitch.pooler.gateway_messages import (
    check_size,
    make_run_request,
    read_reply,
)
from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.peer_client import PeerClient
from trefoilhitch.pooler.ports import EndpointConnectionError
from trefoilhitch.pooler.statement_executor import (
    ConnectionNotOpenedError,
    GatewayUnavailableError,
    RateExceededError,
    StartedStatement,
    StatementJob,
    StatementTooLargeError,
)
from trefoilhitch.pooler.statement_request import (
    StatementRequest,
    StatementResult,
)

# A gateway that is leaving or was lost is replaced by the next one. Those that
# are known to accept no connections are not counted.
MAX_GATEWAYS_TRIED = 3
# Time that the response of a gateway may take beyond the endpoint's deadline.
RESPONSE_MARGIN_S = 0.1
ABANDON_TIMEOUT_S = 0.5


class GatewayConnection:
    """A connection that a gateway keeps for one transaction.

    Args:
        gateway: the gateway.
        client: sends requests to it.
        endpoint: endpoint id.
        organisation: organisation that the transaction runs for.
        transaction: id of the transaction at the gateway.

    """

    def __init__(
        self,
        *,
        gateway: MemberBeat,
        client: PeerClient,
        endpoint: str,
        organisation: str,
        transaction: str,
    ) -> None:
        """Store where the transaction runs."""
        self.endpoint = endpoint
        self._gateway = gateway
        self._client = client
        self._organisation = organisation
        self._transaction = transaction

    async def run(
        self,
        variables: Mapping[str, str],
        request: StatementRequest,
        deadline: float,
    ) -> StatementResult:
        """Run a statement; the gateway gives the connection back at the end.

        Args:
            variables: variables of the session.
            request: the statement.
            deadline: monotonic time.

        Returns:
            What the endpoint returned.

        Raises:
            EndpointConnectionError: the response did not arrive completely.

        """
        message = make_run_request(
            request,
            endpoint=self.endpoint,
            organisation=self._organisation,
            variables=variables,
            timeout_s=deadline - current_time(),
            transaction=self._transaction,
        )
        try:
            reply = await send_run(
                self._client, self._gateway, message, deadline
            )
        except StatementTooLargeError as exc:
            raise EndpointConnectionError(
                ResponseLoss.NOT_SENT, str(exc)
            ) from exc
        if reply is None:
            raise EndpointConnectionError(
                ResponseLoss.NOT_SENT, 'the gateway was not reached'
            )
        if reply.outcome != 'answered':
            raise _lost(reply)
        self._transaction = reply.transaction
        return read_reply(reply)

    def discard(self) -> None:
        """Let the gateway roll the transaction back."""
        if self._transaction:
            self._client.start_request(
                self._gateway.address,
                'abandon',
                AbandonRequest(transaction=self._transaction),
                AbandonReply,
                timeout_s=ABANDON_TIMEOUT_S,
            )
            self._transaction = ''


class GatewayExecutor:
    """Runs statements through the gateways of their organisation.

    Args:
        client: sends requests to other nodes.
        rank: returns the gateways of an organisation to an endpoint, the first
            choice first.
        breakers: tell which gateways may be tried.
        apply_load: applies what a gateway, whose name comes first, observed of
            an endpoint's load.

    """

    def __init__(
        self,
        *,
        client: PeerClient,
        rank: Callable[[str, str], tuple[MemberBeat, ...]],
        breakers: GatewayBreakers,
        apply_load: Callable[[str, EndpointLoad], None],
    ) -> None:
        """Start without known failures of gateways."""
        self._apply_load = apply_load
        self._client = client
        self._rank = rank
        self._breakers = breakers

    async def start(self, job: StatementJob) -> StartedStatement:
        """Run a statement; see `StatementExecutor`."""
        message = make_run_request(
            job.request,
            endpoint=job.endpoint,
            organisation=job.organisation,
            variables=job.variables,
            timeout_s=job.deadline - current_time(),
            keeps_connection=job.keeps_connection,
            is_admitted=job.is_admitted,
        )
        message = replace(message, priority=job.priority)
        candidates = self._candidates(
            job.endpoint, job.organisation, self._breakers.may_attempt
        )
        for gateway in candidates:
            reply = await send_run(self._client, gateway, message, job.deadline)
            if reply is None:
                self._breakers.record_failure(gateway)
                continue
            self._breakers.record_success(gateway)
            if reply.outcome != 'declined':
                return self._read_start(job, gateway, reply)
        raise GatewayUnavailableError(f'no gateway to {job.endpoint}')

    def expected_gateways(
        self, endpoint: str, organisation: str
    ) -> tuple[MemberBeat, ...]:
        """Return the gateways that a statement would try, without a trial.

        Args:
            endpoint: endpoint id.
            organisation: organisation that the statement runs for.

        Returns:
            The gateways, the first choice first.

        """
        return tuple(
            self._candidates(endpoint, organisation, self._is_open_to_attempts)
        )

    def _is_open_to_attempts(self, gateway: MemberBeat) -> bool:
        return not self._breakers.is_blocked(gateway)

    def _candidates(
        self,
        endpoint: str,
        organisation: str,
        may_attempt: Callable[[MemberBeat], bool],
    ) -> Iterator[MemberBeat]:
        tried = 0
        for gateway in self._rank(endpoint, organisation):
            if tried == MAX_GATEWAYS_TRIED:
                return
            if may_attempt(gateway):
                tried += 1
                yield gateway

    def _read_start(
        self, job: StatementJob, gateway: MemberBeat, reply: RunReply
    ) -> StartedStatement:
        if reply.admitted:
            job.on_admitted()
        if reply.load is not None:
            self._apply_load(gateway.node, reply.load)
        match reply.outcome:
            case 'answered':
                return self._read_answer(job, gateway, reply)
            case 'rate_exceeded':
                raise RateExceededError(job.organisation)
            case 'lost':
                raise _lost(reply)
            case _:
                raise ConnectionNotOpenedError(
                    reply.detail,
                    unreachable=reply.outcome == 'unreachable',
                    refused=reply.outcome == 'refused',
                    overloaded=reply.outcome == 'overloaded',
                )

    def _read_answer(
        self, job: StatementJob, gateway: MemberBeat, reply: RunReply
    ) -> StartedStatement:
        answer = read_reply(reply)
        if not reply.transaction:
            return StartedStatement(answer)
        conn = GatewayConnection(
            gateway=gateway,
            client=self._client,
            endpoint=job.endpoint,
            organisation=job.organisation,
            transaction=reply.transaction,
        )
        return StartedStatement(answer, conn)


async def send_run(
    client: PeerClient,
    gateway: MemberBeat,
    message: RunRequest,
    deadline: float,
) -> RunReply | None:
    """Send a statement to a gateway.

    Args:
        client: sends requests to other nodes.
        gateway: the gateway.
        message: the statement.
        deadline: monotonic time.

    Returns:
        The reply, None if nothing was sent.

    Raises:
        StatementTooLargeError: the message is over the limit; nothing was
            sent.
        EndpointConnectionError: the statement may have run.

    """
    check_size(message)
    try:
        return await client.call(
            gateway.address,
            'run',
            message,
            RunReply,
            deadline + RESPONSE_MARGIN_S,
            # Only this gateway can go on with its transactions.
            bypasses_guard=bool(message.transaction),
        )
    except UnreachableError:
        return None
    except DeadlineError as exc:
        raise EndpointConnectionError(
            ResponseLoss.DEADLINE_PASSED, str(exc)
        ) from exc
    except RefusalError as exc:
        raise EndpointConnectionError(
            ResponseLoss.CONNECTION_LOST, str(exc)
        ) from exc


def _lost(reply: RunReply) -> EndpointConnectionError:
    return EndpointConnectionError(
        _read_loss(reply), reply.detail, reply.connection
    )


def _read_loss(reply: RunReply) -> ResponseLoss:
    try:
        return ResponseLoss(reply.loss)
    except ValueError:
        return ResponseLoss.CONNECTION_LOST
