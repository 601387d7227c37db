"""All errors in a settings file are reported together."""

from collections.abc import Callable

import pytest
from syrupy.assertion import SnapshotAssertion

from trefoilhitch.ini import IniFile
from trefoilhitch.setting_error import SettingErrorGroup
from trefoilhitch.settings import read_settings

GOOD = """
[node]
name = n1
region = east
data_centre = dc-a
address = 127.0.0.1
port = 8001
peer_port = 8101
[platform]
store = 127.0.0.1:7101
vm_list = 127.0.0.1:7102
[fleet]
secret = example-only-change-me
"""


def _setting_errors(text: str) -> list[str]:
    with pytest.raises(SettingErrorGroup) as caught:
        read_settings(IniFile.from_text('node.ini', text))
    return [str(exc) for exc in caught.value.exceptions]


def test_valid_settings_get_defaults() -> None:
    cfg = read_settings(IniFile.from_text('node.ini', GOOD))
    assert cfg.node.port == 8001
    assert cfg.limits.body_bytes == 262144
    assert cfg.log.level == 'info'


def test_all_errors_are_reported(snapshot: SnapshotAssertion) -> None:
    text = (
        GOOD.replace('name = n1', 'name = N 1')
        .replace('port = 8001', 'port = http')
        .replace('secret = example-only-change-me', 'secret = short')
        .replace('vm_list = 127.0.0.1:7102', 'vm_lst = 127.0.0.1:7102')
    )
    errors = _setting_errors(text)
    assert len(errors) == 5
    assert errors == snapshot


@pytest.mark.parametrize(
    'change',
    [
        lambda text: text + '[nodes]\nname = n1\n',
        lambda text: text + '[log]\nlevel = loud\n',
        lambda text: text.replace('port = 8001', 'port = 70000'),
        lambda text: text.replace('[fleet]', '[fleet'),
        lambda text: text + '[fleet]\nsecret = another-secret-here\n',
    ],
)
def test_an_invalid_change_is_an_error(change: Callable[[str], str]) -> None:
    assert len(_setting_errors(change(GOOD))) >= 1
