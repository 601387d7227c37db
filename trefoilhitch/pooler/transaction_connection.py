"""A connection that is kept for the statements of one transaction."""

from collections.abc import Mapping
from typing import Protocol

from trefoilhitch.pooler.statement_request import (
    StatementRequest,
    StatementResult,
)


class TransactionConnection(Protocol):
    """A connection that is kept for the statements of one transaction."""

    endpoint: str

    async def run(
        self,
        variables: Mapping[str, str],
        request: StatementRequest,
        deadline: float,
    ) -> StatementResult:
        """Run a statement; the connection is given back if it ends.

        Raises:
            EndpointConnectionError: the response did not arrive completely.

        """

    def discard(self) -> None:
        """Close the connection; the endpoint rolls back."""
