"""Plays scripts of sessions on real nodes, and records all lines."""

import os
from collections import deque
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import replace
from random import Random
from typing import Any

from trio import (
    BrokenResourceError,
    ClosedResourceError,
    Nursery,
    SocketStream,
    move_on_after,
    open_nursery,
    open_tcp_stream,
    sleep,
)

from tests.session_history import PROMISES, answer_code, answer_state
from tests.session_scripts import (
    DIRECT_NODES,
    GATEWAY_NODES,
    ClientScript,
    Script,
    Step,
)
from tests.wire_grammar import is_well_formed
from tests.wire_journal import (
    ClientGot,
    ClientSent,
    Event,
    SessionOpened,
    WireJournal,
    recorded_endpoints,
)
from trefoilhitch_lab.wire_stack import (
    SERVICE,
    WireStack,
    make_declaration,
    running_wire_stack,
)

# Few enough that sessions share connections, for nodes and for gateways.
MAX_CONNECTIONS = int(os.environ.get('SESSION_CONNECTIONS', '12'))
SETTLE_S = 5
ANSWER_TIMEOUT_S = 8
RECONNECT_S = 0.2
MAX_RECONNECTS = 40
RECEIVE_BYTES = 65536
LINE_END = b'\r\n'
_NOT_OPEN = (BrokenResourceError, ClosedResourceError, OSError)
# A client closes its session after an error in the answer to one of these.
_SESSION_VERBS = frozenset((b'SET', b'PREPARE', b'DEALLOC'))
_ENDS = frozenset((b'COMMIT', b'ROLLBACK'))


class RawClient:
    """A session that sends and receives bytes as they are.

    Args:
        stream: an open connection.

    """

    def __init__(self, stream: SocketStream) -> None:
        """Start without received bytes."""
        self._stream = stream
        self._buffer = bytearray()

    async def ask(self, line: bytes) -> tuple[bytes, ...]:
        """Send a line and receive its answer.

        Args:
            line: the line without its line end.

        Returns:
            The lines up to READY; none if the connection closed first.

        """
        lines: list[bytes] = []
        with suppress(*_NOT_OPEN), move_on_after(ANSWER_TIMEOUT_S):
            await self._stream.send_all(line + LINE_END)
            while not lines or not lines[-1].startswith(b'READY'):
                lines.append(await self._receive_line())
            return tuple(lines)
        return ()

    async def _receive_line(self) -> bytes:
        end = self._buffer.find(LINE_END)
        while end < 0:
            chunk = await self._stream.receive_some(RECEIVE_BYTES)
            if not chunk:
                raise BrokenResourceError('closed')
            # A line end may begin in the previous chunk.
            search_from = max(0, len(self._buffer) - 1)
            self._buffer += chunk
            end = self._buffer.find(LINE_END, search_from)
        line = bytes(self._buffer[:end])
        self._buffer = self._buffer[end + len(LINE_END) :]
        return line


class ClientPlayer:
    """Plays one client, in one session after the other.

    Args:
        stack: the nodes.
        journal: receives what the client sends and gets.
        script: what the client does.

    """

    def __init__(
        self, stack: WireStack, journal: WireJournal, script: ClientScript
    ) -> None:
        """Start with all steps."""
        self._stack = stack
        self._events = journal.events
        self._script = script
        self._steps = deque(script.steps)
        self._state = b'I'
        # After a promise, a client goes on with nothing of the transaction.
        self._has_given_up = False

    async def play(self) -> None:
        """Play all steps; a closed session is followed by another one."""
        for number in range(MAX_RECONNECTS):
            if not self._steps:
                return
            with suppress(*_NOT_OPEN, KeyError):
                await self._play_session(f'{self._script.client}.{number}')
            await sleep(RECONNECT_S)

    async def _play_session(self, session: str) -> None:
        script = self._script
        address = self._stack.nodes[script.node].address
        host, _, port = address.rpartition(':')
        async with await open_tcp_stream(host, int(port)) as stream:
            client = RawClient(stream)
            start = f'START {script.database} key-{script.organisation}'
            if await client.ask(start.encode()):
                organisation = script.organisation.encode()
                self._events.append(SessionOpened(session, organisation))
                await self._play_steps(client, session)

    async def _play_steps(self, client: RawClient, session: str) -> None:
        self._state = b'I'
        self._has_given_up = False
        while self._steps:
            step = self._steps.popleft()
            await sleep(step.pause_s)
            if not step.text:
                return
            if self._skips(step):
                continue
            if self._has_given_up:
                step = replace(step, text=b'ROLLBACK')
            if not await self._play_step(client, session, step):
                return

    def _skips(self, step: Step) -> bool:
        if step.text in _ENDS:
            return self._state == b'I'
        return self._has_given_up

    async def _play_step(
        self, client: RawClient, session: str, step: Step
    ) -> bool:
        """Send a statement; return whether the session goes on."""
        self._events.append(ClientSent(session, step.line))
        lines = await client.ask(step.line)
        self._events.append(ClientGot(session, lines))
        self._state = answer_state(lines)
        code = answer_code(lines)
        self._has_given_up = code in PROMISES and self._state == b'T'
        if code and step.text.partition(b' ')[0] in _SESSION_VERBS:
            return False
        # A node closes a connection after a line that it cannot read.
        return bool(lines) and is_well_formed(step.line)


class FaultPlayer:
    """Plays faults of endpoints and nodes.

    Args:
        stack: the nodes and endpoints.
        random: chooses.

    """

    def __init__(self, stack: WireStack, random: Random) -> None:
        """Store what the faults concern."""
        self._stack = stack
        self._random = random

    def start(self, nursery: Nursery, faults: tuple[str, ...]) -> None:
        """Play faults in the background until the nursery is cancelled."""
        plays = {
            'busy': self._be_busy,
            'lost': self._lose_answers,
            'crash': self._crash,
            'restart': self._restart_node,
        }
        for fault in faults:
            nursery.start_soon(self._repeat, plays[fault])

    async def _repeat(self, play: Any) -> None:
        while True:
            await sleep(self._random.uniform(0.2, 1.5))
            await play()

    def _endpoint(self) -> Any:
        endpoints = self._stack.group.endpoints
        return endpoints[self._random.choice(sorted(endpoints))]

    async def _be_busy(self) -> None:
        faults = self._endpoint().faults
        faults.busy = True
        await sleep(self._random.uniform(0.05, 0.4))
        faults.busy = False

    async def _lose_answers(self) -> None:
        self._endpoint().faults.drop_responses = self._random.randint(1, 3)

    async def _crash(self) -> None:
        endpoint = self._endpoint()
        endpoint.crash()
        await sleep(self._random.uniform(0.1, 0.6))
        endpoint.restart(keeps_log=True)

    async def _restart_node(self) -> None:
        name = self._random.choice(sorted(self._stack.nodes))
        self._stack.kill_node(name)
        await sleep(self._random.uniform(0.1, 0.6))
        await self._stack.start_node(name)


async def play_script(script: Script) -> list[Event]:
    """Play a script.

    Args:
        script: what happens.

    Returns:
        All that crossed the sockets, in order.

    """
    journal = WireJournal()
    nodes = GATEWAY_NODES if script.with_gateways else DIRECT_NODES
    with recorded_endpoints(journal):
        async with running_wire_stack(seed=script.seed, nodes=nodes) as stack:
            await _limit_connections(stack)
            await _play_all(stack, journal, script)
    return journal.events


async def _limit_connections(stack: WireStack) -> None:
    for endpoint in stack.group.endpoints.values():
        endpoint.faults.max_connections = MAX_CONNECTIONS
    service = {
        'name': SERVICE,
        'max_connections': MAX_CONNECTIONS,
        'sync_replicas': 1,
    }
    declaration = make_declaration(2, services=[service])
    stack.store_state.put('config', 'main', declaration)
    # All nodes know each other and have closed what they may not hold.
    await sleep(SETTLE_S)


async def _play_all(
    stack: WireStack, journal: WireJournal, script: Script
) -> None:
    players = [
        ClientPlayer(stack, journal, client) for client in script.clients
    ]
    async with open_nursery() as faults:
        FaultPlayer(stack, Random(script.seed)).start(faults, script.faults)
        async with open_nursery() as clients:
            for player in players:
                clients.start_soon(player.play)
        faults.cancel_scope.cancel()


def shown_events(events: list[Event]) -> Iterator[str]:
    """Show the events of a short run, one a line."""
    for event in events:
        if getattr(event, 'line', b'') != b'QUERY - STATUS':
            yield repr(event)[:200]
