"""An endpoint connection with the session state that it holds."""

from dataclasses import dataclass, field

from trefoilhitch.pooler.ports import EndpointConnection


@dataclass(slots=True, eq=False)
class PooledConnection:
    """A connection with the session state that the endpoint holds for it.

    Args:
        conn: the connection.
        number: distinguishes it from the others of its process.
        variables: session variables that are set on it.
        prepared: pooled names of the statements prepared on it.
        uses: how often it was taken from the pool.
        taken_at: monotonic time at which it was taken last.

    """

    conn: EndpointConnection
    number: int = 0
    variables: dict[str, str] = field(default_factory=dict)
    prepared: set[str] = field(default_factory=set)
    uses: int = 0
    taken_at: float = 0
