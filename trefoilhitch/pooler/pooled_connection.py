"""An endpoint connection with what was set up on it."""

from dataclasses import dataclass, field

from trefoilhitch.pooler.ports import EndpointConnection


@dataclass(slots=True, eq=False)
class PooledConnection:
    """A connection with what was set up on it.

    Args:
        conn: the connection.
        variables: session variables that the endpoint holds for it.
        prepared: pooled names of the shapes prepared on it.
        uses: how often it was taken.

    """

    conn: EndpointConnection
    variables: dict[str, str] = field(default_factory=dict)
    prepared: set[str] = field(default_factory=set)
    uses: int = 0
