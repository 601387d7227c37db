"""Carries out a promotion: fence a majority, choose, promote, publish."""

from collections.abc import Sequence
from contextlib import suppress
from dataclasses import dataclass, field

from msgspec.json import encode
from trio import Event, current_time, open_nursery

from trefoilhitch._generated.endpoint import (
    FenceRequest,
    GroupMember,
    PromoteRequest,
    StatusReply,
)
from trefoilhitch._generated.peer import GroupChange
from trefoilhitch._generated.record import PromotionRecord, Sighting, Vote
from trefoilhitch._generated.store import Endpoint, GroupRecord
from trefoilhitch.clock import deadline_after_ms
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.endpoint_client import EndpointConnector
from trefoilhitch.errors import RefusalError, StoreConflictError, StoreError
from trefoilhitch.json_decoding import UnreadableJsonError, decode_json
from trefoilhitch.membership import Membership
from trefoilhitch.position import majority_size
from trefoilhitch.promotion import (
    NO_PRIMARY,
    choose_primary,
    newest_primary,
    next_term,
)
from trefoilhitch.store import ObjectStore

FENCE_TIMEOUT_MS = 600
PROMOTE_TIMEOUT_MS = 1000
PUBLISH_TIMEOUT_MS = 2000
PUBLISH_ATTEMPTS = 4
_VERSION_UNKNOWN = 0


@dataclass(slots=True)
class _VoteTally:
    needed: int
    preferred: str
    avoided: str
    outstanding: int = 0
    votes: list[Vote] = field(default_factory=list)
    decided: Event = field(default_factory=Event)

    def record(self, vote: Vote | None) -> None:
        """Record a vote, or None for an endpoint that did not respond."""
        self.outstanding -= 1
        if vote is not None:
            self.votes.append(vote)
        if self._is_decided():
            self.decided.set()

    def _is_decided(self) -> bool:
        if not self.outstanding:
            return True
        accepted_by = {vote.name for vote in self.votes if vote.accepted}
        preferred_accepted = not self.preferred or self.preferred in accepted_by
        return (
            preferred_accepted
            and len(accepted_by - {self.avoided}) >= self.needed
        )


@dataclass(frozen=True, slots=True)
class _Attempt:
    """One claim of one term; the claimant's name is unique to the attempt."""

    service: str
    term: int
    claimant: str
    endpoints: Sequence[Endpoint]


class Promoter:
    """Claims terms for this node and promotes endpoints in them.

    The vote of a majority of the endpoints is authoritative. The record in the
    store only publishes its outcome. It is written afterwards, so that an
    outage of the store does not delay a promotion.

    Args:
        membership: provides this node's identity and propagates changes.
        connector: creates control clients for the endpoints.
        store: stores the published records.
        log: records decisions and failed promotions.

    """

    def __init__(
        self,
        *,
        membership: Membership,
        connector: EndpointConnector,
        store: ObjectStore,
        log: DecisionLog,
    ) -> None:
        """Store the collaborators."""
        identity = membership.identity
        self._claimant = f'{identity.node}.{identity.incarnation}'
        self._attempts = 0
        self._membership = membership
        self._connector = connector
        self._store = store
        self._log = log
        self._unpublished: dict[str, GroupRecord] = {}

    async def promote(
        self,
        service: str,
        endpoints: Sequence[Endpoint],
        sightings: Sequence[Sighting],
        preferred: str = NO_PRIMARY,
    ) -> bool:
        """Claim the next term for this node and promote an endpoint in it.

        Args:
            service: name of the service.
            endpoints: declared endpoints of the group.
            sightings: state of each endpoint at its last probe.
            preferred: endpoint to choose if its log is the most advanced of
                some majority; empty for none.

        Returns:
            True if an endpoint was promoted.

        """
        attempt = self._create_attempt(service, endpoints, next_term(sightings))
        avoided = newest_primary(sightings)
        tally = _VoteTally(majority_size(len(endpoints)), preferred, avoided)
        votes = await self._fence(attempt, tally)
        choice = choose_primary(
            votes,
            term=attempt.term,
            members=len(endpoints),
            preferred=preferred,
            avoided=avoided,
        )
        self._log.decision(
            PromotionRecord(
                kind='promotion',
                at=current_time(),
                service=service,
                term=attempt.term,
                members=len(endpoints),
                votes=votes,
                preferred=preferred,
                avoided=avoided,
                primary=choice.primary,
                reason=choice.reason,
            ),
        )
        if choice.primary == NO_PRIMARY:
            return False
        chosen = next(each for each in endpoints if each.name == choice.primary)
        return await self._promote_chosen(attempt, chosen)

    async def publish_pending(self) -> None:
        """Publish the promotions that are not in the store yet."""
        for service, record in list(self._unpublished.items()):
            if await self._publish(record):
                self._unpublished.pop(service, None)

    def _create_attempt(
        self,
        service: str,
        endpoints: Sequence[Endpoint],
        term: int,
    ) -> _Attempt:
        self._attempts += 1
        claimant = f'{self._claimant}.{self._attempts}'
        return _Attempt(service, term, claimant, endpoints)

    async def _fence(self, attempt: _Attempt, tally: _VoteTally) -> list[Vote]:
        """Collect votes until a majority accepted or every request has ended.

        If an endpoint is preferred, its vote is needed too. If a primary is
        being replaced, its vote does not count towards the majority.
        """
        tally.outstanding = len(attempt.endpoints)
        async with open_nursery() as nursery:
            for endpoint in attempt.endpoints:
                nursery.start_soon(
                    self._fence_endpoint, endpoint, attempt, tally
                )
            await tally.decided.wait()
            nursery.cancel_scope.cancel()
        return sorted(tally.votes, key=lambda vote: vote.name)

    async def _fence_endpoint(
        self,
        endpoint: Endpoint,
        attempt: _Attempt,
        tally: _VoteTally,
    ) -> None:
        vote = None
        try:
            with suppress(RefusalError):
                vote = await self._request_vote(endpoint, attempt)
        except Exception as exc:
            # The votes of the other endpoints still count.
            self._log.report(exc)
        tally.record(vote)

    async def _request_vote(
        self, endpoint: Endpoint, attempt: _Attempt
    ) -> Vote:
        req = FenceRequest(term=attempt.term, claimant=attempt.claimant)
        control = self._connector.control(endpoint)
        reply = await control.fence(req, deadline_after_ms(FENCE_TIMEOUT_MS))
        return Vote(
            name=endpoint.name,
            accepted=reply.accepted,
            term=reply.term,
            last_term=reply.last_term,
            last_position=reply.last_position,
        )

    async def _promote_chosen(
        self, attempt: _Attempt, chosen: Endpoint
    ) -> bool:
        members = [
            GroupMember(name=each.name, control=each.control)
            for each in attempt.endpoints
        ]
        req = PromoteRequest(
            term=attempt.term,
            claimant=attempt.claimant,
            members=members,
        )
        try:
            await self._send_promote(chosen, req)
        except RefusalError as exc:
            self._log.event(
                'promotion_failed',
                service=attempt.service,
                term=attempt.term,
                endpoint=chosen.name,
                code=exc.code,
            )
            return False
        change = GroupChange(
            service=attempt.service,
            term=attempt.term,
            primary=chosen.name,
        )
        self._membership.apply_changes([change])
        self._unpublished[attempt.service] = GroupRecord(
            service=attempt.service,
            term=attempt.term,
            primary=chosen.name,
            claimant=attempt.claimant,
        )
        return True

    async def _send_promote(
        self, chosen: Endpoint, req: PromoteRequest
    ) -> StatusReply:
        deadline = deadline_after_ms(PROMOTE_TIMEOUT_MS)
        return await self._connector.control(chosen).promote(req, deadline)

    async def _publish(self, record: GroupRecord) -> bool:
        name = f'groups/{record.service}'
        deadline = deadline_after_ms(PUBLISH_TIMEOUT_MS)
        version = _VERSION_UNKNOWN
        for _ in range(PUBLISH_ATTEMPTS):
            try:
                await self._store.put(
                    name, encode(record).decode(), version, deadline
                )
            except StoreConflictError as exc:
                version = exc.version
            except StoreError:
                return False
            else:
                return True
            if await self._is_superseded(name, record):
                return True
        return False

    async def _is_superseded(self, name: str, record: GroupRecord) -> bool:
        try:
            stored = await self._store.get(
                name, deadline_after_ms(PUBLISH_TIMEOUT_MS)
            )
            published = decode_json(stored.body, GroupRecord)
        except (StoreError, UnreadableJsonError):
            return False
        return published.term >= record.term
