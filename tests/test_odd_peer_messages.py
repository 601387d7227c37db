"""Messages of other nodes that are malformed, or odd, harm no node."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import pytest
from msgspec.json import decode, encode
from msgspec.structs import asdict
from trio import current_time, open_nursery, sleep

from tests.support import run_virtual
from tests.test_unreadable_objects import expect_service
from trefoilhitch._generated.peer import (
    LeaseAttemptReply,
    LeaseAttemptRequest,
    MemberBeat,
    MembersReply,
)
from trefoilhitch.decision_log import NullLog
from trefoilhitch.http_client import HttpClient
from trefoilhitch.http_message import HttpRequest, HttpResponse
from trefoilhitch.http_server import HttpServer, SharedHandlerFactory
from trefoilhitch.platform.object_store import ENDPOINT_KIND
from trefoilhitch.pooler.declaration_sync import DeclarationSync
from trefoilhitch.pooler.peer_client import PeerClient
from trefoilhitch.pooler.peer_sync import PeerSync
from trefoilhitch_lab.loopback import loopback_address
from trefoilhitch_lab.stack import FailureCollector
from trefoilhitch_lab.wire_stack import SERVICE, WireStack, running_wire_stack

NODES = 2
# Time in which a node exchanges its state with each other one.
EXCHANGES_S = 6.0
DEEP = b'[' * 3000 + b']' * 3000
MALFORMED = {
    'empty': b'',
    'deep': DEEP,
    'deep-field': b'{"x":' + DEEP + b'}',
    'surrogate': r'{"service":"\ud800","address":"\ud800"}'.encode(),
    'not-utf-8': b'{"service":"\xff\xfe"}',
    'half': b'{"beats":[',
    'text': b'"beats"',
    'null': b'null',
    'huge-number': b'{"above":' + b'9' * 5000 + b'}',
}
CALLS = (
    'exchange',
    'declaration',
    'entries',
    'members',
    'probe',
    'tokens',
    'leases',
    'lease_attempt',
    'proof',
    'check',
    'status',
    'run',
    'abandon',
    'explain',
)
BEAT = {
    'node': 'odd',
    'address': '127.0.0.1:1',
    'region': 'patan',
    'data_centre': 'patan',
    'incarnation': 1,
    'counter': 1,
    'state': 'live',
}


INT64_MAX = 2**63 - 1
ODD_TEXTS = (
    '',
    ' ',
    'a b',
    'a\r\nb',
    'a\x00b:80',
    '\u0950',
    '127.0.0.1:8\u00b240',
    '127.0.0.1:99999',
    '127.0.0.1:-1',
    '127.0.0.1:' + '9' * 5000,
    'a..b:80',
    'x' * 300 + ':80',
    'node-0',
    'node-1',
    SERVICE,
    'ledger-1',
)
ODD_NUMBERS = (
    -1,
    -INT64_MAX,
    0,
    INT64_MAX,
    INT64_MAX + 1,
    2**64 - 1,
    2**64,
    10**300,
    1e308,
    0.5,
)


async def post(
    stack: WireStack, node: str, call: str, body: bytes
) -> HttpResponse:
    """Send a message to a node as another node does."""
    client = HttpClient(stack.nodes[node].cfg.peer_address)
    try:
        return await client.request(
            HttpRequest('POST', f'/v1/pooler/{call}', body=body),
            current_time() + 5,
        )
    finally:
        client.close()


@dataclass(slots=True)
class OddNode:
    """A node that gives the same answer to each request.

    Args:
        answer: body of the answer.
        calls: names of the requests that it was sent.

    """

    answer: bytes
    calls: list[str] = field(default_factory=list)

    async def respond(self, req: HttpRequest) -> HttpResponse:
        """Return the answer."""
        self.calls.append(req.path.rpartition('/')[2])
        return HttpResponse(body=self.answer)


@asynccontextmanager
async def odd_node_beside(
    stack: WireStack, answer: bytes, **changes: Any
) -> AsyncIterator[OddNode]:
    """Run an odd node that all nodes know."""
    odd = OddNode(answer)
    async with open_nursery() as nursery:
        server = HttpServer(
            factory=SharedHandlerFactory(odd), reporter=FailureCollector()
        )
        host = loopback_address()
        port = await server.listen(nursery, host, 0)
        for number, node in enumerate(stack.nodes):
            beat = {
                **BEAT,
                'address': f'{host}:{port}',
                'node': f'odd-{number}',
                'data_centre': stack.nodes[node].cfg.data_centre,
                **changes,
            }
            await post(stack, node, 'exchange', encode({'beats': [beat]}))
        yield odd
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize('body', MALFORMED)
def test_malformed_request_is_refused(body: str) -> None:
    async def play() -> None:
        async with running_wire_stack(nodes=NODES) as stack:
            statuses = {
                call: (
                    await post(stack, 'node-0', call, MALFORMED[body])
                ).status
                for call in CALLS
            }
            await expect_service(stack)
        assert set(statuses.values()) <= {200, 400}, statuses
        assert statuses['exchange'] == 400

    run_virtual(play)


@pytest.mark.parametrize('body', MALFORMED)
def test_malformed_reply_ends_no_node(body: str) -> None:
    async def play() -> None:
        async with (
            running_wire_stack(nodes=NODES) as stack,
            odd_node_beside(stack, MALFORMED[body], revision=9) as odd,
        ):
            await sleep(EXCHANGES_S)
            await expect_service(stack)
        assert 'exchange' in odd.calls

    run_virtual(play)


@pytest.mark.parametrize(
    ('holder', 'running'), [('node-0', False), ('node-1', True), ('', True)]
)
def test_only_the_named_holder_denies_an_attempt(
    holder: str, running: bool
) -> None:
    """Guards against a lease that is acquired while its holder goes on."""

    async def play() -> None:
        message = LeaseAttemptRequest(node=holder, attempt=f'{holder}/1')
        async with running_wire_stack(nodes=NODES) as stack:
            resp = await post(stack, 'node-0', 'lease_attempt', encode(message))
        reply = decode(resp.body, type=LeaseAttemptReply)
        assert reply.running is running

    run_virtual(play)


class ReportLog(NullLog):
    """Keeps the unexpected exceptions."""

    def __init__(self) -> None:
        """Start without exceptions."""
        self.reported: list[Exception] = []

    def report(self, exc: Exception) -> None:
        """Keep an exception."""
        self.reported.append(exc)


async def fail(*_args: Any, **_fields: Any) -> None:
    """Fail in a way that nobody expects."""
    raise ZeroDivisionError


@pytest.mark.parametrize(
    ('owner', 'method'),
    [
        (PeerClient, 'call'),
        (PeerSync, 'exchange'),
        (PeerSync, '_fetch_entries'),
        (DeclarationSync, 'follow'),
    ],
)
def test_unforeseen_failure_of_a_request_ends_no_other_task(
    owner: type, method: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play() -> None:
        log = ReportLog()
        async with running_wire_stack(nodes=NODES, log=log) as stack:
            with monkeypatch.context() as patched:
                patched.setattr(owner, method, fail)
                entry = stack.endpoint_entry('ledger-2', capacity=7)
                stack.store_state.put(ENDPOINT_KIND, 'ledger-2', entry)
                beat = {**BEAT, 'revision': 9}
                message = {'beats': [beat], 'entries_revision': 900}
                for node in stack.nodes:
                    await post(stack, node, 'exchange', encode(message))
                await sleep(EXCHANGES_S)
            await sleep(EXCHANGES_S)
            await expect_service(stack)
        assert any(isinstance(each, ZeroDivisionError) for each in log.reported)

    run_virtual(play)


def good_beat(name: str) -> dict[str, Any]:
    """Return the state of a node that does not exist."""
    return {**BEAT, 'node': name, 'state': 'leaving'}


async def members_at(stack: WireStack, node: str) -> dict[str, MemberBeat]:
    """Return the nodes that a node knows."""
    resp = await post(stack, node, 'members', b'{}')
    assert resp.status == 200
    beats = decode(resp.body, type=MembersReply).beats
    return {each.node: each for each in beats}


ODD_BEATS = [
    *(
        {'address': text}
        for text in ODD_TEXTS
        if text not in {SERVICE, 'ledger-1', 'node-0', 'node-1'}
    ),
    *(
        {name: number}
        for name in ('incarnation', 'counter')
        for number in (-1, INT64_MAX, 2**64, 10**300)
    ),
    {'revision': -1},
    {'revision': 2**64},
    {'state': 'asleep'},
    {'state': None},
]


@pytest.mark.parametrize('changes', ODD_BEATS, ids=str)
def test_odd_state_of_a_node_spreads_to_none_and_hides_no_other(
    changes: dict[str, Any],
) -> None:
    async def play() -> None:
        log = ReportLog()
        async with running_wire_stack(nodes=NODES, log=log) as stack:
            beats = [
                good_beat('first'),
                {**BEAT, 'node': 'odd-node', **changes},
                good_beat('last'),
            ]
            body = encode({'beats': beats})
            assert (await post(stack, 'node-0', 'exchange', body)).status == 200
            await sleep(EXCHANGES_S)
            for node in stack.nodes:
                known = await members_at(stack, node)
                assert known.keys() == {'node-0', 'node-1', 'first', 'last'}
            await expect_service(stack)
        assert not log.reported

    run_virtual(play)


@pytest.mark.parametrize('state', ['live', 'suspected', 'failed', 'leaving'])
@pytest.mark.parametrize('incarnation', [1, 2, 2**62])
@pytest.mark.parametrize('address', ['127.0.0.1:1', None])
def test_node_contradicts_any_newer_statement_about_itself(
    state: str, incarnation: int, address: str | None
) -> None:
    async def play() -> None:
        async with running_wire_stack(nodes=NODES) as stack:
            own = (await members_at(stack, 'node-1'))['node-1']
            statement = {
                **asdict(own),
                'state': state,
                'incarnation': own.incarnation + incarnation - 1,
                'counter': own.counter + 5,
                'address': address or own.address,
            }
            body = encode({'beats': [good_beat('sender'), statement]})
            await post(stack, 'node-0', 'exchange', body)
            await sleep(EXCHANGES_S)
            for node in stack.nodes:
                known = (await members_at(stack, node))['node-1']
                assert (known.state, known.address) == ('live', own.address)
            await expect_service(stack)

    run_virtual(play)
