"""What the fenced endpoints of a service reported when they were last asked."""

from collections.abc import Callable, Collection, Mapping
from types import MappingProxyType

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.pooler.failover_decision import FencedEndpoint
from trefoilhitch.pooler.ports import EndpointStatus
from trefoilhitch.pooler.restarted_endpoints import has_its_log
from trefoilhitch.position import ORIGIN, at_least

_NO_RESTARTS: Mapping[str, LogPosition] = MappingProxyType({})


class FenceState:
    """Tells which endpoints neither make nor receive commits.

    Args:
        term: term of the fences, above all known terms, those of earlier
            fences included.
        known_term: latest term in which a primary is known to have led.
        primary: id of the current primary, None if it is unknown.
        needed_position: returns the position that proves that an endpoint has
            not lost its log, None if it did not start again.

    """

    def __init__(
        self,
        *,
        term: int,
        known_term: int,
        primary: str | None,
        needed_position: Callable[[str], LogPosition | None] = _NO_RESTARTS.get,
    ) -> None:
        """Start without fenced endpoints."""
        self.term = term
        self.primary = primary
        self._known_term = known_term
        self._needed_position = needed_position
        # Newest statuses of the endpoints that answered when last asked.
        self._statuses: dict[str, EndpointStatus] = {}
        # Ends of the logs of demoted primaries when they were demoted.
        self._demoted: dict[str, LogPosition] = {}
        self._fenced: set[str] = set()
        self._unchecked: set[str] = set()
        self._lifted: set[str] = set()
        # Furthest end of its log that each endpoint has reported.
        self._log_ends: dict[str, LogPosition] = {}

    @property
    def fenced(self) -> tuple[FencedEndpoint, ...]:
        """The endpoints whose fences stood when last asked."""
        return self._describe(self._with_log(self._fenced))

    @property
    def checked(self) -> tuple[FencedEndpoint, ...]:
        """Those of the fenced endpoints that the last check has confirmed."""
        return self._describe(self._with_log(self._fenced - self._unchecked))

    @property
    def without_log(self) -> list[str]:
        """Ids of the fenced endpoints that have lost their logs, sorted."""
        return sorted(self._fenced - self._with_log(self._fenced))

    @property
    def is_checked(self) -> bool:
        """Whether the last check awaits no more answers."""
        return not self._unchecked

    @property
    def stands(self) -> bool:
        """Whether the last check has found no lifted fence."""
        return not self._lifted

    def begin_check(self) -> list[str]:
        """Return the endpoints that have to confirm their fences, sorted."""
        self._unchecked = set(self._fenced)
        return sorted(self._fenced)

    def record_check(
        self, endpoint: str, status: EndpointStatus | None
    ) -> None:
        """Record the answer to a check.

        Args:
            endpoint: id of the endpoint.
            status: what it reported, None without an answer.

        """
        self.record(endpoint, status)
        if status is not None and self.needs_fence(endpoint):
            self._lifted.add(endpoint)

    def record(self, endpoint: str, status: EndpointStatus | None) -> None:
        """Record the answer to a status request or a fence.

        An endpoint that does not answer has proved nothing.

        Args:
            endpoint: id of the endpoint.
            status: what it reported, None without an answer.

        """
        self._unchecked.discard(endpoint)
        self._fenced.discard(endpoint)
        self._statuses.pop(endpoint, None)
        if status is None:
            return
        self._statuses[endpoint] = status
        if not self._holds_its_log(endpoint, status):
            return
        self._log_ends[endpoint] = status.position
        if self._is_fenced(endpoint, status):
            self._fenced.add(endpoint)
            self._lifted.discard(endpoint)

    def record_demotion(self, endpoint: str, status: EndpointStatus) -> None:
        """Record the answer of a primary that had to become a replica.

        Args:
            endpoint: id of the endpoint.
            status: what it reported.

        """
        if not status.is_primary:
            self._demoted[endpoint] = status.position

    def was_demoted(self, endpoint: str | None) -> bool:
        """Return whether an endpoint has reported that it was demoted.

        Args:
            endpoint: id of the endpoint.

        """
        return endpoint in self._demoted

    def is_primary(self, endpoint: str) -> bool:
        """Return whether an endpoint reported that it is the primary.

        Args:
            endpoint: id of the endpoint.

        """
        status = self._statuses.get(endpoint)
        return status is not None and status.is_primary

    def needs_fence(self, endpoint: str) -> bool:
        """Return whether an endpoint has to be fenced, perhaps again.

        A promotion to a later term lifts fences rightly.

        Args:
            endpoint: id of the endpoint.

        """
        status = self._statuses.get(endpoint)
        if status is None or self._is_fenced(endpoint, status):
            return False
        return status.term <= self._known_term

    def needs_demotion(self, endpoint: str) -> bool:
        """Return whether an endpoint leads in a term that is to end.

        Args:
            endpoint: id of the endpoint.

        """
        return self.is_primary(endpoint) and self.needs_fence(endpoint)

    def _with_log(self, names: Collection[str]) -> set[str]:
        return {
            name
            for name in names
            if has_its_log(
                self._statuses[name].position, self._needed_position(name)
            )
        }

    def _holds_its_log(self, endpoint: str, status: EndpointStatus) -> bool:
        """Return whether an endpoint still holds what it has reported.

        One that restarted with an empty log may have held commits that no
        other fenced endpoint holds.
        """
        log_end = self._log_ends.get(endpoint, ORIGIN)
        return at_least(status.position, log_end)

    def _is_fenced(self, endpoint: str, status: EndpointStatus) -> bool:
        """Return whether an endpoint neither makes nor receives commits.

        A primary that was not demoted goes on, whatever fence it reports. The
        current one, once demoted, need not report a fence while it holds its
        log: no other primary has a term as late.
        """
        if status.is_primary:
            return False
        if status.fenced_term >= self.term:
            return True
        demoted_at = self._demoted.get(endpoint)
        if endpoint != self.primary or demoted_at is None:
            return False
        return at_least(status.position, demoted_at)

    def _describe(self, names: Collection[str]) -> tuple[FencedEndpoint, ...]:
        return tuple(
            FencedEndpoint(
                name,
                self._statuses[name].term,
                self._statuses[name].position,
                was_primary=name == self.primary,
            )
            for name in sorted(names)
        )
