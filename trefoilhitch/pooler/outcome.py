"""Responses to statements for which no complete response arrived."""

from dataclasses import dataclass
from enum import Enum

from trefoilhitch.pooler.response import (
    NOT_RUN_REFUSALS,
    Refusal,
    Response,
    SessionState,
    refusal_response,
)
from trefoilhitch.pooler.statement import Verb


class ResponseLoss(Enum):
    """How the response to a statement was lost."""

    NOT_SENT = 'not_sent'
    CONNECTION_LOST = 'connection_lost'
    DEADLINE_PASSED = 'deadline'


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """An attempt at a statement whose response was lost.

    Args:
        writes: whether the statement may change data.
        loss: how the response was lost.

    """

    writes: bool
    loss: ResponseLoss

    @property
    def may_retry(self) -> bool:
        """Whether the statement may be retried.

        A read may always be retried, a write only if no byte of it was sent.
        """
        return self.loss == ResponseLoss.NOT_SENT or not self.writes


def proves_not_run(response: Response) -> bool:
    """Return whether a response proves that the statement did not run.

    Args:
        response: response of the endpoint.

    Returns:
        True if the statement may be retried.

    """
    return response.refusal in NOT_RUN_REFUSALS


def lost_statement_response(attempt: FailedAttempt) -> Response:
    """Return the response to a lost statement outside a transaction.

    Args:
        attempt: the last attempt at the statement.

    Returns:
        The response. It guarantees that the statement had no effect only if
        nothing was sent or the statement is a read.

    """
    if attempt.loss == ResponseLoss.NOT_SENT:
        return refusal_response(
            Refusal.BUSY, 'no endpoint could be asked in time'
        )
    if attempt.writes:
        return refusal_response(
            Refusal.OUTCOME_UNKNOWN,
            f'{attempt.loss.value} after the write was sent',
        )
    if attempt.loss == ResponseLoss.DEADLINE_PASSED:
        return refusal_response(Refusal.TIMEOUT, 'no endpoint answered in time')
    return refusal_response(
        Refusal.ABORTED, 'the connection was lost during a read'
    )


def unproved_commit_response() -> Response:
    """Return the response to a commit that its endpoint has acknowledged.

    The endpoint may have been replaced by one that does not hold the commit.
    """
    return refusal_response(
        Refusal.OUTCOME_UNKNOWN, 'the primary may have been replaced'
    )


def lost_transaction_response(
    verb: Verb, *, wrote: bool, loss: ResponseLoss
) -> Response:
    """Return the response to a statement that was lost with its transaction.

    The endpoint rolls a transaction back when its connection ends, so it can
    only have had an effect if it had written and its commit was sent.

    Args:
        verb: kind of the lost statement.
        wrote: whether the transaction had sent a write.
        loss: how the response was lost.

    Returns:
        The response; its state is FAILED if the client still has to end the
        transaction.

    """
    if verb == Verb.ROLLBACK:
        return Response()
    if verb != Verb.COMMIT:
        return refusal_response(
            Refusal.ABORTED,
            f'{loss.value} inside the transaction',
            SessionState.FAILED,
        )
    if wrote and loss != ResponseLoss.NOT_SENT:
        return refusal_response(
            Refusal.OUTCOME_UNKNOWN,
            f'{loss.value} after the commit was sent',
        )
    return refusal_response(Refusal.ABORTED, f'{loss.value} before the commit')
