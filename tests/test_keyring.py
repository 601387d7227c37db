"""Tests of API keys: only hashes are stored, and only valid keys pass."""

import pytest

from trefoilhitch.errors import UnauthorisedError
from trefoilhitch.keyring import KeyRing, create_key

NEW_KEY = create_key(
    'himal', name='k1', secret='s3cret', salt='00112233445566ff'
)


def test_a_valid_key_returns_its_organisation() -> None:
    keyring = KeyRing.from_keys([NEW_KEY.key])
    assert keyring.authenticate(NEW_KEY.text).organisation == 'himal'
    assert 's3cret' not in repr(NEW_KEY.key)


@pytest.mark.parametrize(
    'presented',
    [
        '',
        'th_k1',
        'th_k1_wrong',
        'th_k2_s3cret',
        'xx_k1_s3cret',
        'th_k1_s3cret_',
    ],
)
def test_a_wrong_key_is_refused(presented: str) -> None:
    with pytest.raises(UnauthorisedError):
        KeyRing.from_keys([NEW_KEY.key]).authenticate(presented)


def test_a_withdrawn_key_is_not_in_force() -> None:
    assert KeyRing.from_keys([NEW_KEY.key]).is_in_force('k1', 'himal')
    assert not KeyRing.from_keys([NEW_KEY.key]).is_in_force('k1', 'hanbit')
    assert not KeyRing.from_keys([]).is_in_force('k1', 'himal')
