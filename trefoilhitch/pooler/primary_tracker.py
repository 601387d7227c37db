"""Which endpoint leads a service, from proofs and from the directory."""

from collections.abc import Sequence
from dataclasses import dataclass

from trefoilhitch.pooler.endpoint_registry import EndpointRecord


@dataclass(frozen=True, slots=True)
class Primary:
    """An endpoint that leads a service, as far as is known.

    Args:
        service: the service.
        endpoint: id of the endpoint.
        term: the term that it leads; 0 if only the directory names it.

    """

    service: str
    endpoint: str
    term: int = 0


class PrimaryTracker:
    """Keeps the newest known lead of each service.

    A proof names a term, and the latest term wins. The directory names no
    term; it is followed where nothing is proved, or where the proved endpoint
    has been seen to lead no more.
    """

    def __init__(self) -> None:
        """Start without any."""
        self._proved: dict[str, Primary] = {}
        self._disproved: dict[str, Primary] = {}

    def record_proof(self, primary: Primary) -> bool:
        """Take note of a proof.

        Args:
            primary: endpoint and term that it led.

        Returns:
            True if it changes who leads.

        """
        known = self._proved.get(primary.service)
        deposed = self._disproved.get(primary.service)
        if known is not None and known.term >= primary.term:
            return False
        if deposed is not None and deposed.term >= primary.term:
            return False
        self._proved[primary.service] = primary
        return known is None or known.endpoint != primary.endpoint

    def record_not_primary(self, service: str, endpoint: str) -> bool:
        """Take note that an endpoint said it does not lead.

        Args:
            service: the service.
            endpoint: id of the endpoint.

        Returns:
            True if it was taken for the lead.

        """
        known = self._proved.get(service)
        if known is not None and known.endpoint != endpoint:
            return False
        before = self._disproved.get(service)
        if known is None and _names_endpoint(before, endpoint):
            return False
        self._disproved[service] = Primary(
            service, endpoint, self.term(service)
        )
        self._proved.pop(service, None)
        return True

    def term(self, service: str) -> int:
        """Return the latest proved term of a service.

        Args:
            service: its name.

        Returns:
            The term; 0 if nothing was proved.

        """
        known = self._proved.get(service) or self._disproved.get(service)
        return known.term if known else 0

    def current(
        self, service: str, members: Sequence[EndpointRecord]
    ) -> str | None:
        """Return the endpoint to try as the lead of a service.

        Args:
            service: its name.
            members: its endpoints.

        Returns:
            Id of the proved lead if it is a member, else of the endpoint that
            the directory alone names, else None.

        """
        ids = {record.endpoint for record in members}
        known = self._proved.get(service)
        if known is not None and known.endpoint in ids:
            return known.endpoint
        deposed = self._disproved.get(service)
        named = [
            record.endpoint
            for record in members
            if record.role == 'primary'
            and not _names_endpoint(deposed, record.endpoint)
        ]
        return named[0] if len(named) == 1 else None


def _names_endpoint(primary: Primary | None, endpoint: str) -> bool:
    return primary is not None and primary.endpoint == endpoint
