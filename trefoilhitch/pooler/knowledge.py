"""What this node believes of endpoints and of who leads."""

from collections.abc import Callable, Collection

from trio import Event

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.pooler.commits import Commits
from trefoilhitch.pooler.endpoint_book import EndpointBook, EndpointRecord
from trefoilhitch.pooler.freshness import Observation, Observations
from trefoilhitch.pooler.leadership import Lead, Leadership
from trefoilhitch.pooler.reach import Reach
from trefoilhitch.pooler.succession import LeadEvidence
from trefoilhitch.pooler.suspension import stood_still
from trefoilhitch.pooler.target import (
    EndpointChoice,
    ReadNeed,
    Target,
    read_target,
)

# How long an endpoint is avoided that did not answer, or could not be reached.
AVOID_SILENT_S = 2.0
# How long an endpoint is avoided that closed a connection.
AVOID_CLOSED_S = 0.5
# How long a replica is avoided for reads whose log had not come far enough.
AVOID_LAGGING_S = 0.4
# A planned change of a lead is over within this time.
CHANGE_EXPECTED_S = 1.0


class Knowledge:
    """Joins the directory, proofs, failures and commits.

    Args:
        choice: ranks endpoints for reads.
        log: takes note of what changes.
        clock: seconds, on a clock that counts suspended time.

    """

    def __init__(
        self,
        *,
        choice: EndpointChoice,
        log: DecisionLog,
        clock: Callable[[], float],
    ) -> None:
        """Start knowing nothing."""
        self.book = EndpointBook()
        self.observations = Observations()
        self.commits = Commits()
        self.choice = choice
        self.reach = Reach()
        self.clock = clock
        self._leadership = Leadership()
        self._log = log
        self._changed = Event()
        self._unanswered: dict[str, float] = {}
        self._leaderless_since: dict[str, float] = {}

    def lead(self, service: str) -> str | None:
        """Return the endpoint to try as the lead of a service.

        Args:
            service: its name.

        Returns:
            Its id, None if none is known.

        """
        holders = self.book.log_holders(service)
        lead = self._leadership.current(service, holders)
        if lead is None:
            self._leaderless_since.setdefault(service, self.clock())
        else:
            self._leaderless_since.pop(service, None)
        return lead

    def expects_lead(self, service: str) -> bool:
        """Tell whether a service is about to have a lead.

        Args:
            service: its name.

        Returns:
            True if it has none, but had one a moment ago.

        """
        since = self._leaderless_since.get(service)
        if since is None:
            return False
        return self.clock() - since < CHANGE_EXPECTED_S

    def lead_data_centre(self, service: str) -> str:
        """Return where the lead of a service stands.

        Args:
            service: its name.

        Returns:
            The data centre, empty if it is not known.

        """
        lead = self.lead(service)
        record = self.find(lead) if lead else None
        return record.data_centre if record else ''

    def stalest(self, older_than_s: float) -> str | None:
        """Return the service whose newest proof is the oldest.

        Args:
            older_than_s: least age of the proof in seconds.

        Returns:
            The service, None if all proofs are younger.

        """
        limit = self.clock() - older_than_s
        oldest = min(
            self.observations.all_newest(),
            key=lambda observed: observed.asked_at,
            default=None,
        )
        if oldest is None or oldest.asked_at > limit:
            return None
        return oldest.service

    def term(self, service: str) -> int:
        """Return the latest proved term of a service.

        Args:
            service: its name.

        Returns:
            The term, 0 if nothing was proved.

        """
        return self._leadership.term(service)

    def prove(
        self,
        lead: Lead,
        position: LogPosition,
        asked_at: float,
        source: str,
    ) -> None:
        """Take note of proof that an endpoint leads.

        Args:
            lead: endpoint and term that it leads.
            position: end of its log.
            asked_at: when the question was sent.
            source: who proved it, for the log.

        """
        observed = Observation(
            lead.service, lead.endpoint, lead.term, position, asked_at
        )
        if lead.term >= self.term(lead.service):
            self.observations.add(observed)
            self._answered(lead.service, asked_at)
        self.hear(lead, source)

    def hear(self, lead: Lead, source: str) -> None:
        """Take note of who leads, without proof of when.

        Args:
            lead: endpoint and term that it leads.
            source: who said so, for the log.

        """
        if self._leadership.prove(lead):
            self._log.event(
                'lead_changed',
                service=lead.service,
                endpoint=lead.endpoint,
                term=lead.term,
                source=source,
            )
            self.announce()

    def depose(self, service: str, endpoint: str, source: str) -> None:
        """Take note that an endpoint said it does not lead.

        Args:
            service: the service.
            endpoint: its id.
            source: what it refused, for the log.

        """
        if self._leadership.depose(service, endpoint):
            self._log.event(
                'lead_lost', service=service, endpoint=endpoint, source=source
            )
            self.announce()

    def question_unanswered(
        self, service: str, asked_at: float, patience_s: float = 0
    ) -> None:
        """Take note that the lead did not answer a question.

        Args:
            service: the service.
            asked_at: when the question was sent.
            patience_s: how long the answer was waited for.

        """
        if self._stood_still(service, asked_at, patience_s):
            return
        newest = self.observations.newest(service)
        if newest is not None and newest.asked_at >= asked_at:
            return
        self._unanswered.setdefault(service, asked_at)

    def commit_overdue(
        self, service: str, endpoint: str, sent_at: float, patience_s: float
    ) -> None:
        """Take note that the lead did not acknowledge a commit.

        Args:
            service: the service.
            endpoint: id of the endpoint.
            sent_at: when the commit was sent.
            patience_s: how long the answer was waited for.

        """
        if not self._stood_still(service, sent_at, patience_s):
            self.commits.miss(service, endpoint, sent_at)

    def evidence(self, service: str, lead: str | None) -> LeadEvidence:
        """Return what is known of a service's lead.

        Args:
            service: the service.
            lead: id of the endpoint that is taken for its lead.

        Returns:
            The evidence.

        """
        track = self.commits.track(service, lead or '')
        return LeadEvidence(
            asked_since=self._unanswered.get(service),
            unacknowledged_since=track.overdue_since,
        )

    def reading(
        self, need: ReadNeed, now: float, tried: Collection[str]
    ) -> Target | None:
        """Choose where a read runs.

        Args:
            need: what it asks for.
            now: monotonic time.
            tried: endpoints that could not run it.

        Returns:
            The target, None if no endpoint can be asked now.

        """
        service = need.route.service
        usable = self.book.usable(service)
        return read_target(
            need,
            self.choice.ranked(usable, now),
            self.lead(service),
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
        return self.book.get(endpoint)

    def reached(self, endpoint: str) -> None:
        """Take note that an endpoint answered this node.

        Args:
            endpoint: its id.

        """
        self.choice.clear(endpoint)
        if self.reach.succeed(endpoint):
            self.announce()

    def announce(self) -> None:
        """Wake whoever waits for a change."""
        self._changed.set()
        self._changed = Event()

    async def wait_for_change(self) -> None:
        """Wait until something changes that a statement may wait for."""
        await self._changed.wait()

    def _stood_still(
        self, service: str, asked_at: float, patience_s: float
    ) -> bool:
        now = self.clock()
        still = bool(patience_s) and stood_still(asked_at, patience_s, now)
        if still:
            self._log.event(
                'suspicion_dropped',
                service=service,
                detail='this process stood still',
                waited_s=round(now - asked_at, 3),
            )
        return still

    def _answered(self, service: str, asked_at: float) -> None:
        since = self._unanswered.get(service)
        if since is not None and since <= asked_at:
            self._unanswered.pop(service)
