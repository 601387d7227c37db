"""What a statement is answered with."""

from dataclasses import dataclass
from enum import Enum

from trefoilhitch._generated.messages import LogPosition


class Refusal(Enum):
    """Why a statement did not succeed.

    The first group promises that nothing of the client's attempt is kept; the
    second promises nothing; the third concerns requests that cannot be run.
    """

    BUSY = 'busy'
    ABORTED = 'aborted'
    TOO_OLD = 'too_old'
    NOT_PRIMARY = 'not_primary'
    WRONG_ENDPOINT = 'wrong_endpoint'
    CONNECTION_LIMIT = 'connection_limit'

    OUTCOME_UNKNOWN = 'outcome_unknown'
    TIMEOUT = 'timeout'
    FAILED = 'failed'

    UNKNOWN_DATABASE = 'unknown_database'
    UNAUTHORISED = 'unauthorised'
    UNKNOWN_STATEMENT = 'unknown_statement'
    MALFORMED = 'malformed'


NOT_RUN_REFUSALS = frozenset(
    (
        Refusal.BUSY,
        Refusal.TOO_OLD,
        Refusal.NOT_PRIMARY,
        Refusal.WRONG_ENDPOINT,
        Refusal.CONNECTION_LIMIT,
        Refusal.UNKNOWN_STATEMENT,
    ),
)


class SessionState(Enum):
    """State of a session or of an endpoint connection."""

    IDLE = 'idle'
    TRANSACTION = 'transaction'
    FAILED = 'failed'


@dataclass(frozen=True, slots=True)
class Response:
    """The whole answer to one statement.

    Args:
        rows: rows as received, in order.
        receipt: proof of the endpoint that it ran, `-` for none.
        refusal: why it did not succeed, None if it did.
        detail: what a person should know of a refusal.
        state: state of the session afterwards.
        position: position of the endpoint's log, None if not told.

    """

    rows: tuple[str, ...] = ()
    receipt: str = '-'
    refusal: Refusal | None = None
    detail: str = ''
    state: SessionState = SessionState.IDLE
    position: LogPosition | None = None

    @property
    def ok(self) -> bool:
        """Whether the statement succeeded."""
        return self.refusal is None


def refusal_response(
    refusal: Refusal,
    detail: str,
    state: SessionState = SessionState.IDLE,
) -> Response:
    """Return an answer that refuses a statement.

    Args:
        refusal: why.
        detail: what a person should know.
        state: state of the session afterwards.

    Returns:
        The answer.

    """
    return Response(refusal=refusal, detail=detail, state=state)


def success_response(state: SessionState) -> Response:
    """Return the answer to a statement that needs no endpoint.

    Args:
        state: state of the session afterwards.

    Returns:
        The answer.

    """
    return Response(state=state)
