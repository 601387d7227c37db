"""What this node believes of endpoints and of who leads."""

from collections.abc import Callable, Collection

from trio import Event

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.pooler.circuit_breakers import CircuitBreakers
from trefoilhitch.pooler.commit_tracker import CommitTracker
from trefoilhitch.pooler.endpoint_registry import (
    EndpointRecord,
    EndpointRegistry,
)
from trefoilhitch.pooler.endpoint_selection import (
    EndpointSelector,
    ReadRequirements,
    Target,
    choose_read_target,
)
from trefoilhitch.pooler.failover_decision import PrimaryEvidence
from trefoilhitch.pooler.observations import (
    ObservationHistory,
    PrimaryObservation,
)
from trefoilhitch.pooler.primary_tracker import Primary, PrimaryTracker
from trefoilhitch.pooler.suspension import was_suspended

# How long an endpoint is avoided that did not answer, or could not be reached.
AVOID_SILENT_S = 2.0
# How long an endpoint is avoided that closed a connection.
AVOID_CLOSED_S = 0.5
# How long a replica is avoided for reads whose log had not come far enough.
AVOID_LAGGING_S = 0.4
# A planned change of a lead is over within this time.
PLANNED_CHANGE_S = 1.0


class ClusterState:
    """Joins the directory, proofs, failures and commits.

    Args:
        selector: ranks endpoints for reads.
        log: takes note of what changes.
        clock: seconds, on a clock that counts suspended time.

    """

    def __init__(
        self,
        *,
        selector: EndpointSelector,
        log: DecisionLog,
        clock: Callable[[], float],
    ) -> None:
        """Start knowing nothing."""
        self.endpoints = EndpointRegistry()
        self.observations = ObservationHistory()
        self.commits = CommitTracker()
        self.selector = selector
        self.breakers = CircuitBreakers()
        self.clock = clock
        self._primaries = PrimaryTracker()
        self._log = log
        self._changed = Event()
        self._unanswered: dict[str, float] = {}
        self._no_primary_since: dict[str, float] = {}

    def primary(self, service: str) -> str | None:
        """Return the endpoint to try as the lead of a service.

        Args:
            service: its name.

        Returns:
            Its id, None if none is known.

        """
        holders = self.endpoints.log_holders(service)
        lead = self._primaries.current(service, holders)
        if lead is None:
            self._no_primary_since.setdefault(service, self.clock())
        else:
            self._no_primary_since.pop(service, None)
        return lead

    def expects_primary(self, service: str) -> bool:
        """Tell whether a service is about to have a lead.

        Args:
            service: its name.

        Returns:
            True if it has none, but had one a moment ago.

        """
        since = self._no_primary_since.get(service)
        if since is None:
            return False
        return self.clock() - since < PLANNED_CHANGE_S

    def primary_data_centre(self, service: str) -> str:
        """Return where the lead of a service stands.

        Args:
            service: its name.

        Returns:
            The data centre, empty if it is not known.

        """
        lead = self.primary(service)
        record = self.find(lead) if lead else None
        return record.data_centre if record else ''

    def service_with_oldest_proof(self, older_than_s: float) -> str | None:
        """Return the service whose newest proof is the oldest.

        Args:
            older_than_s: least age of the proof in seconds.

        Returns:
            The service, None if all proofs are younger.

        """
        limit = self.clock() - older_than_s
        oldest = min(
            self.observations.newest_per_service(),
            key=lambda observed: observed.sent_at,
            default=None,
        )
        if oldest is None or oldest.sent_at > limit:
            return None
        return oldest.service

    def proved_term(self, service: str) -> int:
        """Return the latest proved term of a service.

        Args:
            service: its name.

        Returns:
            The term, 0 if nothing was proved.

        """
        return self._primaries.term(service)

    def record_proof(
        self,
        primary: Primary,
        position: LogPosition,
        sent_at: float,
        source: str,
    ) -> None:
        """Take note of proof that an endpoint leads.

        Args:
            primary: endpoint and term that it leads.
            position: end of its log.
            sent_at: when the question was sent.
            source: who proved it, for the log.

        """
        observed = PrimaryObservation(
            primary.service, primary.endpoint, primary.term, position, sent_at
        )
        if primary.term >= self.proved_term(primary.service):
            self.observations.add(observed)
            self._clear_unanswered(primary.service, sent_at)
        self.record_primary(primary, source)

    def record_primary(self, primary: Primary, source: str) -> None:
        """Take note of who leads, without proof of when.

        Args:
            primary: endpoint and term that it leads.
            source: who said so, for the log.

        """
        if self._primaries.record_proof(primary):
            self._log.event(
                'lead_changed',
                service=primary.service,
                endpoint=primary.endpoint,
                term=primary.term,
                source=source,
            )
            self.notify_change()

    def record_not_primary(
        self, service: str, endpoint: str, source: str
    ) -> None:
        """Take note that an endpoint said it does not lead.

        Args:
            service: the service.
            endpoint: its id.
            source: what it refused, for the log.

        """
        if self._primaries.record_not_primary(service, endpoint):
            self._log.event(
                'lead_lost', service=service, endpoint=endpoint, source=source
            )
            self.notify_change()

    def record_unanswered(
        self, service: str, sent_at: float, timeout_s: float = 0
    ) -> None:
        """Take note that the lead did not answer a question.

        Args:
            service: the service.
            sent_at: when the question was sent.
            timeout_s: how long the answer was waited for.

        """
        if self._was_suspended(service, sent_at, timeout_s):
            return
        newest = self.observations.newest(service)
        if newest is not None and newest.sent_at >= sent_at:
            return
        self._unanswered.setdefault(service, sent_at)

    def record_commit_overdue(
        self, service: str, endpoint: str, sent_at: float, timeout_s: float
    ) -> None:
        """Take note that the lead did not acknowledge a commit.

        Args:
            service: the service.
            endpoint: id of the endpoint.
            sent_at: when the commit was sent.
            timeout_s: how long the answer was waited for.

        """
        if not self._was_suspended(service, sent_at, timeout_s):
            self.commits.record_overdue(service, endpoint, sent_at)

    def evidence(self, service: str, primary: str | None) -> PrimaryEvidence:
        """Return what is known of a service's lead.

        Args:
            service: the service.
            primary: id of the endpoint that is taken for its lead.

        Returns:
            The evidence.

        """
        track = self.commits.progress(service, primary or '')
        return PrimaryEvidence(
            unanswered_since=self._unanswered.get(service),
            unacknowledged_since=track.first_overdue_sent_at,
        )

    def choose_read_target(
        self, requirements: ReadRequirements, now: float, tried: Collection[str]
    ) -> Target | None:
        """Choose where a read runs.

        Args:
            requirements: what it asks for.
            now: monotonic time.
            tried: endpoints that could not run it.

        Returns:
            The target, None if no endpoint can be asked now.

        """
        service = requirements.route.service
        usable = self.endpoints.usable(service)
        return choose_read_target(
            requirements,
            self.selector.rank(usable, now),
            self.primary(service),
            self.observations,
            tried,
        )

    def find(self, endpoint: str) -> EndpointRecord | None:
        """Return the entry of an endpoint.

        Args:
            endpoint: its id.

        Returns:
            The entry, None if there is none.

        """
        return self.endpoints.get(endpoint)

    def record_reached(self, endpoint: str) -> None:
        """Take note that an endpoint answered this node.

        Args:
            endpoint: its id.

        """
        self.selector.clear_failure(endpoint)
        if self.breakers.record_success(endpoint):
            self.notify_change()

    def notify_change(self) -> None:
        """Wake whoever waits for a change."""
        self._changed.set()
        self._changed = Event()

    async def wait_for_change(self) -> None:
        """Wait until something changes that a statement may wait for."""
        await self._changed.wait()

    def _was_suspended(
        self, service: str, sent_at: float, timeout_s: float
    ) -> bool:
        now = self.clock()
        still = bool(timeout_s) and was_suspended(sent_at, timeout_s, now)
        if still:
            self._log.event(
                'suspicion_dropped',
                service=service,
                detail='this process stood still',
                waited_s=round(now - sent_at, 3),
            )
        return still

    def _clear_unanswered(self, service: str, sent_at: float) -> None:
        since = self._unanswered.get(service)
        if since is not None and since <= sent_at:
            self._unanswered.pop(service)
