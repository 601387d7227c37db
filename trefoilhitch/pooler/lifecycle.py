"""Readiness of a node for clients, and its graceful shutdown."""

from dataclasses import dataclass

# The load balancer removes a node after two failed health checks, which it
# sends once a second.
ROTATION_REMOVAL_S = 2.3
# Time left for the process to exit by itself.
EXIT_MARGIN_S = 0.5


@dataclass(frozen=True, slots=True)
class DrainPlan:
    """Deadlines of a graceful shutdown.

    Args:
        close_idle_at: when idle sessions may be closed.
        end_transactions_at: when open transactions are rolled back.
        end_at: when the process exits, regardless of open sessions.

    """

    close_idle_at: float
    end_transactions_at: float
    end_at: float

    @classmethod
    def from_signal(cls, now: float, shutdown_timeout_s: float) -> 'DrainPlan':
        """Create the plan for a shutdown that a signal requested.

        Args:
            now: monotonic time of the signal.
            shutdown_timeout_s: time until the process is killed, in seconds.

        Returns:
            The deadlines.

        """
        end_at = now + shutdown_timeout_s - EXIT_MARGIN_S
        return cls(
            close_idle_at=min(now + ROTATION_REMOVAL_S, end_at),
            end_transactions_at=min(now + shutdown_timeout_s / 2, end_at),
            end_at=end_at,
        )


@dataclass(frozen=True, slots=True)
class Readiness:
    """Conditions under which a node accepts clients.

    Args:
        has_declaration: whether a declaration is in force.
        has_endpoints: whether the list of endpoints has been read.
        is_stopping: whether the node is shutting down.
        has_evacuations: whether the list of evacuations has been read, or
            none is kept.

    """

    has_declaration: bool
    has_endpoints: bool
    is_stopping: bool
    has_evacuations: bool = True

    @property
    def is_ready(self) -> bool:
        """Whether the node accepts new clients."""
        is_informed = self.has_endpoints and self.has_evacuations
        return self.has_declaration and is_informed and not self.is_stopping
