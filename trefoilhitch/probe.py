"""What one probe of an endpoint read, and how decisions and peers see it."""

from dataclasses import dataclass
from typing import Self

from trefoilhitch._generated.endpoint import ConfirmReply, StatusReply
from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.peer import EndpointView
from trefoilhitch._generated.record import Sighting
from trefoilhitch._generated.store import Endpoint
from trefoilhitch.lag import LagEstimator
from trefoilhitch.position import confirmed_position

_MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """What one probe of an endpoint read.

    Args:
        endpoint: the declared endpoint.
        sent_at: monotonic time at which it was sent.
        status: the answer; None if there was none.
        confirmed: for a primary, its position if a majority confirmed its term.

    """

    endpoint: Endpoint
    sent_at: float
    status: StatusReply | None = None
    confirmed: LogPosition | None = None

    @classmethod
    def from_replies(
        cls,
        endpoint: Endpoint,
        sent_at: float,
        status: StatusReply | None,
        confirmation: ConfirmReply | None,
    ) -> Self:
        """Build a probe from what an endpoint answered.

        Args:
            endpoint: the declared endpoint.
            sent_at: monotonic time at which it was asked.
            status: its status, if it answered.
            confirmation: who confirmed its term, if it is a primary.

        Returns:
            The probe.

        """
        confirmed = None
        if confirmation is not None:
            confirmed = _own_position(confirmation, endpoint.name)
        return cls(endpoint, sent_at, status, confirmed)

    @property
    def is_primary(self) -> bool:
        """Return whether the endpoint said that it is the primary."""
        return self.status is not None and self.status.role == 'primary'

    @property
    def term(self) -> int:
        """Return the endpoint's term; 0 if it did not answer."""
        return self.status.term if self.status else 0

    def sighting(self) -> Sighting:
        """Return what decisions about promotion see.

        Returns:
            The sighting.

        """
        status = self.status
        if status is None:
            return Sighting(
                name=self.endpoint.name,
                role='replica',
                term=0,
                last_term=0,
                last_position=0,
                reachable=False,
                silent_ms=0,
            )
        return Sighting(
            name=self.endpoint.name,
            role=status.role,
            term=status.term,
            last_term=status.last_term,
            last_position=status.last_position,
            reachable=True,
            silent_ms=status.primary_silent_ms,
            leaving=status.leaving,
        )

    def view(self, lags: LagEstimator) -> EndpointView:
        """Return what entries are told.

        Args:
            lags: positions of the primary over time.

        Returns:
            The view, with the estimated lag.

        """
        status = self.status
        if status is None:
            return EndpointView(
                name=self.endpoint.name,
                role='replica',
                term=0,
                applied_term=0,
                applied_position=0,
                reachable=False,
            )
        applied = LogPosition(
            term=status.applied_term,
            position=status.applied_position,
        )
        lag_s = lags.lag_s(applied, self.sent_at)
        return EndpointView(
            name=self.endpoint.name,
            role=status.role,
            term=status.term,
            applied_term=status.applied_term,
            applied_position=status.applied_position,
            reachable=True,
            leaving=status.leaving,
            lag_ms=None if lag_s is None else max(0, int(lag_s * _MS_PER_S)),
        )


def _own_position(reply: ConfirmReply, name: str) -> LogPosition | None:
    if confirmed_position(reply) is None:
        return None
    for holding in reply.holdings:
        if holding.endpoint == name:
            return LogPosition(term=reply.term, position=holding.position)
    return None
