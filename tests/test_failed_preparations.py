"""Transactions that fail before the client's statement is reached.

The page: in state `E` every other request than the end gets `MALFORMED`. The
endpoints of these tests refuse one statement of the node and go to `E`.
"""

from collections.abc import Iterator

import pytest

from tests.test_prepared_shapes import Playground, in_places, play
from trefoilhitch_lab.wire_grammar import Request
from trefoilhitch_lab.wire_session import EndpointSession

# A lost lead or too much work passes: the statement could run on another try.
PASSING = ('BUSY', 'READONLY')


@pytest.fixture(autouse=True)
def refused_verbs(monkeypatch: pytest.MonkeyPatch) -> Iterator[dict[str, str]]:
    """Refuse verbs inside transactions, which fail by it."""
    codes: dict[str, str] = {}
    refusal = EndpointSession._refusal

    def fail(self: EndpointSession, req: Request) -> str:
        code = refusal(self, req)
        if not code and self.state == 'T' and req.verb in codes:
            self.state = 'E'
            return codes[req.verb]
        return code

    monkeypatch.setattr(EndpointSession, '_refusal', fail)
    yield codes


@in_places
@pytest.mark.parametrize('code', PASSING)
@pytest.mark.parametrize('verb', ['SET', 'PREPARE'])
def test_passing_refusal_in_a_transaction_is_taken_for_a_malformed_statement(
    verb: str, code: str, place: str, refused_verbs: dict[str, str]
) -> None:
    async def scenario(ground: Playground) -> None:
        async with ground.client() as client:
            await ground.query(client, 'PREPARE s1 READ q1')
            await ground.query(client, 'BEGIN')
            if verb == 'SET':
                for name in ('app', 'colour'):
                    await ground.query(client, f'SET {name} red')
            refused_verbs[verb] = code
            response = await client.query('EXECUTE s1 i1')
            assert response.state == 'E'
            assert response.code in {*PASSING, 'ABORTED'}

    play(place, scenario)
