"""Checks right before a statement is sent whether it still may be sent."""

from trio import sleep

from trefoilhitch.pooler.evacuation.evacuated_endpoints import (
    EvacuatedEndpoints,
)
from trefoilhitch.pooler.outcome import ResponseLoss
from trefoilhitch.pooler.ports import EndpointEvacuatedError

HOLD_INTERVAL_S = 0.02


class SendGuard:
    """Keeps statements away from endpoints that are evacuated.

    Args:
        evacuated: tells which endpoints are evacuated.

    """

    def __init__(self, evacuated: EvacuatedEndpoints) -> None:
        """Store the dependency."""
        self._evacuated = evacuated

    async def check(self, endpoint: str) -> None:
        """Check that a statement may be sent now.

        Args:
            endpoint: id of its endpoint.

        Raises:
            EndpointEvacuatedError: no statement may reach the endpoint.

        """
        while self._evacuated.must_delay_statements:
            await sleep(HOLD_INTERVAL_S)
        if self._evacuated.excludes_transactions(endpoint):
            raise EndpointEvacuatedError(
                ResponseLoss.NOT_SENT, 'the data centre is evacuated'
            )
