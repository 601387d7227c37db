"""Responses to statements."""

from dataclasses import dataclass
from enum import Enum

from trefoilhitch._generated.messages import LogPosition


class Refusal(Enum):
    """Reason why a statement failed.

    The first group guarantees that the attempt has no effect. The second
    group leaves open whether it had one. The third group is for requests that
    cannot be run.
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
    """The complete response to one statement.

    Args:
        rows: rows in the order in which they were received.
        receipt: the endpoint's proof of execution, `-` if there is none.
        refusal: reason for a failure, None on success.
        detail: explanation of a refusal for people.
        state: session state after the statement.
        position: log position of the endpoint, None if it reported none.

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
    """Return a response that refuses a statement.

    Args:
        refusal: reason for the refusal.
        detail: explanation for people.
        state: session state after the statement.

    Returns:
        The response.

    """
    return Response(refusal=refusal, detail=detail, state=state)


def success_response(state: SessionState) -> Response:
    """Return the response to a statement that succeeded without an endpoint.

    Args:
        state: session state after the statement.

    Returns:
        The response.

    """
    return Response(state=state)
