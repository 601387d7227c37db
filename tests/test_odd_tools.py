"""Odd settings, declarations, logs and traces are typed failures of tools."""

from pathlib import Path

import cappa
import pytest

from trefoilhitch.cli import Tool, load_declaration
from trefoilhitch.daemon import load_settings
from trefoilhitch.declaration import read_declaration
from trefoilhitch.exit_code import ExitCode
from trefoilhitch.ini import IniFile
from trefoilhitch.logged_event import LoggedEvent
from trefoilhitch.setting_error import SettingErrorGroup
from trefoilhitch.settings import read_settings
from trefoilhitch.trace import TraceError, first_difference

# Beyond what a recursive JSON decoder accepts.
DEEP = '[' * 3000 + ']' * 3000
DIGITS = '9' * 5000
TIME = '2026-12-05T00:00:00'
OWN = (
    f'{{"time":"{TIME}","node":"n1","event":"statement",'
    '"record":{"request":"r","endpoint":"e"}}'
)
LINES = {
    'deep': DEEP,
    'deep-record': (
        f'{{"time":"{TIME}","node":"n","event":"e","record":{DEEP}}}'
    ),
    'deep-field': (
        f'{{"time":"{TIME}","node":"n","event":"e","record":{{"x":{DEEP}}}}}'
    ),
    'deep-unknown-field': (
        f'{{"time":"{TIME}","node":"n","event":"e","x":{DEEP}}}'
    ),
    'surrogate': '{"time":"\udc80"}',
    'year-1': '{"time":"0001-01-01T00:00:00","node":"n","event":"e",'
    '"record":{"request":"r"}}',
    'time-zone': f'{{"time":"{TIME}+00:00","node":"n","event":"e"}}',
    'list-for-name': (
        f'{{"time":"{TIME}","node":"n","event":"e",'
        '"record":{"endpoint":["e"],"service":["s"],"request":[]}}'
    ),
    'list-for-service': (
        f'{{"time":"{TIME}","node":"n","event":"e",'
        '"record":{"endpoint":"e","service":["s"]}}'
    ),
    'huge-number': (
        f'{{"time":"{TIME}","node":"n","event":"e","record":{{"x":{DIGITS}}}}}'
    ),
}


@pytest.mark.parametrize('line', LINES)
def test_odd_line_of_a_log_hides_no_other(
    line: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = tmp_path / 'nodes.log'
    text = f'{LINES[line]}\n{OWN}\n'
    log.write_bytes(text.encode(errors='surrogatepass'))
    cappa.invoke(Tool, argv=['explain', 'r', str(log)])
    assert f'* {TIME} n1 statement' in capsys.readouterr().out


def test_line_that_is_too_deep_is_not_an_event() -> None:
    assert LoggedEvent.from_line(LINES['deep-field']) is None


@pytest.mark.parametrize(
    'line',
    [
        DEEP,
        f'{{"kind":"route","x":{DEEP}}}',
        '{"record":5}',
        '{"record":["route"]}',
        f'{{"kind":"route","term":{DIGITS}}}',
        '{"kind":"route"}',
        '"\udc80"',
    ],
)
def test_odd_line_of_a_trace_is_a_trace_error(line: str) -> None:
    with pytest.raises(TraceError):
        first_difference([line])


ORGANISATION = '[organisation a]\nrate = {rate}\nburst = {burst}\n'


@pytest.mark.parametrize(
    ('rate', 'burst'),
    [
        ('nan', '1'),
        ('inf', '1'),
        ('1e999', '1'),
        (DIGITS, '1'),
        ('1', DIGITS),
        ('1', '\xb2'),
        ('-inf', '1'),
    ],
)
def test_odd_number_in_a_declaration_is_a_setting_error(
    rate: str, burst: str
) -> None:
    text = ORGANISATION.format(rate=rate, burst=burst)
    with pytest.raises(SettingErrorGroup):
        read_declaration(IniFile.from_text('a.ini', text))


@pytest.mark.parametrize(
    'text',
    ['\x00', '[', '[a', 'a=1', '[a]\na', '[a]\n b\n c', '[node]\n=1', '[]'],
)
def test_odd_text_of_settings_is_a_setting_error(text: str) -> None:
    with pytest.raises(SettingErrorGroup):
        read_settings(IniFile.from_text('a.ini', text))


@pytest.mark.parametrize('load', [load_settings, load_declaration])
def test_settings_that_are_not_text_are_a_usage_error(
    load: object, tmp_path: Path
) -> None:
    path = tmp_path / 'a.ini'
    path.write_bytes(b'[node]\nname = \xff\xfe\n')
    with pytest.raises(cappa.Exit) as caught:
        assert callable(load)
        load(path)
    assert caught.value.code == ExitCode.USAGE


def test_trace_that_is_not_text_is_a_refusal(tmp_path: Path) -> None:
    path = tmp_path / 'a.trace'
    path.write_bytes(b'"\xff"\n')
    with pytest.raises(cappa.Exit) as caught:
        cappa.invoke(Tool, argv=['trace', 'replay', str(path)])
    assert caught.value.code == ExitCode.REFUSED
