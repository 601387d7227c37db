"""Typed failures: every refusal, and every failure between processes."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import ClassVar

from trefoilhitch._generated.messages import Refusal, Run


class TrefoilhitchError(Exception):
    """Base of every failure that trefoilhitch raises on purpose."""


class RefusalError(TrefoilhitchError):
    """A request was not answered.

    Args:
        detail: what went wrong, for a person.
        run: whether the request may have run; the class's value by default.
        retry_at: Unix time in seconds from which a retry may help.

    """

    code: ClassVar[str] = 'internal'
    status: ClassVar[int] = 500
    default_run: ClassVar[Run] = 'unknown'

    def __init__(
        self,
        detail: str = '',
        *,
        run: Run | None = None,
        retry_at: float | None = None,
    ) -> None:
        """Keep what the caller is told."""
        super().__init__(detail)
        self.detail = detail
        self.run: Run = self.default_run if run is None else run
        self.retry_at = retry_at

    def refusal(self) -> Refusal:
        """Return the message that tells the caller.

        Returns:
            The refusal with its code and promise.

        """
        return Refusal(
            code=self.code,
            run=self.run,
            detail=self.detail,
            retry_at=self.retry_at,
        )


class InternalError(RefusalError):
    """The node failed in a way that it did not expect."""


class BadRequestError(RefusalError):
    """The request could not be understood."""

    code = 'bad_request'
    status = 400
    default_run = 'no'


class InvalidSessionError(RefusalError):
    """The session token is not one of this fleet's."""

    code = 'invalid_session'
    status = 400
    default_run = 'no'


class UnauthorisedError(RefusalError):
    """The key is missing, unknown or withdrawn."""

    code = 'unauthorised'
    status = 401
    default_run = 'no'


class UnknownServiceError(RefusalError):
    """No such service is declared."""

    code = 'unknown_service'
    status = 404
    default_run = 'no'


class NotFoundError(RefusalError):
    """No such resource."""

    code = 'not_found'
    status = 404
    default_run = 'no'


class RequestTimeoutError(RefusalError):
    """The caller took too long to send its request."""

    code = 'request_timeout'
    status = 408
    default_run = 'no'


class TransactionLostError(RefusalError):
    """The transaction is not open any more; its outcome is asked for apart."""

    code = 'transaction_lost'
    status = 409


class BodyTooLargeError(RefusalError):
    """The body is over the limit."""

    code = 'body_too_large'
    status = 413
    default_run = 'no'


class HeadersTooLargeError(RefusalError):
    """The headers are over the limit."""

    code = 'headers_too_large'
    status = 431
    default_run = 'no'


class SqlRejectedError(RefusalError):
    """The database refused the statement; nothing was changed."""

    code = 'sql_rejected'
    status = 422
    default_run = 'no'


class OverloadedError(RefusalError):
    """The request could not start before its deadline."""

    code = 'overloaded'
    status = 429
    default_run = 'no'


class ConnectionLimitError(RefusalError):
    """The node holds as many connections as it may."""

    code = 'connection_limit'
    status = 503
    default_run = 'no'


class NotReadyError(RefusalError):
    """The node has no configuration yet."""

    code = 'not_ready'
    status = 503
    default_run = 'no'


class ShuttingDownError(RefusalError):
    """The node is stopping and takes no new work."""

    code = 'shutting_down'
    status = 503
    default_run = 'no'


class NoPrimaryError(RefusalError):
    """The service has no known primary at the moment."""

    code = 'no_primary'
    status = 503
    default_run = 'no'


class StaleTermError(RefusalError):
    """The endpoint is not the primary of the term that the request named."""

    code = 'stale_term'
    status = 503
    default_run = 'no'


class TooOldError(RefusalError):
    """The rows that an endpoint returned were older than the caller allows."""

    code = 'too_old'
    status = 503
    default_run = 'no'


class SlotsExhaustedError(RefusalError):
    """The endpoint has no free slot; another node still holds some."""

    code = 'slots_exhausted'
    status = 503
    default_run = 'no'


class NodeUnreachableError(RefusalError):
    """No connection to another node could be made, so that nothing was sent."""

    code = 'node_unreachable'
    status = 503
    default_run = 'no'


class NotHeardError(RefusalError):
    """The start of another node was not heard of yet."""

    code = 'not_heard'
    status = 503
    default_run = 'no'


class UnreachableError(RefusalError):
    """No connection could be made, so that nothing was sent."""

    code = 'unreachable'
    status = 503
    default_run = 'no'


class ConnectionLostError(RefusalError):
    """A connection failed before the whole answer had arrived."""

    code = 'connection_lost'
    status = 502


class UnconfirmedError(RefusalError):
    """A majority did not confirm the write, or the term, in time."""

    code = 'unconfirmed'
    status = 504


class DeadlineError(RefusalError):
    """The deadline passed before the whole answer had arrived."""

    code = 'deadline_exceeded'
    status = 504


class StoreError(TrefoilhitchError):
    """The platform's object API did not do what was asked."""


class StoreUnavailableError(StoreError):
    """The object API did not answer; a write may be in effect."""


class StoreHistoryGoneError(StoreError):
    """The store has forgotten the changes since the revision that was named."""


class StoreTooLargeError(StoreError):
    """The object is larger than the object API takes."""


class StoreConflictError(StoreError):
    """The object has another version than the caller expected.

    Args:
        version: the version that is stored.

    """

    def __init__(self, version: int) -> None:
        """Keep the version that won."""
        super().__init__(f'version {version} is stored')
        self.version = version


_ERROR_TYPES: Mapping[str, type[RefusalError]] = MappingProxyType(
    {kind.code: kind for kind in RefusalError.__subclasses__()}
)


def refusal_error(refusal: Refusal) -> RefusalError:
    """Build the failure that a refusal from another process stands for.

    Args:
        refusal: what the other process answered.

    Returns:
        A failure of the type that the code names.

    """
    error_type = _ERROR_TYPES.get(refusal.code, InternalError)
    return error_type(
        refusal.detail, run=refusal.run, retry_at=refusal.retry_at
    )
