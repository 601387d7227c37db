"""Converts statements and their outcomes to messages between nodes."""

from collections.abc import Mapping

from msgspec.json import encode

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.peer import RunReply, RunRequest, StatusReport
from trefoilhitch.errors import BadRequestError
from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.peer_dependencies import PEER_LIMITS
from trefoilhitch.pooler.ports import (
    EndpointConnectionError,
    EndpointStatus,
)
from trefoilhitch.pooler.response import Refusal, Response, SessionState
from trefoilhitch.pooler.statement import PreparedStatement, Statement, Verb
from trefoilhitch.pooler.statement_executor import StatementTooLargeError
from trefoilhitch.pooler.statement_request import (
    StatementRequest,
    StatementResult,
)

_MS_PER_S = 1000
# JSON writes a control character as six.
_MAX_BYTES_PER_CHARACTER = 6
# Half of the limit: the other fields and the punctuation take less than that.
_SURELY_FITS_BYTES = PEER_LIMITS.body_bytes // 2


def make_run_request(
    request: StatementRequest,
    *,
    endpoint: str,
    organisation: str,
    variables: Mapping[str, str],
    timeout_s: float,
    keeps_connection: bool = False,
    is_admitted: bool = False,
    transaction: str = '',
) -> RunRequest:
    """Build the message that has a gateway run a statement.

    Args:
        request: the statement.
        endpoint: endpoint id.
        organisation: organisation that it runs for.
        variables: variables of the session.
        timeout_s: time until its deadline, in seconds.
        keeps_connection: whether the connection is kept if it succeeds.
        is_admitted: whether a token was spent for the operation before.
        transaction: transaction that it belongs to, empty for none.

    Returns:
        The message.

    """
    statement = request.statement
    prepared = request.prepared
    minimum = request.minimum_position
    return RunRequest(
        organisation=organisation,
        verb=statement.verb.value,
        text=statement.text,
        timeout_ms=max(0, int(timeout_s * _MS_PER_S)),
        endpoint=endpoint,
        request=statement.request_id,
        name=statement.name,
        argument=statement.argument,
        prepared_access=prepared.access if prepared else '',
        prepared_body=prepared.body if prepared else '',
        variables=dict(variables),
        minimum_term=minimum.term if minimum else 0,
        minimum_position=minimum.position if minimum else None,
        needs_status=request.requires_primary_proof,
        keeps_connection=keeps_connection,
        admitted=is_admitted,
        transaction=transaction,
    )


def check_size(message: RunRequest) -> None:
    """Check that other nodes accept a message.

    Args:
        message: the message.

    Raises:
        StatementTooLargeError: the message is over the limit.

    """
    texts = (
        message.text,
        message.name,
        message.argument,
        message.prepared_body,
        *message.variables,
        *message.variables.values(),
    )
    # Most messages are so short that they need not be encoded for this.
    if sum(map(len, texts)) * _MAX_BYTES_PER_CHARACTER < _SURELY_FITS_BYTES:
        return
    size = len(encode(message))
    if size > PEER_LIMITS.body_bytes:
        raise StatementTooLargeError(
            f'the statement and its session take {size} bytes'
        )


def read_statement(message: RunRequest) -> StatementRequest:
    """Decode the statement of a message.

    Args:
        message: message of another node.

    Returns:
        The statement.

    Raises:
        BadRequestError: the message names an unknown verb or access.

    """
    try:
        verb = Verb(message.verb)
    except ValueError as exc:
        raise BadRequestError(str(exc)) from exc
    position = None
    if message.minimum_position is not None:
        position = LogPosition(
            term=message.minimum_term, position=message.minimum_position
        )
    statement = Statement(
        message.request,
        verb,
        message.text,
        name=message.name,
        argument=message.argument,
    )
    return StatementRequest(
        statement, _read_prepared(message), position, message.needs_status
    )


def _read_prepared(message: RunRequest) -> PreparedStatement | None:
    match message.prepared_access:
        case 'read':
            return PreparedStatement('read', message.prepared_body)
        case 'write':
            return PreparedStatement('write', message.prepared_body)
        case '':
            return None
        case _:
            raise BadRequestError('unknown access of a prepared statement')


def write_reply(
    reply: StatementResult, *, transaction: str, admitted: bool
) -> RunReply:
    """Encode what an endpoint returned.

    Args:
        reply: what the endpoint returned.
        transaction: transaction that keeps the connection, empty if none.
        admitted: whether a token was spent.

    Returns:
        The message.

    """
    response = reply.response
    position = response.position or LogPosition()
    return RunReply(
        detail=response.detail,
        rows=list(response.rows),
        receipt=response.receipt,
        refusal=response.refusal.value if response.refusal else '',
        state=response.state.value,
        position_term=position.term,
        position=position.position if response.position else None,
        status=write_status(reply.status) if reply.status else None,
        transaction=transaction,
        admitted=admitted,
        connection=reply.connection,
    )


def read_reply(message: RunReply) -> StatementResult:
    """Decode what an endpoint returned.

    Args:
        message: message of a gateway.

    Returns:
        What the endpoint returned.

    Raises:
        EndpointConnectionError: the message is malformed; the statement may
            have run.

    """
    position = None
    if message.position is not None:
        position = LogPosition(
            term=message.position_term, position=message.position
        )
    try:
        response = Response(
            rows=tuple(message.rows),
            receipt=message.receipt,
            refusal=Refusal(message.refusal) if message.refusal else None,
            detail=message.detail,
            state=SessionState(message.state),
            position=position,
        )
    except ValueError as exc:
        raise EndpointConnectionError(
            ResponseLoss.CONNECTION_LOST, str(exc)
        ) from exc
    status = read_status(message.status) if message.status else None
    return StatementResult(response, status, message.connection)


def write_status(status: EndpointStatus) -> StatusReport:
    """Encode the status of an endpoint.

    Args:
        status: the status.

    Returns:
        The message.

    """
    return StatusReport(
        primary=status.is_primary,
        term=status.term,
        position_term=status.position.term,
        position=status.position.position,
        fenced_term=status.fenced_term,
    )


def read_status(report: StatusReport) -> EndpointStatus | None:
    """Decode the status of an endpoint.

    Args:
        report: message of another node.

    Returns:
        The status, None if the endpoint did not answer.

    """
    if not report.answered:
        return None
    return EndpointStatus(
        is_primary=report.primary,
        term=report.term,
        position=LogPosition(
            term=report.position_term, position=report.position
        ),
        fenced_term=report.fenced_term,
    )
