"""An endpoint connection with the session state that it holds."""

from dataclasses import dataclass, field

from trefoilhitch.pooler.held_statements import HeldStatements
from trefoilhitch.pooler.ports import EndpointConnection


@dataclass(slots=True, eq=False, weakref_slot=True)
class PooledConnection:
    """A connection with the session state that the endpoint holds for it.

    Args:
        conn: the connection.
        number: distinguishes it from the others of its process.
        variables: session variables that are set on it.
        prepared: statements that are prepared on it.
        uses: how often it was taken from the pool.
        taken_at: monotonic time at which it was taken last.

    """

    conn: EndpointConnection
    number: int = 0
    variables: dict[str, str] = field(default_factory=dict)
    prepared: HeldStatements = field(default_factory=HeldStatements)
    uses: int = 0
    taken_at: float = 0
