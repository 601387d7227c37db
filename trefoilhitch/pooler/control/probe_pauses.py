"""Decides how often a monitor probes a primary that it cannot prove.

While a failover is under way, or a lease is not idle, a primary answers but no
probe proves that it has not been replaced. Then all monitors of the service,
standbys as well, would probe it and its replicas at every check, since none
gets a newer proof. An answer without a proof is therefore followed by a pause.
"""

# Pause of the first monitor, the age at which a proof is renewed: no more is
# asked of an endpoint than while its proofs succeed. Standbys pause longer, by
# their rank.
UNPROVED_PAUSE_S = 0.45


class ProbePauses:
    """Pauses after probes that proved nothing.

    Args:
        enabled: whether monitors pause.

    """

    def __init__(self, *, enabled: bool) -> None:
        """Start without pauses."""
        self._enabled = enabled
        self._next_probe_at: dict[str, tuple[str, float]] = {}

    def may_probe(self, service: str, endpoint: str, now: float) -> bool:
        """Return whether a primary may be probed.

        Args:
            service: service name.
            endpoint: id of the primary; another one is probed at once.
            now: monotonic time.

        """
        paused, until = self._next_probe_at.get(service, ('', now))
        return paused != endpoint or now >= until

    def record_unproved(
        self, service: str, endpoint: str, rank: int, now: float
    ) -> None:
        """Record that a primary answered, but was not proved.

        Args:
            service: service name.
            endpoint: id of the primary.
            rank: rank of this monitor, 0 for the first.
            now: monotonic time.

        """
        if self._enabled:
            pause_s = UNPROVED_PAUSE_S * (1 + rank)
            self._next_probe_at[service] = endpoint, now + pause_s
