"""Output of `trefoilhitch explain-route`: text, JSON and exit codes."""

import cappa
import pytest
from msgspec import structs
from syrupy.assertion import SnapshotAssertion

from trefoilhitch import explain_route_command
from trefoilhitch._generated.peer import (
    ExplainedEndpoint,
    ExplainedQueue,
    ExplainedRate,
    ExplainReply,
    ExplainRequest,
)
from trefoilhitch.cli import Tool
from trefoilhitch.exit_code import ExitCode
from trefoilhitch.route_text import render_route
from trefoilhitch.terminal_output import print_json

UNREACHABLE = '127.0.0.1:1'
REPLY = ExplainReply(
    node='edge-1',
    data_centre='patan',
    revision=7,
    database='orders',
    organisation='himal',
    access='read',
    service='ledger',
    freshness='bounded',
    max_age_ms=1500,
    priority=1,
    primary='ledger-1',
    term=3,
    proof_age_ms=40,
    primary_must_prove=False,
    candidates=[
        ExplainedEndpoint(
            endpoint='ledger-2',
            data_centre='patan',
            distance='same_data_centre',
            role='replica',
            share=0.925,
            delay_ms=4.2,
            age_ms=120,
            failed_recently=False,
            lagging=False,
            blocked=False,
            evacuated=False,
            leaving=False,
            missing=False,
            gateway='edge-1',
            unreachable_gateways=[],
            queue=ExplainedQueue(waiting=2, in_flight=3, limit=3),
        ),
        ExplainedEndpoint(
            endpoint='ledger-1',
            data_centre='lakeside',
            distance='same_region',
            role='primary',
            share=0.075,
            delay_ms=6,
            age_ms=None,
            failed_recently=False,
            lagging=False,
            blocked=False,
            evacuated=False,
            leaving=False,
            missing=False,
            gateway='edge-5',
            unreachable_gateways=['edge-4'],
            queue=None,
        ),
        ExplainedEndpoint(
            endpoint='ledger-3',
            data_centre='biratnagar',
            distance='other_region',
            role='replica',
            share=0,
            delay_ms=6,
            age_ms=2900,
            failed_recently=True,
            lagging=True,
            blocked=True,
            evacuated=True,
            leaving=True,
            missing=True,
            gateway='',
            unreachable_gateways=['edge-7', 'edge-8'],
            queue=None,
        ),
    ],
    rate=ExplainedRate(
        tokens=0.4, granted=0, reserved=1, suffices=False, asks_others=True
    ),
)


def test_text_of_an_explanation(snapshot: SnapshotAssertion) -> None:
    # Guards against a field that the text leaves out.
    assert render_route(REPLY) == snapshot


def test_text_without_a_rate_or_a_recent_proof(
    snapshot: SnapshotAssertion,
) -> None:
    # Guards against a text that hides what is unknown.
    reply = structs.replace(
        REPLY,
        organisation='public',
        primary='',
        term=0,
        proof_age_ms=None,
        primary_must_prove=True,
        candidates=REPLY.candidates[1:2],
        rate=None,
    )
    assert render_route(reply) == snapshot


def test_text_without_endpoints() -> None:
    # Guards against a list that ends before it begins.
    reply = structs.replace(REPLY, candidates=[])
    assert 'endpoints: none' in render_route(reply).splitlines()


def test_text_of_a_read_of_the_latest_data() -> None:
    # Guards against a text that other nodes are asked for a proof, which says
    # nothing about the latest data.
    reply = structs.replace(REPLY, freshness='latest', primary_must_prove=True)
    text = render_route(reply)
    assert 'reads return the latest data' in text
    assert 'proof: the primary has to prove' in text


def test_json_of_an_explanation(
    capsys: pytest.CaptureFixture[str], snapshot: SnapshotAssertion
) -> None:
    # Guards against a change of the fields that programs read.
    print_json(REPLY)
    assert capsys.readouterr().out == snapshot


@pytest.mark.parametrize(
    ('options', 'access', 'first_line'),
    [
        ((), 'read', 'read of orders for himal at edge-1'),
        (('--write',), 'write', 'read of orders for himal at edge-1'),
        (('--json',), 'read', '{'),
    ],
)
def test_command_asks_the_node(
    options: tuple[str, ...],
    access: str,
    first_line: str,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    # Guards against arguments that do not reach the node.
    asked = []

    async def answer(address: str, request: ExplainRequest) -> ExplainReply:
        asked.append((address, request))
        return REPLY

    monkeypatch.setattr(explain_route_command, 'ask_node', answer)
    arguments = ['explain-route', 'orders', 'himal', '--node', UNREACHABLE]
    cappa.invoke(Tool, argv=[*arguments, *options])
    request = asked[0][1]
    assert asked == [(UNREACHABLE, request)]
    assert (request.database, request.organisation) == ('orders', 'himal')
    assert request.access == access
    assert capsys.readouterr().out.startswith(first_line)


@pytest.mark.parametrize(
    ('address', 'expected', 'text'),
    [
        (UNREACHABLE, ExitCode.REFUSED, 'UnreachableError'),
        ('edge-1', ExitCode.USAGE, 'ADDRESS:PORT'),
    ],
)
def test_exit_codes_of_the_command(
    address: str,
    expected: ExitCode,
    text: str,
    capsys: pytest.CaptureFixture[str],
) -> None:
    # Guards against a traceback in place of an error.
    arguments = ['explain-route', 'orders', 'himal', '--node', address]
    with pytest.raises(cappa.Exit) as caught:
        cappa.invoke(Tool, argv=arguments)
    assert caught.value.code == expected
    assert text in capsys.readouterr().err
