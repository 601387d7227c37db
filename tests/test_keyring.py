"""Keys: only their hashes are kept, and only the right text passes."""

import pytest

from trefoilhitch.errors import UnauthorisedError
from trefoilhitch.keyring import KeyRing, create_key

MADE = create_key('himal', name='k1', secret='s3cret', salt='00112233445566ff')


def test_the_right_key_names_its_organisation() -> None:
    ring = KeyRing.from_keys([MADE.key])
    assert ring.authenticate(MADE.text).organisation == 'himal'
    assert 's3cret' not in repr(MADE.key)


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
        KeyRing.from_keys([MADE.key]).authenticate(presented)


def test_a_withdrawn_key_is_not_held() -> None:
    assert KeyRing.from_keys([MADE.key]).is_in_force('k1', 'himal')
    assert not KeyRing.from_keys([MADE.key]).is_in_force('k1', 'hanbit')
    assert not KeyRing.from_keys([]).is_in_force('k1', 'himal')
