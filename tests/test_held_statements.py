"""Statements that an endpoint holds for a pooled connection stay bounded."""

from hypothesis import given
from hypothesis import strategies as st

from trefoilhitch.pooler.held_statements import (
    MAX_HELD_CHARS,
    MAX_HELD_STATEMENTS,
    HeldStatements,
)
from trefoilhitch.pooler.preparation import Preparation
from trefoilhitch.pooler.response import Refusal, Response
from trefoilhitch.pooler.statement import PreparedStatement

BODY = st.integers(0, 400).map(str) | st.sampled_from(
    ['x' * MAX_HELD_CHARS, 'x' * (MAX_HELD_CHARS // 3), 'y' * 1048576]
)
OK = Response()
BUSY = Response(refusal=Refusal.BUSY, detail='no slot')
UNKNOWN = Response(refusal=Refusal.UNKNOWN_STATEMENT, detail='i-1')


def _prepare(held: HeldStatements, body: str) -> Preparation:
    preparation = Preparation.from_held(held, PreparedStatement('read', body))
    changes = len(preparation.released) + bool(preparation.prepared)
    preparation.apply(held, [OK for _ in range(changes)])
    return preparation


@given(st.lists(BODY, max_size=300))
def test_held_statements_never_exceed_the_limits(bodies: list[str]) -> None:
    endpoint: dict[str, int] = {}
    held = HeldStatements()
    for body in bodies:
        preparation = _prepare(held, body)
        for name in preparation.released:
            endpoint.pop(name)
        name = PreparedStatement('read', body).pooled_name
        endpoint[name] = len(body)
        assert len(endpoint) <= MAX_HELD_STATEMENTS
        assert sum(endpoint.values()) <= MAX_HELD_CHARS
        assert len(held) == len(endpoint)
        assert all(each in held for each in endpoint)


def test_least_recently_used_statement_is_released() -> None:
    held = HeldStatements()
    for number in range(MAX_HELD_STATEMENTS):
        _prepare(held, str(number))
    held.mark_used(PreparedStatement('read', '0').pooled_name)
    released = _prepare(held, 'new').released
    assert released == (PreparedStatement('read', '1').pooled_name,)


def test_statement_whose_release_is_refused_stays_held() -> None:
    held = HeldStatements()
    for number in range(MAX_HELD_STATEMENTS):
        _prepare(held, str(number))
    first = PreparedStatement('read', '0').pooled_name
    prepared = PreparedStatement('read', 'new')
    preparation = Preparation.from_held(held, prepared)
    preparation.apply(held, [BUSY, OK])
    assert first in held
    assert Preparation.from_held(
        held, PreparedStatement('read', 'next')
    ).released == (first, PreparedStatement('read', '1').pooled_name)


def test_statement_that_was_not_prepared_is_not_held() -> None:
    held = HeldStatements()
    prepared = PreparedStatement('read', 'q1')
    preparation = Preparation.from_held(held, prepared)
    preparation.apply(held, [BUSY])
    assert prepared.pooled_name not in held
    assert preparation.explain([BUSY], UNKNOWN).refusal == Refusal.BUSY


def test_malformed_shape_is_reported_instead_of_an_unknown_name() -> None:
    malformed = Response(refusal=Refusal.MALFORMED, detail='no such shape')
    preparation = Preparation.from_held(
        HeldStatements(), PreparedStatement('read', 'q1')
    )
    response = preparation.explain([malformed], UNKNOWN)
    assert response.refusal == Refusal.MALFORMED
    assert response.detail == 'no such shape'


def test_failed_preparation_may_be_tried_again() -> None:
    failed = Response(refusal=Refusal.FAILED)
    preparation = Preparation.from_held(
        HeldStatements(), PreparedStatement('read', 'q1')
    )
    assert preparation.explain([failed], UNKNOWN).refusal == Refusal.BUSY
    assert preparation.explain([failed], OK) == OK


@given(st.lists(st.text(), min_size=2, max_size=2, unique=True))
def test_names_differ_and_hold_no_text_of_a_client(bodies: list[str]) -> None:
    names = {
        PreparedStatement(access, body).pooled_name
        for access in ('read', 'write')
        for body in bodies
    }
    assert len(names) == 4
    assert all(name.isascii() and name.isalnum() for name in names)
