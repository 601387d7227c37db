"""Session variables on connections whose transactions were rolled back.

Whether a rollback reverts variables that were set inside the transaction is
open (docs/QUESTIONS.md). The endpoints of these tests revert them.
"""

from collections.abc import Iterator

import pytest

from tests.test_prepared_shapes import Playground, in_places, play
from trefoilhitch_lab.wire_grammar import Request
from trefoilhitch_lab.wire_session import EndpointSession


@pytest.fixture(autouse=True)
def _reverting_endpoints(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Let endpoints revert variables when a transaction does not commit."""
    saved: dict[EndpointSession, dict[str, str]] = {}
    begin = EndpointSession._begin
    run_session_verb = EndpointSession._run_session_verb
    commit = EndpointSession._commit

    def save(self: EndpointSession, *, read_only: bool) -> tuple[str, ...]:
        saved[self] = dict(self._variables)
        return begin(self, read_only=read_only)

    def roll_back(self: EndpointSession, req: Request) -> tuple[str, ...]:
        if req.verb == 'ROLLBACK' and self.state != 'I':
            self._variables = saved.pop(self)
        return run_session_verb(self, req)

    async def commit_or_roll_back(self: EndpointSession) -> tuple[str, ...]:
        was_open = self.state != 'I'
        lines = await commit(self)
        if was_open and lines[-1].startswith('ERROR'):
            self._variables = saved.pop(self)
        return lines

    monkeypatch.setattr(EndpointSession, '_begin', save)
    monkeypatch.setattr(EndpointSession, '_run_session_verb', roll_back)
    monkeypatch.setattr(EndpointSession, '_commit', commit_or_roll_back)
    yield


def check_variables(ground: Playground, expected: dict[str, str]) -> None:
    """Check the variables with which the last statement ran."""
    group = ground.stack.group
    assert group.executed[-1].variables == expected


@in_places
def test_rollback_is_missed_if_the_connection_had_the_value_before(
    place: str,
) -> None:
    # The connection has the value from another session. It is reset for the
    # transaction, gets the value again inside it and loses it by the rollback.
    async def scenario(ground: Playground) -> None:
        async with ground.client() as first:
            await ground.query(first, 'SET app red')
            await ground.query(first, 'READ i1')
        async with ground.client() as second:
            await ground.query(second, 'BEGIN')
            await ground.query(second, 'SET app red')
            await ground.query(second, 'READ i2')
            await ground.query(second, 'ROLLBACK')
            check_variables(ground, {'app': 'red'})
            await ground.query(second, 'READ i3')
            check_variables(ground, {'app': 'red'})

    play(place, scenario)


@in_places
def test_value_set_in_a_transaction_is_lost_by_its_rollback(
    place: str,
) -> None:
    async def scenario(ground: Playground) -> None:
        async with ground.client() as client:
            await ground.query(client, 'BEGIN')
            await ground.query(client, 'SET app red')
            await ground.query(client, 'READ i1')
            await ground.query(client, 'ROLLBACK')
            await ground.query(client, 'READ i2')
            check_variables(ground, {'app': 'red'})

    play(place, scenario)


@in_places
def test_refused_commit_is_not_taken_for_a_rollback(place: str) -> None:
    async def scenario(ground: Playground) -> None:
        endpoints = ground.stack.group.endpoints.values()
        primary = next(each for each in endpoints if each.is_primary)
        async with ground.client('orders') as client:
            await ground.query(client, 'BEGIN')
            await ground.query(client, 'SET app red')
            await ground.query(client, 'WRITE i1 x')
            primary.is_primary = False
            response = await client.query('COMMIT')
            assert (response.code, response.state) == ('READONLY', 'I')
            primary.is_primary = True
            await ground.query(client, 'READ i2')
            check_variables(ground, {'app': 'red'})

    play(place, scenario)
