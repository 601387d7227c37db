"""What an attempt that did not end in an answer means for the client."""

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
    """How far a statement came whose answer did not arrive whole."""

    NOT_SENT = 'not_sent'
    CONNECTION_LOST = 'connection_lost'
    DEADLINE_PASSED = 'deadline'


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """A statement as it was tried.

    Args:
        writes: whether it may change data.
        loss: how its answer was lost.

    """

    writes: bool
    loss: ResponseLoss

    @property
    def may_retry(self) -> bool:
        """Whether the same statement may be sent once more.

        A read may. A write may only if no byte of it left.
        """
        return self.loss == ResponseLoss.NOT_SENT or not self.writes


def proves_not_run(response: Response) -> bool:
    """Tell whether an endpoint's answer proves that the statement did not run.

    Args:
        response: the endpoint's answer.

    Returns:
        True if it may be sent again.

    """
    return response.refusal in NOT_RUN_REFUSALS


def lost_statement_response(attempt: FailedAttempt) -> Response:
    """Return the answer to a statement outside transactions that was lost.

    Args:
        attempt: how it was tried.

    Returns:
        A promise that it did not run only where nothing was sent or nothing
        could have been written.

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


def lost_transaction_response(
    verb: Verb, *, wrote: bool, loss: ResponseLoss
) -> Response:
    """Return the answer to a statement whose transaction was lost with it.

    A transaction ends with its connection, and nothing of it is kept unless
    its commit was sent and it had written.

    Args:
        verb: what the lost statement does.
        wrote: whether the transaction had sent a write.
        loss: how the answer was lost.

    Returns:
        The answer; its state is FAILED while the client still has to end the
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
