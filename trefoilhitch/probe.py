"""The outcome of one probe of an endpoint."""

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
    """The outcome of one probe of an endpoint.

    Args:
        endpoint: declared endpoint.
        sent_at: monotonic time in seconds at which the probe was sent.
        status: status of the endpoint; None if it did not respond.
        confirmed: position of a primary whose term a majority confirmed;
            otherwise None.

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
        """Build the outcome from an endpoint's responses.

        Args:
            endpoint: declared endpoint.
            sent_at: monotonic time in seconds at which the probe was sent.
            status: status of the endpoint; None if it did not respond.
            confirmation: members that confirmed the endpoint's term; None if it
                is not a primary or did not respond.

        Returns:
            The outcome of the probe.

        """
        confirmed = None
        if confirmation is not None:
            confirmed = _own_position(confirmation, endpoint.name)
        return cls(endpoint, sent_at, status, confirmed)

    @property
    def is_primary(self) -> bool:
        """Return whether the endpoint reported the primary role."""
        return self.status is not None and self.status.role == 'primary'

    @property
    def term(self) -> int:
        """Return the endpoint's term; 0 if it did not respond."""
        return self.status.term if self.status else 0

    def sighting(self) -> Sighting:
        """Return the input for decisions about promotion.

        Returns:
            The endpoint's state; marked unreachable if it did not respond.

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
        """Return the state that other nodes get in the view of the group.

        Args:
            lags: estimates the lag from past positions of the primary.

        Returns:
            The endpoint's state with its estimated lag.

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
