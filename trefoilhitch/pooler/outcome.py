"""What an attempt that did not end in an answer means for the client."""

from dataclasses import dataclass
from enum import Enum

from trefoilhitch.pooler.answer import (
    NOT_RUN,
    Answer,
    Refusal,
    SessionState,
    refused,
)
from trefoilhitch.pooler.statement import Verb


class Loss(Enum):
    """How far a statement came whose answer did not arrive whole."""

    NOT_SENT = 'not_sent'
    CONNECTION = 'connection_lost'
    DEADLINE = 'deadline'


@dataclass(frozen=True, slots=True)
class Attempt:
    """A statement as it was tried.

    Args:
        writes: whether it may change data.
        loss: how its answer was lost.

    """

    writes: bool
    loss: Loss

    @property
    def may_repeat(self) -> bool:
        """Whether the same statement may be sent once more.

        A read may. A write may only if no byte of it left.
        """
        return self.loss == Loss.NOT_SENT or not self.writes


def may_repeat_answer(answer: Answer) -> bool:
    """Tell whether an endpoint's answer proves that the statement did not run.

    Args:
        answer: the endpoint's answer.

    Returns:
        True if it may be sent again.

    """
    return answer.refusal in NOT_RUN


def single_lost(attempt: Attempt) -> Answer:
    """Return the answer to a statement outside transactions that was lost.

    Args:
        attempt: how it was tried.

    Returns:
        A promise that it did not run only where nothing was sent or nothing
        could have been written.

    """
    if attempt.loss == Loss.NOT_SENT:
        return refused(Refusal.BUSY, 'no endpoint could be asked in time')
    if attempt.writes:
        return refused(
            Refusal.OUTCOME_UNKNOWN,
            f'{attempt.loss.value} after the write was sent',
        )
    if attempt.loss == Loss.DEADLINE:
        return refused(Refusal.TIMEOUT, 'no endpoint answered in time')
    return refused(Refusal.ABORTED, 'the connection was lost during a read')


def in_transaction_lost(verb: Verb, *, wrote: bool, loss: Loss) -> Answer:
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
        return Answer()
    if verb != Verb.COMMIT:
        return refused(
            Refusal.ABORTED,
            f'{loss.value} inside the transaction',
            SessionState.FAILED,
        )
    if wrote and loss != Loss.NOT_SENT:
        return refused(
            Refusal.OUTCOME_UNKNOWN,
            f'{loss.value} after the commit was sent',
        )
    return refused(Refusal.ABORTED, f'{loss.value} before the commit')
