"""Session tokens: signed, merged by maximum, and read across a rotation."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.errors import InvalidSessionError
from trefoilhitch.position import at_least, majority_position, merge_positions
from trefoilhitch.session_token import SessionTokenSigner

POSITIONS = st.builds(
    LogPosition,
    term=st.integers(0, 5),
    position=st.integers(0, 50),
)
SEEN = st.dictionaries(st.sampled_from(('a', 'b', 'c')), POSITIONS)


@given(SEEN)
def test_signed_positions_are_verified(seen: dict[str, LogPosition]) -> None:
    signer = SessionTokenSigner.from_secrets('a-secret-of-the-fleet')
    assert signer.verify(signer.sign(seen)) == seen


@given(SEEN, SEEN)
def test_merging_keeps_the_latest(
    first: dict[str, LogPosition],
    second: dict[str, LogPosition],
) -> None:
    merged = merge_positions(first, second)
    assert merged == merge_positions(second, first)
    assert merge_positions(merged, first) == merged
    for service, position in (*first.items(), *second.items()):
        assert at_least(merged[service], position)


@pytest.mark.parametrize('text', ['x', 'x.y', 'e30=.00', 'é', '....'])
def test_malformed_token_is_refused(text: str) -> None:
    with pytest.raises(InvalidSessionError):
        SessionTokenSigner.from_secrets('a-secret-of-the-fleet').verify(text)


def test_modified_token_is_refused() -> None:
    signer = SessionTokenSigner.from_secrets('a-secret-of-the-fleet')
    token = signer.sign({'orders': LogPosition(term=1, position=9)})
    forged = signer.sign({'orders': LogPosition(term=1, position=8)})
    body, _, _ = forged.partition('.')
    _, _, signature = token.partition('.')
    with pytest.raises(InvalidSessionError):
        signer.verify(f'{body}.{signature}')


def test_rotated_secret_still_verifies_old_tokens() -> None:
    old = SessionTokenSigner.from_secrets('the-old-fleet-secret')
    new = SessionTokenSigner.from_secrets(
        'the-new-fleet-secret', 'the-old-fleet-secret'
    )
    seen = {'orders': LogPosition(term=2, position=7)}
    assert new.verify(old.sign(seen)) == seen
    with pytest.raises(InvalidSessionError):
        old.verify(new.sign(seen))


@pytest.mark.parametrize(
    ('members', 'held', 'expected'),
    [
        (3, [5], None),
        (3, [5, 4], 4),
        (3, [5, 4, 5], 5),
        (1, [2], 2),
        (5, [9, 1, 1], 1),
        (4, [9, 8], None),
    ],
)
def test_majority_position(
    members: int,
    held: list[int],
    expected: int | None,
) -> None:
    assert majority_position(members, held) == expected
