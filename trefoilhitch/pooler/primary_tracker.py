"""Tracks the primary of each service from proofs and the directory."""

from collections.abc import Sequence
from dataclasses import dataclass

from trefoilhitch.pooler.endpoint_record import EndpointRecord


@dataclass(frozen=True, slots=True)
class Primary:
    """The known primary of a service.

    Args:
        service: service name.
        endpoint: endpoint id.
        term: its term; 0 if only the directory names it.

    """

    service: str
    endpoint: str
    term: int = 0


class PrimaryTracker:
    """Tracks the newest known primary of each service.

    A proof names a term, and the latest term wins. The directory names no
    term; it is used if nothing is proved, or if the proved endpoint has
    responded since that it is not the primary.
    """

    def __init__(self) -> None:
        """Create a tracker without primaries."""
        self._proved: dict[str, Primary] = {}
        self._disproved: dict[str, Primary] = {}

    def record_proof(self, primary: Primary) -> bool:
        """Record a proof that an endpoint is the primary.

        Args:
            primary: endpoint and its term.

        Returns:
            True if another endpoint is now known as the primary.

        """
        known = self._proved.get(primary.service)
        disproved = self._disproved.get(primary.service)
        if known is not None and known.term >= primary.term:
            return False
        if disproved is not None and disproved.term >= primary.term:
            return False
        self._proved[primary.service] = primary
        return known is None or known.endpoint != primary.endpoint

    def record_not_primary(self, service: str, endpoint: str) -> bool:
        """Record that an endpoint responded that it is not the primary.

        Args:
            service: service name.
            endpoint: endpoint id.

        Returns:
            True if it may have been taken for the primary until now.

        """
        known = self._proved.get(service)
        if known is not None and known.endpoint != endpoint:
            return False
        disproved = self._disproved.get(service)
        if known is None and _names_endpoint(disproved, endpoint):
            return False
        self._disproved[service] = Primary(
            service, endpoint, self.term(service)
        )
        self._proved.pop(service, None)
        return True

    def term(self, service: str) -> int:
        """Return the latest proved term of a service.

        Args:
            service: service name.

        Returns:
            The term; 0 if nothing was proved.

        """
        known = self._proved.get(service) or self._disproved.get(service)
        return known.term if known else 0

    def current(
        self, service: str, members: Sequence[EndpointRecord]
    ) -> str | None:
        """Return the endpoint to use as the primary of a service.

        Args:
            service: service name.
            members: endpoints of the service.

        Returns:
            Id of the proved primary if it is a member, else of the only
            endpoint that the directory names as primary, else None.

        """
        ids = {record.endpoint for record in members}
        known = self._proved.get(service)
        if known is not None and known.endpoint in ids:
            return known.endpoint
        disproved = self._disproved.get(service)
        named = [
            record.endpoint
            for record in members
            if record.role == 'primary'
            and not _names_endpoint(disproved, record.endpoint)
        ]
        return named[0] if len(named) == 1 else None


def _names_endpoint(primary: Primary | None, endpoint: str) -> bool:
    return primary is not None and primary.endpoint == endpoint
