"""Prepared statements that an endpoint dropped, but the node takes for held."""

from collections.abc import Iterator

import pytest

from tests.test_prepared_shapes import MAX_NAMES, Playground, in_places, play
from trefoilhitch_lab.wire_grammar import Request
from trefoilhitch_lab.wire_session import EndpointSession


@pytest.fixture
def failing_verbs(monkeypatch: pytest.MonkeyPatch) -> Iterator[dict[str, str]]:
    """Carry verbs out, but answer them with a code that allows a run."""
    codes: dict[str, str] = {}
    run_session_verb = EndpointSession._run_session_verb

    def run(self: EndpointSession, req: Request) -> tuple[str, ...]:
        lines = run_session_verb(self, req)
        code = codes.get(req.verb)
        return (f'ERROR {code} late',) if code else lines

    monkeypatch.setattr(EndpointSession, '_run_session_verb', run)
    yield codes


@in_places
@pytest.mark.parametrize('code', ['FAILED', 'TIMEOUT'])
def test_name_released_with_an_error_is_unknown_in_a_transaction(
    code: str, place: str, failing_verbs: dict[str, str]
) -> None:
    # FAILED and TIMEOUT mean that a statement may have run.
    async def scenario(ground: Playground) -> None:
        async with ground.client() as client:
            for number in range(MAX_NAMES + 1):
                text = f'PREPARE s{number} READ q{number}'
                await ground.query(client, text)
            failing_verbs['DEALLOC'] = code
            for number in range(MAX_NAMES + 1):
                await ground.query(client, f'EXECUTE s{number} i1')
            failing_verbs.clear()
            await ground.query(client, 'BEGIN')
            response = await client.query('EXECUTE s0 i1')
            # A name whose preparing was acknowledged is never unknown.
            assert response.code != 'NOSTMT'

    play(place, scenario)
