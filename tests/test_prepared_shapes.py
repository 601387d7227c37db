"""Prepared statements of clients that share connections to endpoints."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest
from trio import current_time, sleep

from tests.support import run_virtual
from tests.test_gateways import gateway_stack
from trefoilhitch_lab.wire_client import (
    WireClient,
    WireResponse,
    wire_client,
)
from trefoilhitch_lab.wire_grammar import LINE_END_BYTES, MAX_MESSAGE_BYTES
from trefoilhitch_lab.wire_stack import (
    WireStack,
    make_declaration,
    running_wire_stack,
)

# Access and body of a shape.
Shape = tuple[str, str]
# Shape, item and data of a statement that ran.
Ran = tuple[Shape | None, str, str | None]

ROUNDS = 3
# Access, and the bodies of the first and the second client's shape.
PAIRS = {
    'one-word': ('WRITE', 'q1', 'q2'),
    'rest-of-a-write': ('WRITE', 'q25', 'q25 WRITE nl'),
    'rest-of-a-read': ('READ', 'q10', 'q10 READ aw'),
    'rest-as-item': ('WRITE', 'q2c', 'q2c razor'),
    'blank-at-end': ('WRITE', 'q2c', 'q2c '),
    'rest-of-a-read-2': ('READ', 'q23', 'q23 READ wxflbfs'),
    'item-and-blank': ('WRITE', 'q2c', 'q2c wf '),
}
READ_PAIRS = {
    name: ('READ', first, second.replace('WRITE', 'READ'))
    for name, (_, first, second) in PAIRS.items()
}
# Characters that other parsers take for blanks.
SPACES = ('\xa0', '\x85', '\x1c', '\t', '\x0b')
MAX_NAMES = 128
MAX_SHAPE_BYTES = 4 * MAX_MESSAGE_BYTES
SHAPES = 4000
LARGE_SHAPES = 9
LARGE_BYTES = 600000
# A statement that is not sent to an endpoint is answered without a pause.
AT_ONCE_S = 0.05
FITTING = MAX_MESSAGE_BYTES - LINE_END_BYTES

in_places = pytest.mark.parametrize('place', ['own', 'gateway'])


@dataclass(slots=True)
class Playground:
    """A stack, and the nodes that two clients of an organisation use.

    Args:
        stack: the stack.
        nodes: names of the nodes.
        key: API key of the organisation.
        wanted: what the acknowledged statements should have run.
        codes: codes of the responses.

    """

    stack: WireStack
    nodes: tuple[str, str]
    key: str
    wanted: list[Ran] = field(default_factory=list)
    codes: list[str] = field(default_factory=list)

    @property
    def ran(self) -> list[Ran]:
        """What the endpoints ran."""
        return [
            (each.shape, each.row_name, each.row_text)
            for each in self.stack.group.executed
        ]

    def sent(self, verb: str) -> int:
        """Return how many statements of a verb the endpoints received."""
        endpoints = self.stack.group.endpoints.values()
        return sum(each.request_counts[verb] for each in endpoints)

    def refuse(self, *verbs: str) -> None:
        """Let all endpoints refuse statements with MALFORMED."""
        for endpoint in self.stack.group.endpoints.values():
            endpoint.faults.malformed_verbs = frozenset(verbs)

    @asynccontextmanager
    async def client(
        self, database: str = 'orders', number: int = 0
    ) -> AsyncIterator[WireClient]:
        """Open a session on one of the nodes."""
        address = self.stack.nodes[self.nodes[number]].address
        async with wire_client(address) as client:
            assert await client.start(database, self.key) == 'READY I -'
            yield client

    async def query(self, client: WireClient, text: str) -> WireResponse:
        """Run a statement that has to succeed."""
        response = await client.query(text)
        assert not response.code
        return response

    async def execute(
        self, client: WireClient, name: str, shape: Shape, row: str
    ) -> None:
        """Execute a prepared statement and keep what should run."""
        written = 'red' if shape[0] == 'WRITE' else None
        text = f'EXECUTE {name} {row}'
        response = await client.query(f'{text} {written}' if written else text)
        self.codes.append(response.code)
        self.wanted.append((shape, row, written))

    def check(self) -> None:
        """Check that each statement succeeded and ran as it was sent."""
        assert self.ran == self.wanted
        assert not any(self.codes)
        assert not self.stack.group.violations


@asynccontextmanager
async def playground(place: str) -> AsyncIterator[Playground]:
    """Run nodes with own connections, or nodes that use a gateway's."""
    if place == 'gateway':
        async with gateway_stack() as stack:
            # The endpoint that takes writes is in another data centre, where
            # neither of them can be the gateway.
            yield Playground(stack, ('node-1', 'node-4'), 'key-org-1')
        return
    async with running_wire_stack() as stack:
        yield Playground(stack, ('node-0', 'node-0'), 'key-himal')


def play(place: str, scenario: Callable[[Playground], Awaitable[None]]) -> None:
    """Run a scenario on a virtual clock."""

    async def play_in_stack() -> None:
        async with playground(place) as ground:
            await scenario(ground)

    run_virtual(play_in_stack)


async def take_turns(
    ground: Playground,
    pair: tuple[str, str, str],
    *,
    database: str = 'orders',
    begin: str = '',
) -> None:
    """Let two clients execute different shapes of one name in turns."""
    access, *bodies = pair
    async with (
        ground.client(database) as first,
        ground.client(database, 1) as second,
    ):
        clients = list(zip((first, second), bodies, strict=True))
        for client, body in clients:
            await ground.query(client, f'PREPARE s1 {access} {body}')
        for turn in range(ROUNDS):
            for client, body in clients:
                if begin:
                    await ground.query(client, begin)
                await ground.execute(client, 's1', (access, body), f'i{turn}')
                if begin:
                    await ground.query(client, 'COMMIT')


@in_places
@pytest.mark.parametrize('pair', PAIRS)
def test_statement_runs_the_shape_of_another_client(
    pair: str, place: str
) -> None:
    async def scenario(ground: Playground) -> None:
        await take_turns(ground, PAIRS[pair])
        ground.check()

    play(place, scenario)


@in_places
@pytest.mark.parametrize('pair', PAIRS)
def test_transaction_runs_the_shape_of_another_client(
    pair: str, place: str
) -> None:
    async def scenario(ground: Playground) -> None:
        await take_turns(ground, PAIRS[pair], begin='BEGIN')
        ground.check()

    play(place, scenario)


@in_places
@pytest.mark.parametrize('pair', READ_PAIRS)
def test_read_route_runs_the_shape_of_another_client(
    pair: str, place: str
) -> None:
    async def scenario(ground: Playground) -> None:
        for database in ('stock', 'visits'):
            for begin in ('', 'BEGIN READ'):
                await take_turns(
                    ground, READ_PAIRS[pair], database=database, begin=begin
                )
        ground.check()

    play(place, scenario)


@in_places
def test_lone_shape_with_a_blank_is_refused(place: str) -> None:
    bodies = ('q2c razor', 'q2c ', ' q2c', 'q  2c', '  ')

    async def scenario(ground: Playground) -> None:
        for number, body in enumerate(bodies):
            async with ground.client() as client:
                await ground.query(client, f'PREPARE s1 WRITE {body}')
                shape = ('WRITE', body)
                await ground.execute(client, 's1', shape, f'i{number}')
        ground.check()

    play(place, scenario)


@in_places
def test_names_that_differ_in_a_byte_share_a_shape(place: str) -> None:
    names = ['a', 'b', *SPACES]
    for char in SPACES:
        names.extend((f'a{char}', f'{char}a', f'a{char}b'))

    async def scenario(ground: Playground) -> None:
        async with ground.client() as client:
            for name in names:
                await ground.query(client, f'PREPARE {name} READ q{name}')
            for number, name in enumerate(names):
                shape = ('READ', f'q{name}')
                await ground.execute(client, name, shape, f'i{number}')
        ground.check()

    play(place, scenario)


def test_name_is_dropped_with_one_that_differs_in_a_byte() -> None:
    async def scenario(ground: Playground) -> None:
        for char in SPACES:
            async with ground.client() as client:
                for name in ('a', f'a{char}'):
                    await ground.query(client, f'PREPARE {name} READ q1')
                await ground.query(client, f'DEALLOC a{char}')
                await ground.execute(client, 'a', ('READ', 'q1'), 'i1')
                dropped = await client.query(f'EXECUTE a{char} i2')
                assert dropped.code == 'NOSTMT'
        ground.check()

    play('own', scenario)


@in_places
def test_shapes_that_differ_in_a_byte_are_confused(place: str) -> None:
    bodies = ['q']
    for char in SPACES:
        bodies.extend((f'q{char}', f'{char}q', f'q{char}q', f'{char} q '))

    async def scenario(ground: Playground) -> None:
        async with ground.client() as client:
            for number, body in enumerate(bodies):
                await ground.query(client, f'PREPARE s{number} READ {body}')
            for number, body in enumerate(bodies):
                name = f's{number}'
                await ground.execute(client, name, ('READ', body), 'i1')
        ground.check()

    play(place, scenario)


@in_places
def test_variable_differs_from_the_acknowledged_one(place: str) -> None:
    texts: list[str] = []
    for char in (' ', *SPACES):
        texts.extend((f'v{char}', f'{char}v', f'v{char}{char}w', char))

    async def scenario(ground: Playground) -> None:
        async with ground.client() as client:
            for text in texts:
                await ground.query(client, f'SET app {text}')
                await ground.query(client, 'READ i1')
        executed = ground.stack.group.executed
        assert [each.variables for each in executed] == [
            {'app': text} for text in texts
        ]

    play(place, scenario)


@in_places
def test_variables_that_differ_in_a_byte_share_a_value(place: str) -> None:
    names = ['a', 'b', *SPACES]
    for char in SPACES:
        names.extend((f'a{char}', f'{char}a', f'a{char}b'))
    variables = {name: f'{number}' for number, name in enumerate(names)}

    async def scenario(ground: Playground) -> None:
        async with ground.client() as client:
            for name, text in variables.items():
                await ground.query(client, f'SET {name} {text}')
            await ground.query(client, 'READ i1')
        executed = ground.stack.group.executed
        assert [each.variables for each in executed] == [variables]

    play(place, scenario)


@in_places
def test_item_or_data_of_a_prepared_statement_changes(place: str) -> None:
    rows = [('i', ' d '), ('i', ' ')]
    for char in SPACES:
        rows.extend(
            (
                (f'i{char}', f'd{char}'),
                (f'{char}i', f'{char}d'),
                (f'i{char}i', f' {char} d '),
                (char, char),
            )
        )

    async def scenario(ground: Playground) -> None:
        shape = ('WRITE', 'q1')
        async with ground.client() as client:
            await ground.query(client, 'PREPARE s1 WRITE q1')
            for row, text in rows:
                await ground.query(client, f'EXECUTE s1 {row} {text}')
                ground.wanted.append((shape, row, text))
        ground.check()

    play(place, scenario)


def filled(line: str, size: int = FITTING) -> str:
    """Extend a line to a size."""
    return line + 'x' * (size - len(line))


async def check_malformed_at_once(client: WireClient, line: str) -> None:
    """Check that a line is refused without a try at an endpoint."""
    started_at = current_time()
    await client.send(line)
    assert (await client.receive_response()).code == 'MALFORMED'
    assert current_time() - started_at < AT_ONCE_S


async def check_usable(ground: Playground, client: WireClient) -> None:
    """Check that a session goes on, and that endpoints got no long line."""
    for text in ('PREPARE u WRITE q9', 'EXECUTE u i9 red', 'READ i9'):
        response = await client.query(text)
        assert (response.code, response.state) == ('', 'I')
    assert not ground.stack.group.violations


@in_places
def test_preparation_over_one_mebibyte_reaches_an_endpoint(place: str) -> None:
    async def scenario(ground: Playground) -> None:
        async with ground.client() as client:
            line = filled('QUERY 1 PREPARE s WRITE q')
            await check_malformed_at_once(client, line)
            await check_usable(ground, client)

    play(place, scenario)


@in_places
def test_execution_over_one_mebibyte_reaches_an_endpoint(place: str) -> None:
    async def scenario(ground: Playground) -> None:
        async with ground.client() as client:
            await client.query('PREPARE s WRITE q1')
            line = filled('QUERY 1 EXECUTE s i1 ')
            await check_malformed_at_once(client, line)
            await check_usable(ground, client)

    play(place, scenario)


@in_places
def test_execution_over_one_mebibyte_ends_the_session(place: str) -> None:
    async def scenario(ground: Playground) -> None:
        async with ground.client() as client:
            await client.query('PREPARE s WRITE q1')
            assert (await client.query('BEGIN')).state == 'T'
            line = filled('QUERY 1 EXECUTE s i1 ')
            await check_malformed_at_once(client, line)
            assert (await client.query('ROLLBACK')).state == 'I'
            await check_usable(ground, client)

    play(place, scenario)


@in_places
def test_read_with_a_position_over_one_mebibyte_reaches_an_endpoint(
    place: str,
) -> None:
    async def scenario(ground: Playground) -> None:
        async with ground.client('visits') as client:
            assert not (await client.query('WRITE i1 red')).code
            await sleep(1)
            await client.send(filled('QUERY 1 READ i'))
            response = await client.receive_response()
            # The client's own line fits, so that it may be run or refused.
            assert response.code in {'', 'MALFORMED'}
            await check_usable(ground, client)

    play(place, scenario)


@pytest.mark.parametrize('excess', [1, 2])
def test_message_over_one_mebibyte_reaches_an_endpoint(excess: int) -> None:
    async def scenario(ground: Playground) -> None:
        async with ground.client() as client:
            await client.send(filled('QUERY 1 READ i', FITTING + excess))
            assert (await client.receive_response()).code == 'MALFORMED'
        async with ground.client() as client:
            await check_usable(ground, client)

    play('own', scenario)


@in_places
@pytest.mark.parametrize('char', ['x', '\xa0'], ids=['ascii', 'a0'])
def test_large_statement_is_lost_on_its_way(char: str, place: str) -> None:
    text = char * LARGE_BYTES

    async def scenario(ground: Playground) -> None:
        async with ground.client() as client:
            await ground.query(client, 'PREPARE s1 WRITE q1')
            await ground.query(client, f'EXECUTE s1 i1 {text}')
            await ground.query(client, f'WRITE i2 {text}')
            await ground.query(client, f'SET app {text}')
            await ground.query(client, f'READ {text}')
        ground.wanted.extend(
            (
                (('WRITE', 'q1'), 'i1', text),
                (None, 'i2', text),
                (None, text, None),
            )
        )
        ground.check()

    play(place, scenario)


def test_names_pile_up_on_a_pooled_connection() -> None:
    shapes = [('READ', f'q{number}') for number in range(SHAPES)]

    async def scenario(ground: Playground) -> None:
        # No operation is refused for the organisation's rate.
        frequent = make_declaration(2, rate=100 * SHAPES)
        ground.stack.store_state.put('config', 'main', frequent)
        await sleep(2)
        async with ground.client() as client:
            for access, body in shapes:
                await ground.query(client, f'PREPARE s{body} {access} {body}')
            for shape in (*shapes, *shapes[:MAX_NAMES]):
                await ground.execute(client, f's{shape[1]}', shape, 'i1')
        ground.check()
        assert ground.stack.group.held_peak.names <= MAX_NAMES

    play('own', scenario)


@in_places
def test_shapes_fill_the_memory_of_an_endpoint(place: str) -> None:
    filling = 'x' * LARGE_BYTES
    shapes = [
        ('WRITE', f'q{number} {filling}') for number in range(LARGE_SHAPES)
    ]

    async def scenario(ground: Playground) -> None:
        async with ground.client() as client:
            for number, (access, body) in enumerate(shapes):
                text = f'PREPARE s{number} {access} {body}'
                await ground.query(client, text)
            for turn in ('a', 'b'):
                for number, shape in enumerate(shapes):
                    name = f's{number}'
                    await ground.execute(client, name, shape, turn)
        ground.check()
        assert ground.stack.group.held_peak.shape_bytes <= MAX_SHAPE_BYTES

    play(place, scenario)


@in_places
@pytest.mark.parametrize('begin', ['', 'BEGIN'], ids=['single', 'transaction'])
def test_refused_preparation_is_tried_again(begin: str, place: str) -> None:
    async def scenario(ground: Playground) -> None:
        for number, access in enumerate(('READ', 'WRITE'), start=1):
            text = f'EXECUTE s1 i{number} red'
            async with ground.client() as client:
                await ground.query(client, f'PREPARE s1 {access} q1')
                if begin:
                    await ground.query(client, begin)
                ground.refuse('PREPARE')
                assert (await client.query(text)).code == 'MALFORMED'
                ground.refuse()
                if begin:
                    await ground.query(client, 'ROLLBACK')
                assert ground.sent('PREPARE') == 2 * number - 1
                # The session goes on, and the next try prepares it.
                await ground.query(client, text)
            assert len(ground.ran) == number

    play(place, scenario)


@in_places
def test_refused_variable_is_tried_again(place: str) -> None:
    async def scenario(ground: Playground) -> None:
        for text in ('READ i1', 'WRITE i1 red', 'BEGIN', 'BEGIN READ'):
            async with ground.client() as client:
                await ground.query(client, f'SET app {text}')
                sent_before = ground.sent('SET')
                ground.refuse('SET')
                assert (await client.query(text)).code == 'MALFORMED'
                assert ground.sent('SET') == sent_before + 1
                ground.refuse()
                await ground.query(client, text)

    play(place, scenario)
