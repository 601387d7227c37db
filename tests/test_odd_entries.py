"""Entries of endpoints that another writer left in the store."""

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import Raw
from msgspec.json import decode, encode

from trefoilhitch._generated.peer import EntriesReply
from trefoilhitch.platform.endpoint_codec import encode_start
from trefoilhitch.platform.endpoint_entry import (
    UnreadableEntryError,
    decode_entry,
)
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.entry_log import EntryLog, read_changes
from trefoilhitch.pooler.object_watcher import Changes

NAME = 'i-7f3a91c2'
ENTRY = {
    'service': 'ledger',
    'address': '10.128.0.9:8080',
    'zone': 'patan',
    'config_version': 'v1',
    'capacity': 5,
    'state': 'ready',
    'cold_remaining_ms': 0,
    'db_role': 'replica',
    'sequence': 4,
    'born': 1796450000000,
}
USED_FIELDS = ('service', 'address', 'zone', 'state', 'db_role', 'capacity')
DAY_MS = 86_400_000
AFTER_LAST_DATE_MS = 253402300800000
MAX_INT64 = 2**63 - 1
LEVELS = 3000
DEEP = Raw(b'[' * LEVELS + b']' * LEVELS)
# One half of a surrogate pair.
HALF_PAIR = Raw(r'"\ud800"'.encode())
# Names that no message of the wire protocol can carry as one word.
NOT_WORDS = (
    '',
    ' ',
    'a b',
    'a\tb',
    'ledger\n',
    'a\r\nQUERY x WRITE a b',
    'a\x00b',
    'a\x7f',
    'a\u0085',
    'a\u00a0',
    '\u2028',
    '\u3000',
    'a' * 256,
)
WORDS = (
    'a',
    'i-7f3a91c2',
    'a.b:c/d%20?e#f',
    'na\u00efve',
    '\u0950',
    '\ud55c\ube5b',
    '\U0001f600',
    'a' * 255,
)

ODD_ADDRESSES = (
    '',
    ':',
    ':8080',
    '10.0.0.1',
    '10.0.0.1:',
    '10.0.0.1:0',
    '10.0.0.1:65536',
    '10.0.0.1:99999',
    '10.0.0.1:-1',
    '10.0.0.1:+80',
    '10.0.0.1: 80',
    '10.0.0.1:80 ',
    '10.0.0.1:8_0',
    '10.0.0.1:8\u00b240',
    '10.0.0.1:\u0668\u0660',
    '10.0.0.1:1e3',
    '10.0.0.1:' + '9' * 5000,
    '10.0.0.1:80\r\n',
    ' 10.0.0.1:80',
    '10.0.0.1\x00:80',
    'a\x00b:80',
    'endpoint.invalid:80',
    'localhost:80',
    'a' * 300 + ':80',
    '.'.join('a' * 64 for _ in range(4)) + ':80',
    '10.0.0:80',
    '10.0.0.256:80',
    '010.0.0.1:80',
    '1\u00b2.0.0.1:80',
    '10.0.0.1/8:80',
    '167772161:80',
    '0x0a000001:80',
    '0.0.0.0:80',
    '224.0.0.1:80',
    '239.255.255.250:80',
    '255.255.255.255:80',
    '[::1]:80',
    '::1:80',
    '::ffff:10.0.0.1:80',
    'http://10.0.0.1:80',
)
ODD_FIELDS = (
    *(('address', each) for each in ODD_ADDRESSES),
    *(('service', each) for each in NOT_WORDS),
    ('capacity', 0),
    ('capacity', -5),
    ('capacity', MAX_INT64 + 1),
    ('capacity', 10**400),
    ('capacity', Raw(b'9' * 5000)),
    ('capacity', Raw(b'1e999')),
    ('capacity', 2.5),
    ('capacity', '5'),
    ('capacity', True),
    ('born', -1),
    ('born', AFTER_LAST_DATE_MS),
    ('born', 10**15),
    ('born', 10**18),
    ('born', 2**53),
    ('born', 2**70),
    ('born', 10**300),
    ('born', Raw(b'9' * 5000)),
    ('born', Raw(b'1e12')),
    ('born', 'today'),
    ('born', None),
    ('zone', ''),
    ('zone', 'a' * 256),
    ('zone', HALF_PAIR),
    ('note', HALF_PAIR),
    ('state', 'asleep'),
    ('state', 'READY'),
    ('db_role', 'arbiter'),
    ('note', DEEP),
    *((field, DEEP) for field in ENTRY),
    *((field, None) for field in USED_FIELDS),
    *((field, [1]) for field in USED_FIELDS),
)
REAL_FIELDS = (
    ('state', 'draining'),
    ('db_role', 'primary'),
    ('capacity', 1),
    ('capacity', 2**31),
    ('capacity', 2**62),
    ('capacity', MAX_INT64),
    ('born', 0),
    ('born', ENTRY['born'] + DAY_MS),
    ('born', ENTRY['born'] + 365 * DAY_MS),
    ('born', AFTER_LAST_DATE_MS - 1),
    ('address', '10.0.0.1:1'),
    ('address', '10.0.0.1:65535'),
    ('address', '127.0.0.1:80'),
    ('address', '169.254.0.1:80'),
    ('service', 'na\u00efve'),
    ('zone', 'R\u00e9gion \u0950'),
    ('config_version', None),
    ('sequence', -1),
    ('note', {'new': ['field', 2**70]}),
    # The decoder does not read the texts of unknown fields.
    ('note', Raw(b'"\xff"')),
)
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)
ADDRESSES = st.sampled_from(ODD_ADDRESSES) | st.from_regex(
    r'[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,6}', fullmatch=True
)
NAMES = st.sampled_from(NOT_WORDS + WORDS) | st.text()


def encode_entry(**changes: Any) -> Raw:
    """Return an endpoint's entry with other fields."""
    return Raw(encode({**ENTRY, **changes}))


def check_record(record: EndpointRecord) -> None:
    """Check each field, and that other nodes read the same record."""
    for name in (record.endpoint, record.service):
        line = encode_start(name, 'tenant', name).decode()
        assert line == f'START {name} tenant {name}\r\n'
        assert line.split() == ['START', name, 'tenant', name]
    host, _, port = record.address.rpartition(':')
    assert [str(int(part)) for part in host.split('.')] == host.split('.')
    assert 0 < int(port) <= 65535
    assert record.data_centre
    assert 0 < record.slots <= MAX_INT64
    assert 0 <= record.started_at_ms < AFTER_LAST_DATE_MS
    entries = EntryLog()
    entries.apply(Changes({record.endpoint: record}, (), 7))
    message = encode(entries.changes_since(0, 0))
    received = read_changes(decode(message, type=EntriesReply))
    assert received.present == {record.endpoint: record}


# Decoding


def test_entry_of_a_real_endpoint_is_refused() -> None:
    assert decode_entry(NAME, encode_entry()) == EndpointRecord(
        endpoint=NAME,
        service='ledger',
        address='10.128.0.9:8080',
        data_centre='patan',
        started_at_ms=1796450000000,
        leaving=False,
        role='replica',
        slots=5,
    )


@pytest.mark.parametrize(('field', 'sent'), REAL_FIELDS)
def test_field_of_a_real_endpoint_is_refused(field: str, sent: Any) -> None:
    check_record(decode_entry(NAME, encode_entry(**{field: sent})))


# The example of an entry on the platform's page has no `born`.
def test_entry_without_time_of_start_is_refused() -> None:
    spec = {name: ENTRY[name] for name in ENTRY if name != 'born'}
    check_record(decode_entry(NAME, Raw(encode(spec))))


@pytest.mark.parametrize(('field', 'sent'), ODD_FIELDS)
def test_odd_field_names_an_endpoint(field: str, sent: Any) -> None:
    with pytest.raises(UnreadableEntryError):
        decode_entry(NAME, encode_entry(**{field: sent}))


@pytest.mark.parametrize('field', USED_FIELDS)
def test_entry_with_a_missing_field_names_an_endpoint(field: str) -> None:
    spec = {name: ENTRY[name] for name in ENTRY if name != field}
    with pytest.raises(UnreadableEntryError):
        decode_entry(NAME, Raw(encode(spec)))


@pytest.mark.parametrize('name', NOT_WORDS)
def test_name_of_several_words_names_an_endpoint(name: str) -> None:
    with pytest.raises(UnreadableEntryError):
        decode_entry(name, encode_entry())


@pytest.mark.parametrize('name', WORDS)
def test_name_of_one_word_names_no_endpoint(name: str) -> None:
    check_record(decode_entry(name, encode_entry()))


@pytest.mark.parametrize('spec', [b'null', b'[]', b'"x"', b'5', b'{}', b'{'])
def test_entry_that_is_no_object_names_an_endpoint(spec: bytes) -> None:
    with pytest.raises(UnreadableEntryError):
        decode_entry(NAME, Raw(spec))


# Any other exception would end the node.
@given(
    st.sampled_from(tuple(ENTRY)),
    JSON_VALUES | ADDRESSES | NAMES,
    NAMES,
)
def test_any_content_ends_the_reader_or_leaves_its_bounds(
    field: str, sent: Any, name: str
) -> None:
    try:
        record = decode_entry(name, encode_entry(**{field: sent}))
    except UnreadableEntryError:
        return
    check_record(record)


@given(st.binary())
def test_any_bytes_end_the_reader(spec: bytes) -> None:
    with pytest.raises(UnreadableEntryError):
        decode_entry(NAME, Raw(spec))
