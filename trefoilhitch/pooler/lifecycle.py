"""When a node takes clients, and how it lets go of them."""

from dataclasses import dataclass

# The balancer needs two questions without a yes, one a second.
ROTATION_REMOVAL_S = 2.3
# Time that is left for the process to end by itself.
EXIT_MARGIN_S = 0.5


@dataclass(frozen=True, slots=True)
class DrainPlan:
    """Deadlines of a graceful shutdown.

    Args:
        close_idle_at: when idle sessions may be closed.
        end_transactions_at: when open transactions are rolled back.
        end_at: when the process ends, whatever is open.

    """

    close_idle_at: float
    end_transactions_at: float
    end_at: float

    @classmethod
    def from_signal(cls, now: float, shutdown_timeout_s: float) -> 'DrainPlan':
        """Plan a shutdown.

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
    """What a node has that it needs to serve clients.

    Args:
        has_declaration: whether it has a declaration.
        has_endpoints: whether it has read which endpoints there are.
        is_stopping: whether it is to end.

    """

    has_declaration: bool
    has_endpoints: bool
    is_stopping: bool

    @property
    def is_ready(self) -> bool:
        """Whether new clients may come."""
        return (
            self.has_declaration and self.has_endpoints and not self.is_stopping
        )
