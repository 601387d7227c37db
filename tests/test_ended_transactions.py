"""A transaction that an endpoint ended by itself runs no further statement."""

import pytest

from tests.test_prepared_shapes import Playground, in_places, play
from trefoilhitch_lab.wire_grammar import Request
from trefoilhitch_lab.wire_session import EndpointSession


@in_places
def test_statement_runs_outside_the_transaction_that_ended(
    place: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    run_session_verb = EndpointSession._run_session_verb

    def end_transaction(self: EndpointSession, req: Request) -> tuple[str, ...]:
        if req.verb == 'SET':
            self._end_transaction()
        return run_session_verb(self, req)

    monkeypatch.setattr(EndpointSession, '_run_session_verb', end_transaction)

    async def scenario(ground: Playground) -> None:
        async with ground.client() as client:
            await ground.query(client, 'BEGIN')
            await ground.query(client, 'SET app red')
            response = await client.query('WRITE i1 red')
            assert (response.code, response.state) == ('ABORTED', 'E')
        assert not ground.ran

    play(place, scenario)
