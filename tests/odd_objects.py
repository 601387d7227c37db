"""Objects of the store that another writer could leave."""

from msgspec import Raw

from trefoilhitch.platform.object_store import (
    CONFIG_KIND,
    ENDPOINT_KIND,
    GROUP_KIND,
    LEASE_KIND,
    NODE_KIND,
)

# Beyond what a recursive JSON decoder accepts.
LEVELS = 3000
DEEP = Raw(b'[' * LEVELS + b']' * LEVELS)
DIGITS = 5000
HUGE_NUMBER = Raw(b'9' * DIGITS)
KINDS = (CONFIG_KIND, ENDPOINT_KIND, NODE_KIND, LEASE_KIND, GROUP_KIND)
# Whole contents of an object, and fields that replace those of an entry of an
# endpoint.
SPECS = {
    'deep': DEEP,
    'deep-field': {'service': 'ledger', 'x': DEEP},
    'surrogate': {'service': Raw(r'"\ud800"'.encode())},
    'not-utf-8': {'service': Raw(b'"\xff\xfe"')},
    'huge-number': {'service': 'ledger', 'born': HUGE_NUMBER},
    'infinite-number': {'service': 'ledger', 'capacity': Raw(b'1e999')},
    'not-a-number': {'service': 'ledger', 'capacity': Raw(b'NaN')},
    'control-character': {'service': Raw(b'"\x01"')},
    'text': 'ledger',
    'null': None,
}
FIELDS = {
    'deep-unknown': {'note': DEEP},
    'port-superscript': {'address': '127.0.0.1:8\u00b240'},
    'port-of-5000-digits': {'address': f'127.0.0.1:{"9" * DIGITS}'},
    'port-0': {'address': '127.0.0.1:0'},
    'port-99999': {'address': '127.0.0.1:99999'},
    'port-negative': {'address': '127.0.0.1:-1'},
    'host-with-nul': {'address': 'a\x00b:80'},
    'host-name': {'address': 'endpoint.invalid:80'},
    'capacity-of-5000-digits': {'capacity': HUGE_NUMBER},
    'capacity-negative': {'capacity': -5},
    'born-far-ahead': {'born': 10**300},
    'born-negative': {'born': -1},
    'service-with-line-end': {'service': 'ledger\r\nQUERY x WRITE a b'},
    'service-not-latin-1': {'service': '\u0950'},
    'state-unknown': {'state': 'asleep'},
    'role-unknown': {'db_role': 'arbiter'},
}
