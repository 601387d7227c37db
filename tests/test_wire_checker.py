"""Each check of the wire checker, on journals of a few lines."""

import pytest

from tests.wire_checker import check_journal
from tests.wire_journal import (
    ClientGot,
    ClientSent,
    EndpointAnswered,
    EndpointReceived,
    Event,
    SessionOpened,
)

IDLE = b'READY I 1.1'
OPEN = b'READY T 1.1'
OWN = (b'COMPLETE -', IDLE)
BEGUN = (b'COMPLETE -', OPEN)
SESSIONS: list[Event] = [
    SessionOpened('a', b'himal'),
    SessionOpened('b', b'himal'),
    SessionOpened('c', b'hanbit'),
]
CONNECTIONS: list[Event] = [
    EndpointReceived('e#1', b'START ledger himal e'),
    EndpointAnswered('e#1', (IDLE,)),
    EndpointReceived('e#2', b'START ledger himal e'),
    EndpointAnswered('e#2', (IDLE,)),
]


def done(request_id: bytes, ready: bytes = IDLE) -> tuple[bytes, ...]:
    """Return the answer to a statement that ran."""
    return b'COMPLETE receipt-' + request_id, ready


def ran(
    connection: str, line: bytes, answer: tuple[bytes, ...] = OWN
) -> list[Event]:
    """Return the events of a line that an endpoint received and answered."""
    return [
        EndpointReceived(connection, line),
        EndpointAnswered(connection, answer),
    ]


def served(
    session: str,
    line: bytes,
    answer: tuple[bytes, ...],
    *at_endpoint: Event,
) -> list[Event]:
    """Return the events of a client's statement and its answer."""
    return [ClientSent(session, line), *at_endpoint, ClientGot(session, answer)]


def found_in(*parts: list[Event]) -> set[tuple[str, str]]:
    """Return the kinds of the rules that a journal breaks."""
    events = [*SESSIONS, *CONNECTIONS]
    for part in parts:
        events.extend(part)
    return {each.kind for each in check_journal(events, all_served=True)}


def forwarded(session: str, connection: str, line: bytes) -> list[Event]:
    """Return the events of a statement that ran as it was sent."""
    request_id = line.split(b' ')[1]
    answer = done(request_id)
    return served(session, line, answer, *ran(connection, line, answer))


def begun(session: str, connection: str, request_id: bytes) -> list[Event]:
    """Return the events of a transaction's begin."""
    line = b'QUERY ' + request_id + b' BEGIN'
    return served(session, line, BEGUN, *ran(connection, line, BEGUN))


def test_faultless_journal_breaks_no_rule() -> None:
    """Guards against checks that what the page allows would break."""
    prepared = b'QUERY - PREPARE p READ  q2c '
    executed = (
        b'QUERY x3 EXECUTE s1 a  ',
        b'QUERY x3 MINLSN 1.1 EXECUTE p a  ',
    )
    rows = (b'DATAROW r ', *done(b'x3'))
    refused = (b'ERROR NOSTMT s2', IDLE)
    assert not found_in(
        forwarded('a', 'e#1', b'QUERY x1 READ a\x85 '),
        served('a', b'QUERY x2 PREPARE s1 READ  q2c ', OWN),
        served(
            'a',
            executed[0],
            rows,
            *ran('e#1', prepared),
            *ran('e#1', executed[1], rows),
        ),
        served('a', b'QUERY x4 EXECUTE s2 a', refused),
        begun('a', 'e#2', b'x5'),
        served(
            'a',
            b'QUERY x6 WRITE a b',
            done(b'x6', OPEN),
            *ran('e#2', b'QUERY x6 WRITE a b', done(b'x6', OPEN)),
        ),
        forwarded('a', 'e#2', b'QUERY x7 COMMIT'),
        forwarded('b', 'e#2', b'QUERY x8 WRITE a b'),
    )


@pytest.mark.parametrize(
    ('sent', 'received'),
    [
        (b'QUERY x1 READ a ', b'QUERY x1 READ a'),
        (b'QUERY x1 WRITE a  b', b'QUERY x1 WRITE a b'),
        (b'QUERY x1 WRITE a b', b'QUERY x1 MINLSN 1.1 WRITE a b'),
        (b'QUERY x1 EXECUTE s1 a ', b'QUERY x1 EXECUTE p a'),
        (b'QUERY x1 EXECUTE s1 a', b'QUERY x1 EXECUTE p q a'),
        (b'QUERY x1 READ a', b'QUERY x2 READ a'),
        (b'QUERY x1 READ a', b'QUERY - READ a'),
    ],
)
def test_statement_that_nobody_sent_is_found(
    sent: bytes, received: bytes
) -> None:
    """Guards against changed texts and unknown ids that pass."""
    found = found_in(served('a', sent, done(b'x1'), *ran('e#1', received)))
    assert 'UNASKED' in {rule for rule, _ in found}


def test_statement_of_another_organisation_is_found() -> None:
    """Guards against a connection that another organisation shares."""
    assert ('UNASKED', 'for another organisation') in found_in(
        forwarded('c', 'e#1', b'QUERY x1 READ a')
    )


@pytest.mark.parametrize(
    'own', [b'SET app a', b'SET app  red', b'SET other red', b'RESET']
)
def test_other_values_are_found(own: bytes) -> None:
    """Guards against values that differ by one blank, or are left out."""
    assert ('PINNED', 'values') in found_in(
        served('a', b'QUERY x1 SET app red', OWN),
        ran('e#1', b'QUERY - ' + own),
        forwarded('a', 'e#1', b'QUERY x2 READ a'),
    )


@pytest.mark.parametrize(
    'own', [b'PREPARE p READ q', b'PREPARE p WRITE q ', b'PREPARE r WRITE q']
)
def test_other_shape_is_found(own: bytes) -> None:
    """Guards against a name that runs another access, shape or nothing."""
    executed = ran('e#1', b'QUERY x2 EXECUTE p a b', done(b'x2'))
    assert ('PINNED', 'ran a shape') in found_in(
        served('a', b'QUERY x1 PREPARE s1 WRITE q', OWN),
        ran('e#1', b'QUERY - ' + own),
        served('a', b'QUERY x2 EXECUTE s1 a b', done(b'x2'), *executed),
    )


def test_statement_inside_another_transaction_is_found() -> None:
    """Guards against a connection that is handed over too early."""
    assert ('PINNED', 'in transaction a/1') in found_in(
        begun('a', 'e#1', b'x1'), forwarded('b', 'e#1', b'QUERY x2 READ a')
    )


def test_transaction_on_two_connections_is_found() -> None:
    """Guards against a statement outside its own transaction."""
    assert ('PINNED', 'several connections') in found_in(
        begun('a', 'e#1', b'x1'),
        forwarded('a', 'e#2', b'QUERY x2 WRITE a b'),
    )


def test_transaction_that_is_begun_twice_is_found() -> None:
    """Guards against a transaction that stays open on a connection."""
    begin = b'QUERY x1 BEGIN'
    assert ('PINNED', 'begun on several connections') in found_in(
        served(
            'a',
            begin,
            BEGUN,
            *ran('e#1', begin, BEGUN),
            *ran('e#2', begin, BEGUN),
        )
    )


@pytest.mark.parametrize('first_answer', [done(b'x1'), ()])
def test_repeated_write_is_found(first_answer: tuple[bytes, ...]) -> None:
    """Guards against a write that is sent again after it may have run."""
    line = b'QUERY x1 WRITE a b'
    first: list[Event] = [EndpointReceived('e#1', line)]
    if first_answer:
        first.append(EndpointAnswered('e#1', first_answer))
    second = ran('e#2', line, done(b'x1'))
    assert ('TWICE', 'took effect twice') in found_in(
        served('a', line, done(b'x1'), *first, *second)
    )


@pytest.mark.parametrize('code', [b'BUSY', b'ABORTED', b'READONLY'])
@pytest.mark.parametrize('is_answered', [True, False])
def test_write_that_is_kept_after_a_promise_is_found(
    code: bytes, *, is_answered: bool
) -> None:
    """Guards against a promise about a write that may have run."""
    line = b'QUERY x1 WRITE a b'
    at_endpoint = ran('e#1', line, done(b'x1'))[: 1 + is_answered]
    answer = (b'ERROR ' + code + b' e', IDLE)
    assert ('REFUSED', 'kept after a promise') in found_in(
        served('a', line, answer, *at_endpoint)
    )


def test_commit_after_a_promise_is_found() -> None:
    """Guards against a refused transaction whose writes are committed."""
    written = b'QUERY x2 WRITE a b'
    committed = b'QUERY x3 COMMIT'
    refused = (b'ERROR ABORTED e', IDLE)
    assert ('REFUSED', 'kept after a promise') in found_in(
        begun('a', 'e#1', b'x1'),
        served(
            'a',
            written,
            done(b'x2', OPEN),
            *ran('e#1', written, done(b'x2', OPEN)),
        ),
        served('a', committed, refused, *ran('e#1', committed, done(b'x2'))),
    )


@pytest.mark.parametrize(
    'answer',
    [done(b'x2'), (b'DATAROW other', *done(b'x1')), (b'COMPLETE -', IDLE)],
)
def test_success_that_no_endpoint_answered_is_found(
    answer: tuple[bytes, ...],
) -> None:
    """Guards against receipts and rows that are not the endpoint's."""
    line = b'QUERY x1 READ a'
    from_endpoint = (b'DATAROW red', *done(b'x1'))
    assert ('MIXED', 'not what an endpoint answered') in found_in(
        served('a', line, answer, *ran('e#1', line, from_endpoint))
    )


def test_line_over_the_limit_is_found() -> None:
    """Guards against a line that is too long only with its line end."""
    size = 1048576 - 1
    line = b'QUERY - SET a '.ljust(size, b'a')
    assert {rule for rule, _ in found_in(ran('e#1', line))} == {'SIZE'}
    assert not found_in(ran('e#1', line[:-1]))


def test_names_and_bytes_over_the_bounds_are_found() -> None:
    """Guards against names that fill an endpoint's memory."""
    names = [
        ran('e#1', b'QUERY - PREPARE p%d READ q' % number)
        for number in range(129)
    ]
    assert {rule for rule, _ in found_in(*names)} == {'HELD'}
    assert not found_in(*names[1:])
    long = [
        ran('e#1', b'QUERY - PREPARE p%d READ ' % number + b'q' * 1048500)
        for number in range(5)
    ]
    assert {rule for rule, _ in found_in(*long)} == {'HELD'}
    assert not found_in(*long[1:])


@pytest.mark.parametrize(
    ('line', 'code'),
    [
        (b'QUERY x1 READ a', b'BUSY'),
        (b'QUERY x1 WRITE \x85 \x1c', b'MALFORMED'),
        (b'QUERY x1 SET \xa0 ', b'MALFORMED'),
        (b'QUERY x1 WRITE a ' + b'a' * 1048557, b'MALFORMED'),
        (b'QUERY x1 BEGIN', b'ABORTED'),
    ],
)
def test_refusal_without_a_reason_is_found(line: bytes, code: bytes) -> None:
    """Guards against texts that are refused on every try."""
    refused = (b'ERROR ' + code + b' e', b'READY E -')
    assert 'SERVED' in {
        rule for rule, _ in found_in(served('a', line, refused))
    }


def test_name_that_is_unknown_in_spite_of_its_acknowledgement_is_found() -> (
    None
):
    """Guards against a name that one connection knows and another does not."""
    refused = (b'ERROR NOSTMT s1', IDLE)
    assert ('PINNED', 'unknown though acknowledged') in found_in(
        served('a', b'QUERY x1 PREPARE s1 READ q', OWN),
        served('a', b'QUERY x2 EXECUTE s1 a', refused),
    )
