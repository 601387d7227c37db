"""What a connection needs before it can execute a prepared statement."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from trefoilhitch.pooler.held_statements import HeldStatements
from trefoilhitch.pooler.ports import Command, EndpointConnector
from trefoilhitch.pooler.response import NOT_RUN_REFUSALS, Refusal, Response
from trefoilhitch.pooler.statement import PreparedStatement

# An endpoint that answers so does not hold the statement.
_RELEASED = frozenset((None, Refusal.UNKNOWN_STATEMENT))


@dataclass(frozen=True, slots=True)
class Preparation:
    """Changes to the statements that an endpoint holds for a connection.

    Args:
        released: pooled names of statements to release first.
        prepared: statement to prepare, None if nothing has to change.

    """

    released: tuple[str, ...] = ()
    prepared: PreparedStatement | None = None

    @classmethod
    def from_held(
        cls, held: HeldStatements, prepared: PreparedStatement | None
    ) -> 'Preparation':
        """Return what has to change before a statement is executed.

        Args:
            held: statements that the endpoint holds.
            prepared: the statement, None for one that is not prepared.

        Returns:
            The changes.

        """
        if prepared is None or prepared.pooled_name in held:
            return cls()
        return cls(held.names_in_excess(prepared), prepared)

    def commands(self, connector: EndpointConnector) -> list[Command]:
        """Return the statements that make the changes.

        Args:
            connector: builds the statements.

        Returns:
            One statement for each change, in order.

        """
        if self.prepared is None:
            return []
        releases = [connector.deallocate(name) for name in self.released]
        return [*releases, connector.prepare(self.prepared)]

    def apply(
        self, held: HeldStatements, responses: Sequence[Response]
    ) -> None:
        """Record which changes the endpoint has made.

        Args:
            held: statements that the endpoint holds.
            responses: its responses to the changes, in order.

        """
        if self.prepared is None:
            return
        for name, response in zip(self.released, responses, strict=False):
            if response.refusal in _RELEASED:
                held.discard(name)
        if responses[-1].ok:
            held.add(self.prepared)

    def explain(
        self, responses: Sequence[Response], executed: Response
    ) -> Response:
        """Return why a statement did not run that could not be prepared.

        Args:
            responses: the endpoint's responses to the changes.
            executed: its response to the statement.

        Returns:
            The response for the client. Only MALFORMED stays the same however
            often the statement is sent.

        """
        if self.prepared is None or responses[-1].ok:
            return executed
        if executed.refusal != Refusal.UNKNOWN_STATEMENT:
            return executed
        refused = responses[-1]
        refusal = refused.refusal
        if refusal != Refusal.MALFORMED and refusal not in NOT_RUN_REFUSALS:
            refusal = Refusal.BUSY
        return replace(executed, refusal=refusal, detail=refused.detail)
