"""`trefoilhitch explain` selects the events that explain a request."""

from pathlib import Path

import cappa
import pytest
from msgspec.json import encode
from syrupy.assertion import SnapshotAssertion

from trefoilhitch.cli import Tool
from trefoilhitch.exit_code import ExitCode


def log_line(second: float, node: str, event: str, **fields: object) -> str:
    """Return one line of a log."""
    time = f'2026-06-07T04:16:{second:09.6f}'
    entry = {'time': time, 'level': 'info', 'node': node, 'event': event}
    return encode({**entry, 'record': fields}).decode()


LOGS = (
    log_line(
        1, 'n1', 'declaration_in_force', revision=4, rates={'a': [41, 41]}
    ),
    log_line(
        2, 'n1', 'declaration_in_force', revision=8, rates={'a': [13, 13]}
    ),
    log_line(
        2, 'n2', 'declaration_in_force', revision=8, rates={'a': [13, 13]}
    ),
    log_line(9, 'n1', 'lead_changed', service='s', endpoint='i-1', term=1),
    log_line(
        10,
        'n1',
        'statement',
        request='rate',
        organisation='a',
        revision=8,
        endpoint='',
        outcome='busy',
        detail='the rate of the organisation is used up',
    ),
    log_line(20, 'n2', 'answer_lost', request='doubt', endpoint='i-1'),
    log_line(20.1, 'n2', 'statement', request='doubt', endpoint='i-1'),
    log_line(20.1, 'n2', 'statement', request='other', endpoint='i-1'),
    log_line(21, 'n1', 'succession_began', service='s', reason='silent'),
    log_line(22, 'n1', 'lead_changed', service='s', endpoint='i-2', term=2),
    log_line(22.5, 'n3', 'store_lost', listing='endpoints'),
    log_line(40, 'n1', 'lead_changed', service='s', endpoint='i-3', term=3),
    'a line of something else',
    '{"event": "of no node"}',
)


def _explain(tmp_path: Path, request: str) -> int:
    log = tmp_path / 'nodes.log'
    log.write_text('\n'.join(LOGS))
    try:
        cappa.invoke(Tool, argv=['explain', request, str(log)])
    except cappa.Exit as exc:
        return int(exc.code or 0)
    return ExitCode.DONE


@pytest.mark.parametrize('request_id', ['rate', 'doubt'])
def test_a_request_is_explained(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    snapshot: SnapshotAssertion,
    request_id: str,
) -> None:
    assert _explain(tmp_path, request_id) == ExitCode.DONE
    assert capsys.readouterr().out == snapshot


def test_an_unknown_request_is_refused(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert _explain(tmp_path, 'unknown') == ExitCode.REFUSED
    assert 'not in these logs' in capsys.readouterr().err


def test_an_unreadable_log_is_a_usage_error() -> None:
    with pytest.raises(cappa.Exit) as caught:
        cappa.invoke(Tool, argv=['explain', 'rate', 'missing.log'])
    assert caught.value.code == ExitCode.USAGE
