"""Since when a node has known the entries of endpoints."""

from dataclasses import dataclass

from trefoilhitch.pooler.endpoint_record import EndpointRecord


@dataclass(frozen=True, slots=True)
class _Listing:
    started_at_ms: int
    since: float


class ListingTimes:
    """Remembers when the directory first listed each start of an endpoint."""

    def __init__(self) -> None:
        """Start without endpoints."""
        self._listings: dict[str, _Listing] = {}

    def record(self, entry: EndpointRecord, now: float) -> None:
        """Record that the directory lists an entry.

        Args:
            entry: the entry.
            now: monotonic time.

        """
        known = self._listings.get(entry.endpoint)
        if known is None or known.started_at_ms != entry.started_at_ms:
            self._listings[entry.endpoint] = _Listing(entry.started_at_ms, now)

    def since(self, endpoint: str) -> float | None:
        """Return when the directory first listed an endpoint's last start.

        Args:
            endpoint: endpoint id.

        Returns:
            Monotonic time, None if it never listed the endpoint.

        """
        listing = self._listings.get(endpoint)
        return listing.since if listing else None

    def started_at_ms(self, endpoint: str) -> int | None:
        """Return the last start of an endpoint that the directory listed.

        Args:
            endpoint: endpoint id.

        Returns:
            Unix time in ms, None if it never listed the endpoint.

        """
        listing = self._listings.get(endpoint)
        return listing.started_at_ms if listing else None

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that is known no more.

        Args:
            endpoint: endpoint id.

        """
        self._listings.pop(endpoint, None)
