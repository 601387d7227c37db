"""Logs fences that endpoints hold no more, and what has lifted them."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum

from trio import current_time

from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.pooler.ports import EndpointStatus
from trefoilhitch.position import at_least


class LiftCause(Enum):
    """What has lifted a fence."""

    # The endpoint started again.
    RESTART = 'restart'
    # An order, for the endpoint has not started again: a late RESUME, or a
    # promotion whose term it has not reported yet.
    ORDER = 'order'
    # The connection to the endpoint was closed, and nothing shows a restart.
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class FencedProcess:
    """Process of an endpoint that confirmed its fence.

    Args:
        status: the status that confirmed it.
        started_at_ms: Unix time of its start in ms, by its entry at that time;
            None without an entry.
        confirmed_at: monotonic time.

    """

    status: EndpointStatus
    started_at_ms: int | None
    confirmed_at: float


class FenceWatch:
    """Watches the fences of one failover.

    Args:
        service: service of the failover.
        term: term of the fences.
        started_at_ms: returns the Unix time in ms of an endpoint's start by
            its entry, None without an entry.
        connected_since: returns since when the connection is open on which an
            endpoint answered last.
        log: receives an event for each lifted fence.

    """

    def __init__(
        self,
        *,
        service: str,
        term: int,
        started_at_ms: Callable[[str], int | None],
        connected_since: Callable[[str], float | None],
        log: DecisionLog,
    ) -> None:
        """Start without fences."""
        self._service = service
        self._term = term
        self._started_at_ms = started_at_ms
        self._connected_since = connected_since
        self._log = log
        self._standing: dict[str, FencedProcess] = {}
        self._lifted: dict[str, LiftCause] = {}

    @property
    def lifted(self) -> Mapping[str, LiftCause]:
        """Causes of the fences that were lifted and do not stand again."""
        return dict(self._lifted)

    def observe(
        self, endpoint: str, status: EndpointStatus, *, needs_fence: bool
    ) -> None:
        """Compare an answer of an endpoint with the last one.

        Args:
            endpoint: id of the endpoint.
            status: what it reported.
            needs_fence: whether it is not fenced, but has to be.

        """
        if needs_fence:
            fenced = self._standing.pop(endpoint, None)
            if fenced is not None:
                self._record_lifted(endpoint, fenced, status)
            return
        self._lifted.pop(endpoint, None)
        self._standing[endpoint] = FencedProcess(
            status, self._started_at_ms(endpoint), current_time()
        )

    def _record_lifted(
        self, endpoint: str, fenced: FencedProcess, status: EndpointStatus
    ) -> None:
        cause = lift_cause(
            fenced,
            status,
            started_at_ms=self._started_at_ms(endpoint),
            connected_since=self._connected_since(endpoint),
        )
        self._lifted[endpoint] = cause
        self._log.event(
            'fence_lifted',
            service=self._service,
            endpoint=endpoint,
            term=self._term,
            cause=cause.value,
            fenced_position=fenced.status.position,
            status=status,
        )


def lift_cause(
    fenced: FencedProcess,
    status: EndpointStatus,
    *,
    started_at_ms: int | None,
    connected_since: float | None,
) -> LiftCause:
    """Return what has lifted a fence.

    Args:
        fenced: the process that confirmed the fence.
        status: what the endpoint reported since.
        started_at_ms: Unix time of its start in ms, by its entry.
        connected_since: since when the connection is open on which it
            reported, as monotonic time.

    """
    if connected_since is not None and connected_since <= fenced.confirmed_at:
        return LiftCause.ORDER
    has_new_entry = started_at_ms != fenced.started_at_ms
    has_lost_log = not at_least(status.position, fenced.status.position)
    return (
        LiftCause.RESTART
        if has_new_entry or has_lost_log
        else LiftCause.UNKNOWN
    )
