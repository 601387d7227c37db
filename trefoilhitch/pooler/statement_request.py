"""A statement as it is sent to an endpoint, and what the endpoint returned."""

from dataclasses import dataclass

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.pooler.ports import EndpointStatus
from trefoilhitch.pooler.response import Response
from trefoilhitch.pooler.statement import PreparedStatement, Statement


@dataclass(frozen=True, slots=True)
class StatementRequest:
    """A statement as it is sent to an endpoint.

    Args:
        statement: the client's statement.
        prepared: the prepared statement to run, for EXECUTE only.
        minimum_position: position that the endpoint's log must have reached,
            None for any.
        requires_primary_proof: whether to request the endpoint's status right
            after the statement.

    """

    statement: Statement
    prepared: PreparedStatement | None = None
    minimum_position: LogPosition | None = None
    requires_primary_proof: bool = False

    @property
    def kind(self) -> str:
        """Kind of the statement; those of a kind take about as long."""
        access = self.prepared.access if self.prepared else ''
        proof = 'proof' if self.requires_primary_proof else ''
        return f'{self.statement.verb.value}/{access}/{proof}'


@dataclass(frozen=True, slots=True)
class StatementResult:
    """What an endpoint returned for a statement.

    Args:
        response: the response to the statement.
        status: the endpoint's status after the statement, None if it was not
            requested or was refused.
        connection: node and number of the connection, empty if it is unknown.

    """

    response: Response
    status: EndpointStatus | None = None
    connection: str = ''
