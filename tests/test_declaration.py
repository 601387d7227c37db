"""Tests of declarations: parsing, errors and differences."""

import pytest
from syrupy.assertion import SnapshotAssertion

from trefoilhitch._generated.store import Bundle
from trefoilhitch.declaration import diff_bundles, read_declaration
from trefoilhitch.ini import IniFile
from trefoilhitch.setting_error import SettingErrorGroup

VALID_DECLARATION = """
[service orders]
[endpoint orders-a]
service = orders
region = east
data_centre = dc-a
address = 10.0.0.1:5000
control = 10.0.0.1:5001
slots = 5
[organisation himal]
rate = 100
burst = 20
"""


def _read(text: str) -> Bundle:
    return read_declaration(IniFile.from_text('shop.ini', text))


def test_a_valid_file_is_read() -> None:
    bundle = _read(VALID_DECLARATION)
    assert [service.name for service in bundle.services] == ['orders']
    assert bundle.endpoints[0].slots == 5
    assert bundle.organisations[0].rate == 100


def test_every_error_is_reported(snapshot: SnapshotAssertion) -> None:
    text = (
        VALID_DECLARATION.replace('service = orders', 'service = order')
        .replace('slots = 5', 'slots = none')
        .replace('rate = 100', 'rate = 0')
        + '[tenant x]\n'
    )
    with pytest.raises(SettingErrorGroup) as caught:
        _read(text)
    assert [str(exc) for exc in caught.value.exceptions] == snapshot


def test_a_bundle_above_one_megabyte_is_refused() -> None:
    many = ''.join(
        f'[organisation o{number}]\nrate = 1\nburst = 1\n'
        for number in range(30_000)
    )
    with pytest.raises(SettingErrorGroup) as caught:
        _read(many)
    assert 'at most 1000000 bytes' in str(caught.value.exceptions[0])


def test_differences_list_each_change() -> None:
    before = _read(VALID_DECLARATION)
    after = _read(
        VALID_DECLARATION.replace('rate = 100', 'rate = 50')
        + '[service stock]\n'
    )
    changes = diff_bundles(before, after)
    assert [(each.action, each.kind, each.name) for each in changes] == [
        ('add', 'service', 'stock'),
        ('change', 'organisation', 'himal'),
    ]
    assert not diff_bundles(before, before)
