"""`trefoilhitch explain` shows what a request's connection held, and why."""

from datetime import timedelta
from io import StringIO
from pathlib import Path

import cappa
import pytest

from tests.support import with_virtual_clock
from tests.test_log_timeline import log_line
from tests.test_wire_balancing import KEY
from trefoilhitch.cli import Tool
from trefoilhitch.decision_log import JsonLinesHandler, LogbookLog
from trefoilhitch.log_timeline import build_timeline, read_events
from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_stack import running_wire_stack

AROUND_S = 3
CONNECTION = 'n1/7'


def prepared(second: float, request: str, name: str = 'read_q1') -> str:
    """Return the line of a preparation."""
    return log_line(
        second,
        'n1',
        'statement_prepared',
        request=request,
        connection=CONNECTION,
        pooled_name=name,
    )


def reset(second: float, request: str) -> str:
    """Return the line of a reset."""
    return log_line(
        second, 'n1', 'connection_reset', request=request, connection=CONNECTION
    )


STATEMENT = log_line(
    50,
    'n2',
    'statement',
    request='own',
    endpoint='i-1',
    connection=CONNECTION,
    pooled_name='read_q1',
)


def explained(*lines: str) -> list[str]:
    """Return the request and kind of the events that explain `own`."""
    timeline = build_timeline(
        read_events((*lines, STATEMENT)), 'own', timedelta(seconds=AROUND_S)
    )
    return [
        f'{each.event} {each.name_of("request")}'.strip() for each in timeline
    ]


def test_an_early_preparation_is_shown() -> None:
    # Guards against a name whose origin lies before the time that is shown.
    assert explained(
        prepared(1, 'first'),
        prepared(2, 'second'),
        prepared(3, 'other', 'read_q2'),
    ) == ['statement_prepared second', 'statement own']


def test_a_reset_since_the_preparation_is_shown() -> None:
    # Guards against a name that ran after a reset had dropped it, unseen.
    assert explained(
        reset(1, 'early'),
        prepared(2, 'first'),
        reset(3, 'second'),
        reset(4, 'third'),
    ) == [
        'statement_prepared first',
        'connection_reset third',
        'statement own',
    ]


def test_other_names_on_the_connection_are_shown() -> None:
    # Guards against a name that replaced the one that was executed.
    assert explained(
        prepared(1, 'first'),
        prepared(48, 'other', 'read_q2'),
        prepared(52, 'later', 'read_q3'),
        prepared(60, 'too late', 'read_q4'),
    ) == [
        'statement_prepared first',
        'statement_prepared other',
        'statement own',
        'statement_prepared later',
    ]


def test_connections_of_earlier_processes_are_not_shown() -> None:
    # Guards against names of another connection of the same number.
    assert explained(
        prepared(1, 'earlier process'),
        log_line(2, 'n1', 'started'),
        log_line(4, 'n3', 'started'),
    ) == ['statement own']


def test_other_connections_are_not_shown() -> None:
    # Guards against names that the connection of the request never held.
    line = prepared(49, 'other').replace(CONNECTION, 'n1/8')
    assert explained(line) == ['statement own']


@with_virtual_clock
async def test_the_log_of_a_node_tells_who_prepared_a_name() -> None:
    # Guards against events of a node that the tool does not understand.
    stream = StringIO()
    log = LogbookLog(node='node-0', sink=JsonLinesHandler(stream))
    async with running_wire_stack(nodes=1, log=log) as stack:
        for _ in range(2):
            async with wire_client(stack.nodes['node-0'].address) as client:
                await client.start('orders', KEY)
                await client.query('PREPARE s1 WRITE q1')
                assert not (await client.query('EXECUTE s1 a1 red')).code
    statements = [
        event
        for event in read_events(stream.getvalue().splitlines())
        if event.event == 'statement'
    ]
    first, second = (event.name_of('request') for event in statements)
    timeline = build_timeline(
        read_events(stream.getvalue().splitlines()),
        second,
        timedelta(seconds=AROUND_S),
    )
    found = [each for each in timeline if each.event == 'statement_prepared']
    assert [each.name_of('request') for each in found] == [first]


def test_the_tool_marks_only_lines_of_the_request(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    # Guards against a preparation that seems to be the request's own.
    log = tmp_path / 'nodes.log'
    log.write_text(f'{prepared(1, "first")}\n{STATEMENT}\n')
    cappa.invoke(Tool, argv=['explain', 'own', str(log)])
    preparation, statement = capsys.readouterr().out.splitlines()
    assert preparation.startswith('  2026')
    assert 'request=first connection=n1/7 pooled_name=read_q1' in preparation
    assert statement.startswith('* 2026')
