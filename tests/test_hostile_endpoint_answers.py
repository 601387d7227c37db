"""Sessions and nodes go on while an endpoint answers oddly."""

from collections.abc import Awaitable, Callable
from functools import partial

import pytest
from msgspec import Raw
from msgspec.json import encode
from trio import sleep

from tests import test_wire_failover as failover
from tests.support import run_virtual
from tests.test_hostile_endpoints import ODD_READY, ODD_STATUSES
from tests.test_unreadable_objects import restart_all
from tests.test_wire_failover import KEY, primary_of
from tests.test_wire_outcomes import committed
from trefoilhitch.decision_log import NullLog
from trefoilhitch.metrics import Metrics
from trefoilhitch.platform.endpoint_connection import WireConnector
from trefoilhitch.platform.endpoint_entry import decode_entry
from trefoilhitch.platform.object_store import CONFIG_KIND, CONFIG_NAME
from trefoilhitch.pooler.endpoint_control import EndpointControl, request_all
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_endpoint import WireEndpoint
from trefoilhitch_lab.wire_session import EndpointSession
from trefoilhitch_lab.wire_stack import (
    WireStack,
    make_declaration,
    running_wire_stack,
)

# Several checks of the monitors.
WAIT_S = 3
APPLY_S = 1.5

OddAnswer = Callable[[str, tuple[str, ...]], tuple[str, ...]]


class FailureLog(NullLog):
    """Collects unexpected exceptions."""

    def __init__(self) -> None:
        """Start without exceptions."""
        self.failures: list[Exception] = []

    def report(self, exc: Exception) -> None:
        """Collect an exception.

        Args:
            exc: the exception.

        """
        self.failures.append(exc)


class _OddSession(EndpointSession):
    def __init__(
        self,
        endpoint: WireEndpoint,
        organisation: str,
        *,
        odd: OddAnswer,
        odd_endpoints: set[str],
    ) -> None:
        super().__init__(endpoint, organisation)
        self._name = endpoint.endpoint
        self._odd = odd
        self._odd_endpoints = odd_endpoints

    async def respond(self, line: str) -> tuple[str, ...]:
        lines = await super().respond(line)
        if self._name in self._odd_endpoints:
            return self._odd(line, lines)
        return lines


def play_with(
    monkeypatch: pytest.MonkeyPatch,
    odd: OddAnswer,
    play: Callable[[WireStack, set[str]], Awaitable[None]],
) -> None:
    """Run a stack whose endpoints answer oddly while a set names them.

    Args:
        monkeypatch: changes the endpoints.
        odd: changes the lines of a response, given the statement.
        play: is given the stack and the set of ids.

    """
    odd_endpoints: set[str] = set()

    log = FailureLog()

    async def play_in_stack() -> None:
        async with running_wire_stack(log=log) as stack:
            await play(stack, odd_endpoints)

    monkeypatch.setattr(
        'trefoilhitch_lab.wire_endpoint.EndpointSession',
        partial(_OddSession, odd=odd, odd_endpoints=odd_endpoints),
    )
    run_virtual(play_in_stack)
    assert not log.failures


@pytest.mark.parametrize('ready', ODD_READY)
def test_write_with_an_odd_answer_is_in_doubt_and_runs_once(
    ready: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play(stack: WireStack, odd_endpoints: set[str]) -> None:
        assert await failover.write(stack, 'a1') == ''
        async with wire_client(stack.nodes['node-1'].address) as client:
            await client.start('orders', KEY)
            odd_endpoints.add(primary_of(stack).endpoint)
            answer = await client.query('WRITE a2 red')
            odd_endpoints.clear()
            assert (answer.code, answer.state) == ('INDOUBT', 'I')
            await failover.write_until_done(stack, 'after')
            assert (await client.query('READ a2')).rows == ('red',)
        assert committed(stack).count({'a2': 'red'}) == 1

    play_with(monkeypatch, lambda _, lines: (*lines, ready), play)


@pytest.mark.parametrize('row', ODD_STATUSES)
def test_odd_status_of_one_replica_costs_no_session(
    row: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play(stack: WireStack, odd_endpoints: set[str]) -> None:
        primary = primary_of(stack).endpoint
        replicas = set(stack.group.endpoints) - {primary}
        odd_endpoints.add(min(replicas))
        await restart_all(stack)
        for attempt in range(4):
            await sleep(WAIT_S)
            await expect_statements(stack, f'a{attempt}')
        assert primary_of(stack).endpoint == primary

    play_with(monkeypatch, partial(_answer_status, row), play)


@pytest.mark.parametrize('row', ODD_STATUSES)
def test_odd_status_of_one_endpoint_hides_no_other(
    row: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play(stack: WireStack, odd_endpoints: set[str]) -> None:
        ids = sorted(stack.group.endpoints)
        odd_endpoints.add(ids[0])
        control = EndpointControl(
            connector=WireConnector(partial(find_record, stack)),
            log=NullLog(),
            metrics=Metrics(),
        )
        statuses = await request_all(ids, control.status)
        assert sorted(statuses) == ids[1:]

    play_with(monkeypatch, partial(_answer_status, row), play)


def find_record(stack: WireStack, endpoint: str) -> EndpointRecord:
    """Return the record of an endpoint."""
    return decode_entry(endpoint, Raw(encode(stack.endpoint_entry(endpoint))))


def _answer_status(
    row: str, line: str, lines: tuple[str, ...]
) -> tuple[str, ...]:
    return (f'DATAROW {row}', lines[1]) if 'STATUS' in line else lines


async def expect_statements(stack: WireStack, mark: str) -> None:
    """Write at every node, and read with a proof of the primary."""
    for name, running in stack.nodes.items():
        async with wire_client(running.address) as client:
            await client.start('orders', KEY)
            assert (await client.query(f'WRITE {mark} {name}')).code == ''
            assert (await client.query(f'READ {mark}')).rows == (name,)


def test_second_response_is_not_taken_for_that_of_the_next_statement(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def odd(line: str, lines: tuple[str, ...]) -> tuple[str, ...]:
        if 'READ a1' not in line:
            return lines
        return (*lines, 'READY I 1.1', 'DATAROW stale', 'COMPLETE 1.x')

    async def play(stack: WireStack, odd_endpoints: set[str]) -> None:
        assert await failover.write(stack, 'a1') == ''
        odd_endpoints.update(stack.group.endpoints)
        async with wire_client(stack.nodes['node-1'].address) as client:
            await client.start('orders', KEY)
            assert (await client.query('READ a1')).rows == ('a1',)
            assert (await client.query('READ a2')).rows == ('none',)
            assert (await client.query('BEGIN')).code == ''
            assert (await client.query('READ a1')).rows == ('a1',)
            assert (await client.query('READ a2')).rows != ('stale',)

    play_with(monkeypatch, odd, play)


def test_commit_after_the_endpoint_closed_the_connection_is_not_in_doubt() -> (
    None
):
    async def play() -> None:
        async with running_wire_stack() as stack:
            async with wire_client(stack.nodes['node-1'].address) as client:
                await client.start('orders', KEY)
                await client.query('BEGIN')
                assert (await client.query('WRITE a1 red')).code == ''
                primary_of(stack).crash()
                await sleep(0.1)
                assert (await client.query('COMMIT')).code == 'ABORTED'
            assert committed(stack) == []

    run_virtual(play)


@pytest.mark.parametrize(
    ('name', 'answer'),
    [
        ('hanbit oars', 'ERROR MALFORMED malformed'),
        ('\u0950', 'READY I -'),
        ('a\r\nb', 'ERROR MALFORMED malformed'),
    ],
)
def test_name_that_cannot_be_sent_costs_no_other_organisation(
    name: str, answer: str
) -> None:
    async def play() -> None:
        async with running_wire_stack() as stack:
            tenants = [
                {
                    'name': each,
                    'api_keys': [key],
                    'rate_per_s': 1000,
                    'burst': 1000,
                }
                for each, key in ((name, 'key-odd'), ('himal', KEY))
            ]
            changed = make_declaration(2, tenants=tenants)
            stack.store_state.put(CONFIG_KIND, CONFIG_NAME, changed)
            await sleep(APPLY_S)
            primary = primary_of(stack)
            for _ in range(5):
                async with wire_client(stack.nodes['node-1'].address) as client:
                    assert await client.start('orders', 'key-odd') == answer
                    if answer.startswith('READY'):
                        assert not (await client.query('WRITE a1 x')).code
                        assert not (await client.query('READ a1')).code
                assert await failover.write(stack, 'b1') == ''
            assert primary_of(stack) is primary

    run_virtual(play)
