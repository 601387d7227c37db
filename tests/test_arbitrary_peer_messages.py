"""Arbitrary messages, sent to and answered by a running pair of nodes."""

from functools import partial
from typing import Any, get_args, get_origin, get_type_hints

from hypothesis import given
from hypothesis import strategies as st
from msgspec import Struct
from msgspec.json import encode
from trio import sleep

from tests.support import run_virtual
from tests.test_odd_peer_messages import (
    BEAT,
    CALLS,
    INT64_MAX,
    NODES,
    ODD_TEXTS,
    ReportLog,
    odd_node_beside,
    post,
)
from tests.test_unreadable_objects import expect_service
from trefoilhitch._generated import peer
from trefoilhitch_lab.wire_stack import running_wire_stack

MESSAGES = (
    peer.Exchange,
    peer.DeclarationRequest,
    peer.EntriesRequest,
    peer.ProbeRequest,
    peer.TokenRequest,
    peer.LeaseAttemptRequest,
    peer.ProofRequest,
    peer.CheckRequest,
    peer.StatusRequest,
    peer.RunRequest,
    peer.AbandonRequest,
    peer.ExplainRequest,
    peer.DeclarationReply,
    peer.EntriesReply,
    peer.MembersReply,
    peer.TokenReply,
    peer.LeaseViewReply,
    peer.LeaseAttemptReply,
    peer.ProofReply,
    peer.RunReply,
    peer.StatusReport,
    peer.CheckReply,
)
# A service's primary and its log are what nodes and endpoints say they are.
TRUSTED = frozenset(('term', 'position_term', 'position'))
NUMBERS = (-1, 0, 1, INT64_MAX, INT64_MAX + 1, 2**64, 10**300, 0.5, 1e308)
TEXTS = (*ODD_TEXTS, 'live', 'failed', 'leaving', 'read', 'primary', 'himal')
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from(NUMBERS),
    st.integers(-(2**70), 2**70),
    st.sampled_from(TEXTS),
    st.text(max_size=8),
)
JSON = st.recursive(
    SCALARS,
    lambda children: st.one_of(
        st.lists(children, max_size=3),
        st.dictionaries(st.text(max_size=5), children, max_size=3),
    ),
    max_leaves=6,
)


def usual_value(hint: Any) -> Any:
    """Return a value that other nodes accept."""
    if get_origin(hint) is list:
        return [usual_value(get_args(hint)[0])]
    if isinstance(hint, type) and issubclass(hint, Struct):
        return usual_fields(hint)
    return {int: 1, float: 1, bool: True, str: 'himal'}.get(hint)


def usual_fields(message: type[Struct]) -> dict[str, Any]:
    """Return a message that other nodes accept."""
    if message is peer.MemberBeat:
        return {**BEAT}
    usual = {
        name: usual_value(hint)
        for name, hint in get_type_hints(message).items()
        if name not in TRUSTED
    }
    return {name: each for name, each in usual.items() if each is not None}


def odd_value(hint: Any) -> st.SearchStrategy[Any]:
    """Return odd values for a field."""
    if get_origin(hint) is list:
        return st.lists(odd_value(get_args(hint)[0]), max_size=3)
    if isinstance(hint, type) and issubclass(hint, Struct):
        return fields_of(hint)
    typed = {int: NUMBERS, float: NUMBERS, str: TEXTS}.get(hint)
    return st.sampled_from(typed) if typed else JSON


def fields_of(message: type[Struct]) -> st.SearchStrategy[dict[str, Any]]:
    """Return messages of which few fields have an odd value."""
    hints = get_type_hints(message)
    names = sorted(hints.keys() - TRUSTED)
    odd_fields = [
        st.tuples(st.just(name), odd_value(hints[name])) for name in names
    ]
    if not odd_fields:
        return st.just({})
    return st.lists(st.one_of(odd_fields), max_size=2).map(
        lambda changes: {**usual_fields(message), **dict(changes)}
    )


BODIES = st.one_of(
    JSON.map(encode),
    st.sampled_from(MESSAGES).flatmap(fields_of).map(encode),
    fields_of(peer.Exchange).map(encode),
    st.binary(max_size=20),
)


async def play_requests(messages: list[tuple[str, bytes]]) -> None:
    """Send messages to one node of a pair."""
    log = ReportLog()
    async with running_wire_stack(nodes=NODES, log=log) as stack:
        for call, body in messages:
            await post(stack, 'node-0', call, body)
        await sleep(1)
        await expect_service(stack)
    assert not log.reported


async def play_replies(answer: bytes) -> None:
    """Answer each request of a pair with one message."""
    log = ReportLog()
    async with running_wire_stack(nodes=NODES, log=log) as stack:
        async with odd_node_beside(stack, answer, revision=9) as odd:
            await sleep(2)
        assert odd.calls
        await sleep(1)
        await expect_service(stack)
    assert not log.reported


@given(st.lists(st.tuples(st.sampled_from(CALLS), BODIES), max_size=20))
def test_arbitrary_requests_harm_no_node(
    messages: list[tuple[str, bytes]],
) -> None:
    run_virtual(partial(play_requests, messages))


@given(BODIES)
def test_arbitrary_replies_harm_no_node(answer: bytes) -> None:
    run_virtual(partial(play_replies, answer))
