"""What others chose as names does not reach the operator's terminal raw.

Clients and endpoints choose names with any characters of Latin-1; an escape
sequence among them can hide lines, set the title of a terminal or have it
answer, and a line end can forge a line of its own.
"""

import json
import re
from pathlib import Path

import cappa
import pytest
from msgspec import structs

from tests.test_log_timeline import log_line
from tests.test_route_text import REPLY
from trefoilhitch._generated.peer import MemberBeat, NodeStatus
from trefoilhitch.cli import Tool
from trefoilhitch.errors import UnreachableError
from trefoilhitch.exit_code import ExitCode
from trefoilhitch.failure_exit import failure_exit
from trefoilhitch.route_text import render_route
from trefoilhitch.terminal_output import print_json

HOSTILE = 'a\r\n* forged\x1b[2J\x9b31m\x07\x7f\x85\u2028\u202eb'
UNSAFE = re.compile('[\x00-\x09\x0b-\x1f\x7f-\x9f\u2028-\u202e\ud800-\udfff]')


def lines_of(shown: str) -> list[str]:
    """Return the lines of an output that is safe to show."""
    assert UNSAFE.search(shown) is None
    return shown.splitlines()


def test_explained_events_keep_to_their_lines(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # Guards against lines of the log that a client forges in the output.
    log = tmp_path / 'nodes.log'
    log.write_text(
        log_line(
            1, 'n1', 'statement', request='r', name=HOSTILE, more=[HOSTILE]
        )
    )
    cappa.invoke(Tool, argv=['explain', 'r', str(log)])
    lines = lines_of(capsys.readouterr().out)
    assert len(lines) == 1
    assert lines[0].startswith('* 2026')
    assert r'a\r\n* forged\x1b[2J\x9b31m' in lines[0]


@pytest.mark.parametrize(
    ('text', 'shown_as'),
    [
        ('ok endpoint=i-2', '"ok endpoint=i-2"'),
        ('a" x="', r'"a\" x=\""'),
        (' ', '" "'),
        ('a\\', r'"a\\"'),
        ('x=y', '"x=y"'),
        ('', ''),
        ('i-2', 'i-2'),
    ],
)
def test_a_field_cannot_be_taken_for_several(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    text: str,
    shown_as: str,
) -> None:
    # Guards against fields that a client forges with blanks in a name.
    log = tmp_path / 'nodes.log'
    log.write_text(log_line(1, 'n1', 'e', request='r', name=text, end=1))
    cappa.invoke(Tool, argv=['explain', 'r', str(log)])
    shown = capsys.readouterr().out.rstrip()
    field = shown.partition(' request=r name=')[2].removesuffix(' end=1')
    assert field == shown_as


def test_a_request_that_is_not_in_the_logs_is_shown_safely(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = tmp_path / 'nodes.log'
    log.write_text('')
    with pytest.raises(cappa.Exit):
        cappa.invoke(Tool, argv=['explain', HOSTILE, str(log)])
    assert len(lines_of(capsys.readouterr().err)) == 1


def test_an_explained_route_keeps_its_lines() -> None:
    # Guards against names of endpoints that tear the columns.
    candidate = structs.replace(
        REPLY.candidates[0],
        endpoint=HOSTILE,
        data_centre=HOSTILE,
        gateway=HOSTILE,
        unreachable_gateways=[HOSTILE],
    )
    hostile = structs.replace(
        REPLY,
        node=HOSTILE,
        organisation=HOSTILE,
        primary=HOSTILE,
        candidates=[candidate, *REPLY.candidates[1:]],
    )
    lines = lines_of(render_route(hostile))
    assert len(lines) == len(render_route(REPLY).splitlines())


def test_a_status_shows_one_line_a_node(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    # Guards against nodes that seem to be members of the fleet.
    member = MemberBeat(
        node=HOSTILE,
        address='127.0.0.1:1',
        region=HOSTILE,
        data_centre=HOSTILE,
        incarnation=1,
        counter=1,
        state='live',
        revision=1,
    )
    status = NodeStatus(
        node=HOSTILE,
        data_centre=HOSTILE,
        incarnation=1,
        state='live',
        revision=1,
        connections=0,
        requests=0,
        refusals=0,
        p50_ms=0,
        p99_ms=0,
        owned=[],
        members=[member],
    )
    monkeypatch.setattr('trefoilhitch.cli._peer_client', lambda *_: None)
    monkeypatch.setattr('trefoilhitch.cli._run_async', lambda _: status)
    cappa.invoke(Tool, argv=['status', '--settings', 'node.ini'])
    assert len(lines_of(capsys.readouterr().out)) == 2


async def refuse(*_: object) -> None:
    """Refuse like a node or store that chose the text."""
    raise UnreachableError(HOSTILE)


@pytest.mark.parametrize(
    ('call', 'argv'),
    [
        ('cli._status', ['status', '--settings', 'node.ini']),
        (
            'explain_route_command.ask_node',
            ['explain-route', 'orders', '--node', '127.0.0.1:1'],
        ),
    ],
)
def test_a_refusal_of_another_process_is_one_line(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
    call: str,
    argv: list[str],
) -> None:
    # Guards against a node or store whose text passes for the tool's own.
    monkeypatch.setattr('trefoilhitch.cli._peer_client', lambda *_: None)
    monkeypatch.setattr(f'trefoilhitch.{call}', refuse)
    with pytest.raises(cappa.Exit):
        cappa.invoke(Tool, argv=argv)
    assert len(lines_of(capsys.readouterr().err)) == 1


def test_errors_keep_their_line_ends(
    capsys: pytest.CaptureFixture[str],
) -> None:
    # Guards against a list of errors that is no longer readable.
    failure_exit(f'one\ntwo {HOSTILE}', ExitCode.USAGE)
    lines = lines_of(capsys.readouterr().err)
    assert lines[0] == 'one'


def test_json_for_programs_is_safe_on_a_terminal(
    capsys: pytest.CaptureFixture[str],
) -> None:
    # Guards against control characters that JSON does not have to escape.
    print_json({'name': HOSTILE})
    shown = capsys.readouterr().out
    assert len(lines_of(shown)) == 3
    assert json.loads(shown) == {'name': HOSTILE}
