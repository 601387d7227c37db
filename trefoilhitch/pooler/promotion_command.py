"""Commands a promotion under a lease."""

from enum import Enum

from trio import current_time

from trefoilhitch.errors import StoreUnavailableError
from trefoilhitch.pooler.failover_plan import FailoverDependencies, FailoverPlan
from trefoilhitch.pooler.held_lease import HeldLease
from trefoilhitch.pooler.known_members import known_members

PROMOTION_TIMEOUT_S = 1.2


class CommandOutcome(Enum):
    """What became of one promotion command."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'
    UNANSWERED = 'unanswered'


class PromotionCommand:
    """Commands the promotion of an endpoint.

    Args:
        deps: dependencies of the failover.
        plan: what is replaced.
        lease: lease of the service.

    """

    def __init__(
        self,
        deps: FailoverDependencies,
        plan: FailoverPlan,
        lease: HeldLease,
    ) -> None:
        """Start before the first command."""
        self.was_sent = False
        self.was_answered = False
        # Endpoint of the newest command, empty before the first one.
        self.endpoint = ''
        self._deps = deps
        self._plan = plan
        self._lease = lease

    async def send(self, endpoint: str) -> CommandOutcome:
        """Send the command once, under the lease's fencing token.

        Args:
            endpoint: id of the endpoint.

        Returns:
            What became of it; a command without an answer may still take
            effect until one with a higher token was answered.

        """
        self.was_sent = True
        self.endpoint = endpoint
        outcome = await self._attempt(endpoint)
        if outcome != CommandOutcome.UNANSWERED:
            self.was_answered = True
            self._deps.metrics.count('promotions', outcome.value)
        if outcome == CommandOutcome.REFUSED:
            self.was_sent = False
        return outcome

    async def _attempt(self, endpoint: str) -> CommandOutcome:
        service = self._plan.service
        token = self._lease.record.token
        deadline = current_time() + PROMOTION_TIMEOUT_S
        known = known_members(
            self._deps.cluster.endpoints, service, current_time()
        )
        try:
            accepted = await self._deps.promoter.promote(
                service, endpoint, token, deadline
            )
        except StoreUnavailableError as exc:
            self._deps.log.event(
                'promotion_unanswered',
                service=service,
                endpoint=endpoint,
                token=token,
                detail=str(exc),
                known=known,
            )
            return CommandOutcome.UNANSWERED
        self._deps.log.event(
            'promotion_ordered',
            service=service,
            endpoint=endpoint,
            token=token,
            reason=self._plan.reason.value,
            accepted=accepted,
            known=known,
        )
        return CommandOutcome.ACCEPTED if accepted else CommandOutcome.REFUSED
