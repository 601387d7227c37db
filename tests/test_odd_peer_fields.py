"""Odd fields of messages between nodes, one by one."""

from functools import partial
from typing import Any

import pytest
from msgspec.json import encode
from trio import current_time, open_nursery, sleep

from tests.support import run_virtual, with_virtual_clock
from tests.test_declaration_sync import Peer, pack, sync_with
from tests.test_odd_peer_messages import (
    BEAT,
    INT64_MAX,
    NODES,
    ODD_TEXTS,
    OddNode,
    post,
)
from tests.test_unreadable_objects import expect_service
from trefoilhitch._generated.peer import (
    EntriesReply,
    Exchange,
    LeaseViewReply,
    MemberBeat,
    ProofReply,
    RunRequest,
)
from trefoilhitch.decision_log import NullLog
from trefoilhitch.http_server import HttpServer, SharedHandlerFactory
from trefoilhitch.json_decoding import UnreadableJsonError
from trefoilhitch.pooler.current_declaration import CurrentDeclaration
from trefoilhitch.pooler.declaration_sync import FAR_DELAY_S
from trefoilhitch.pooler.entry_log import EntryLog, read_changes
from trefoilhitch.pooler.gateway_client import send_run
from trefoilhitch.pooler.gateway_messages import read_reply
from trefoilhitch.pooler.object_watcher import Changes
from trefoilhitch.pooler.peer_client import PeerClient
from trefoilhitch.pooler.peer_decoding import decode_message
from trefoilhitch.pooler.ports import EndpointConnectionError
from trefoilhitch_lab.loopback import loopback_address
from trefoilhitch_lab.stack import FailureCollector
from trefoilhitch_lab.wire_stack import SERVICE, running_wire_stack


def test_removed_or_odd_entry_hides_no_other_entry() -> None:
    good = {'endpoint': 'a', 'service': SERVICE, 'address': '127.0.0.1:1'}
    odd = [{**good, 'endpoint': 'b', 'address': text} for text in ODD_TEXTS]
    nameless = {'address': '127.0.0.1:1'}
    entries = [good, *odd, nameless, {**good, 'endpoint': 'c'}]
    reply = decode_message(
        encode({'revision': 3, 'entries': entries}), EntriesReply
    )
    changes = read_changes(reply)
    assert list(changes.present) == ['a', 'c']
    assert set(changes.absent) == {'b'}


@pytest.mark.parametrize(
    'proof',
    [
        {'age_ms': -1},
        {'age_ms': 10**15},
        {'term': -1},
        {'term': 2**64},
        {'position': -1},
        {'position': 2**64},
        {'position_term': 2**64},
    ],
    ids=str,
)
def test_odd_proof_hides_no_other(proof: dict[str, Any]) -> None:
    good = {
        'service': SERVICE,
        'endpoint': 'a',
        'term': 1,
        'position_term': 1,
        'position': 5,
        'age_ms': 1,
    }
    proofs = [{**good, **proof}, good]
    reply = decode_message(encode({'proofs': proofs}), ProofReply)
    assert [each.position for each in reply.proofs] == [5]


def test_lease_view_with_an_odd_lease_is_refused() -> None:
    good = {'service': SERVICE, 'idle': True}
    leases = [good, {**good, 'term': -1}]
    for reply in ({'leases': leases}, {'age_ms': -1, 'leases': [good]}):
        with pytest.raises(UnreadableJsonError):
            decode_message(encode(reply), LeaseViewReply)


def test_exchange_without_a_sender_is_refused() -> None:
    beats = [{**BEAT, 'counter': -1}, BEAT]
    with pytest.raises(UnreadableJsonError):
        decode_message(encode({'beats': beats}), Exchange)


@pytest.mark.parametrize(
    'fields',
    [
        {'text': 'READ a\r\nWRITE a b'},
        {'text': '\u0950'},
        {'argument': 'a\n'},
        {'organisation': 'himal\nx'},
        {'request': 'a\rb'},
        {'variables': {'a\n': 'b'}},
        {'variables': {'a': 'b\n'}},
        {'prepared_body': 'a\nb'},
        {'timeout_ms': 10**300},
        {'minimum_position': -1},
        {'minimum_position': 2**64},
    ],
    ids=str,
)
def test_odd_statement_of_a_node_is_refused(fields: dict[str, Any]) -> None:
    async def play() -> None:
        message = {
            'organisation': 'himal',
            'verb': 'read',
            'text': 'READ a',
            'timeout_ms': 500,
            'endpoint': 'ledger-1',
            **fields,
        }
        async with running_wire_stack(nodes=NODES) as stack:
            resp = await post(stack, 'node-0', 'run', encode(message))
            assert resp.status == 400
            await expect_service(stack)

    run_virtual(play)


@pytest.mark.parametrize(
    'fields',
    [
        {'state': 'asleep'},
        {'refusal': 'tired'},
        {'rows': ['a\r\nOK']},
        {'receipt': 'a\n'},
        {'position': -1},
        {'position': 2**64},
        {'outcome': 'maybe'},
        {'status': {'term': -1}},
    ],
    ids=str,
)
def test_odd_answer_to_a_statement_counts_as_lost(
    fields: dict[str, Any],
) -> None:
    async def play() -> None:
        odd = OddNode(encode(fields))
        async with open_nursery() as nursery:
            server = HttpServer(
                factory=SharedHandlerFactory(odd), reporter=FailureCollector()
            )
            host = loopback_address()
            port = await server.listen(nursery, host, 0)
            gateway = MemberBeat(**{**BEAT, 'address': f'{host}:{port}'})
            message = RunRequest(
                organisation='himal',
                verb='read',
                text='READ a',
                timeout_ms=500,
                endpoint='ledger-1',
            )
            with pytest.raises(EndpointConnectionError):
                reply = await send_run(
                    PeerClient(NullLog()), gateway, message, current_time() + 1
                )
                assert reply is not None
                read_reply(reply)
            nursery.cancel_scope.cancel()

    run_virtual(play)


def test_listing_settles_the_revision_of_entries() -> None:
    log = EntryLog()
    log.replace_all(Changes({}, (), 10, 1))
    log.apply(Changes({}, (), INT64_MAX, 1))
    log.replace_all(Changes({}, (), 11, 1))
    assert log.is_behind(1, 12)


@with_virtual_clock
async def test_odd_revision_keeps_no_node_from_a_newer_declaration() -> None:
    declaration = CurrentDeclaration()
    peer = Peer('')
    sync = sync_with(peer, declaration)
    async with open_nursery() as nursery:
        nursery.start_soon(partial(sync.follow, INT64_MAX, 'odd', near=False))
        await sleep(FAR_DELAY_S / 2)
        nursery.start_soon(partial(sync.follow, 2, 'peer', near=False))
        await sleep(FAR_DELAY_S * 3 / 4)
        # The odd node was asked, and the other one is about to be.
        peer.document = pack('2')
    assert declaration.revision == 2
