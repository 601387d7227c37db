"""Endpoints that were seen to be leaving.

An endpoint that leaves does not return before it has restarted. An entry that
says otherwise is older than the one that said that it leaves: the directory was
restored from an older copy, and the endpoint has not written its entry again.
"""

from dataclasses import dataclass

# How long it is remembered that an endpoint left: longer than the copy from
# which the directory may be restored is old.
RETENTION_S = 300.0


@dataclass(slots=True)
class _Leaving:
    started_at_ms: int
    since: float | None = None
    forget_at: float | None = None


class LeavingEndpoints:
    """Remembers endpoints that leave, for some time after they are gone too."""

    def __init__(self) -> None:
        """Start without endpoints."""
        self._leaving: dict[str, _Leaving] = {}

    def observe(
        self, endpoint: str, started_at_ms: int, *, leaving: bool
    ) -> bool:
        """Apply an entry of an endpoint.

        Args:
            endpoint: endpoint id.
            started_at_ms: Unix time of its start in ms.
            leaving: whether the entry says that it leaves.

        Returns:
            Whether the endpoint leaves.

        """
        known = self._leaving.get(endpoint)
        if known is not None and started_at_ms == known.started_at_ms:
            known.forget_at = None
            return True
        if leaving:
            self._leaving[endpoint] = _Leaving(started_at_ms)
        else:
            self._leaving.pop(endpoint, None)
        return leaving

    def record_time(self, endpoint: str, now: float) -> None:
        """Record when an endpoint was first seen to be leaving.

        Args:
            endpoint: endpoint id.
            now: monotonic time.

        """
        known = self._leaving.get(endpoint)
        if known is not None and known.since is None:
            known.since = now

    def since(self, endpoint: str) -> float | None:
        """Return when an endpoint was first seen to be leaving.

        Args:
            endpoint: endpoint id.

        Returns:
            Monotonic time, None if it is not leaving.

        """
        known = self._leaving.get(endpoint)
        return known.since if known else None

    def record_gone(self, endpoint: str, now: float) -> None:
        """Record that the entry of an endpoint is gone.

        Args:
            endpoint: endpoint id.
            now: monotonic time.

        """
        known = self._leaving.get(endpoint)
        if known is not None:
            known.forget_at = now + RETENTION_S

    def forget_gone(self, now: float) -> None:
        """Forget the endpoints that have been gone for long.

        Args:
            now: monotonic time.

        """
        self._leaving = {
            endpoint: known
            for endpoint, known in self._leaving.items()
            if known.forget_at is None or now < known.forget_at
        }
