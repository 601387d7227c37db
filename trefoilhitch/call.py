"""One request of a caller, on its way through a node."""

from dataclasses import dataclass

from trio import current_time

from trefoilhitch._generated.peer import Caller
from trefoilhitch.clock import remaining_ms

ATTEMPT_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller.

    Args:
        caller: for whom.
        service: name of the service.
        request: id under which the outcome of a write is stored.
        deadline: monotonic time.

    """

    caller: Caller
    service: str
    request: str
    deadline: float

    def attempt_timeout_ms(self) -> int:
        """Return how long the next attempt may take, in milliseconds."""
        attempt_deadline = current_time() + ATTEMPT_TIMEOUT_S
        return remaining_ms(min(self.deadline, attempt_deadline))
