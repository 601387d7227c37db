"""Context of a client request while a node processes it."""

from dataclasses import dataclass

from trio import current_time

from trefoilhitch._generated.peer import Caller
from trefoilhitch.clock import remaining_ms

ATTEMPT_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class Call:
    """Context of one client request.

    Args:
        caller: organisation and key that the request is made for.
        service: name of the service.
        request: id under which the outcome of a write is stored.
        deadline: monotonic time by which the client expects a response.

    """

    caller: Caller
    service: str
    request: str
    deadline: float

    def attempt_timeout_ms(self) -> int:
        """Return the timeout of the next attempt in milliseconds."""
        attempt_deadline = current_time() + ATTEMPT_TIMEOUT_S
        return remaining_ms(min(self.deadline, attempt_deadline))
