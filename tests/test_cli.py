"""Exit codes and output of the command-line tools."""

from pathlib import Path

import cappa
import pytest
from msgspec import json
from syrupy.assertion import SnapshotAssertion

from trefoilhitch.cli import Tool
from trefoilhitch.daemon import Daemon
from trefoilhitch.exit_code import ExitCode

ROOT = Path(__file__).resolve().parent.parent
EXAMPLE = str(ROOT / 'examples' / 'orders.ini')
UNREACHABLE = '127.0.0.1:1'


def _exit_code(*arguments: str) -> int:
    try:
        cappa.invoke(Tool, argv=list(arguments))
    except cappa.Exit as exc:
        return int(exc.code or 0)
    return ExitCode.DONE


def test_check_accepts_a_valid_declaration(
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert _exit_code('check', EXAMPLE) == ExitCode.DONE
    assert capsys.readouterr().out == (
        '1 services, 3 endpoints, 2 organisations, 1 keys\n'
    )


def test_check_reports_every_error_of_a_declaration(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    snapshot: SnapshotAssertion,
) -> None:
    bad = tmp_path / 'bad.ini'
    bad.write_text('[service A]\n[organisation o]\nrate = x\n[key k]\n')
    assert _exit_code('check', str(bad)) == ExitCode.REFUSED
    assert capsys.readouterr().err.replace(str(bad), 'bad.ini') == snapshot


@pytest.mark.parametrize(
    ('arguments', 'expected'),
    [
        (['check', 'missing.ini'], ExitCode.USAGE),
        (['show', '--store', UNREACHABLE], ExitCode.REFUSED),
        (['apply', EXAMPLE, '--store', UNREACHABLE], ExitCode.REFUSED),
        (
            ['apply', EXAMPLE, '--store', UNREACHABLE, '--base', '0'],
            ExitCode.UNKNOWN,
        ),
        (['apply'], ExitCode.USAGE),
        (['nonsense'], ExitCode.USAGE),
    ],
)
def test_exit_codes(
    arguments: list[str],
    expected: ExitCode,
) -> None:
    assert _exit_code(*arguments) == expected


def test_a_new_key_is_valid_in_a_declaration(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    assert _exit_code('key', 'new', 'himal') == ExitCode.DONE
    section = capsys.readouterr().out
    assert section.startswith('; for the client, shown only once: th_')
    declared = tmp_path / 'shop.ini'
    declared.write_text(f'[organisation himal]\nrate = 1\nburst = 1\n{section}')
    assert _exit_code('check', str(declared)) == ExitCode.DONE


def test_a_trace_is_replayed(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    recorded = ROOT / 'tests' / 'traces' / 'planned_switch.jsonl'
    assert _exit_code('trace', 'replay', str(recorded)) == ExitCode.DONE
    assert capsys.readouterr().out == 'no difference\n'
    first = json.decode(recorded.read_text().splitlines()[0])
    first['reason'] = 'primary_seen'
    changed = tmp_path / 'changed.jsonl'
    changed.write_bytes(json.encode(first))
    assert _exit_code('trace', 'replay', str(changed)) == ExitCode.REFUSED


def test_the_daemon_reports_every_error_of_its_settings(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    bad = tmp_path / 'node.ini'
    bad.write_text('[node]\nname = N\nport = x\n[log]\nlevel = loud\n')
    with pytest.raises(cappa.Exit) as caught:
        cappa.invoke(Daemon, argv=['--settings', str(bad)])
    assert caught.value.code == ExitCode.USAGE
    assert len(capsys.readouterr().err.splitlines()) >= 5


NODE_SETTINGS = {
    'node_name': 'edge-1',
    'zone': 'patan',
    'region': 'bagmati',
    'zones': {'patan': 'bagmati'},
    'listen_addrs': {
        'front': '10.0.0.1:1',
        'ready': '10.0.0.1:2',
        'control': '10.0.0.1:3',
    },
    'limits': {'memory_mb': 300, 'max_fds': 4300},
    'bounds': {'grace_period_s': 6},
    'platform': {'address': '10.0.0.9:1'},
    'cloud_api': {'address': '10.0.0.8:1'},
    'a_field_of_tomorrow': True,
}


def test_check_accepts_valid_platform_settings(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    good = tmp_path / 'node.json'
    good.write_bytes(json.encode(NODE_SETTINGS))
    assert _exit_code('check', str(good)) == ExitCode.DONE
    assert 'edge-1 in patan' in capsys.readouterr().out


@pytest.mark.parametrize(
    ('changes', 'text'),
    [
        ({'platform': {}}, 'address'),
        ({'zone': 7}, 'zone'),
        ({'limits': {'max_fds': 'many'}}, 'max_fds'),
    ],
)
def test_check_reports_errors_of_platform_settings(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    changes: dict[str, object],
    text: str,
) -> None:
    bad = tmp_path / 'node.json'
    bad.write_bytes(json.encode({**NODE_SETTINGS, **changes}))
    assert _exit_code('check', str(bad)) == ExitCode.REFUSED
    assert text in capsys.readouterr().err
