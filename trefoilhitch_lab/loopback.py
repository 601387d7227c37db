"""Loopback addresses and ports that no other process of the lab uses."""

from collections.abc import Iterator
from functools import cache
from itertools import count, cycle
from os import getpid
from socket import AF_INET, SOCK_STREAM, socket

ADDRESS_FORMAT = '127.{0}.{1}.1'
# Bound for as long as the process runs, so that no other one takes its address.
CLAIM_PORT = 20000
# Below the kernel's ephemeral ports, so that neither a connection nor a server
# that lets the kernel choose is given one of these.
FIRST_EPHEMERAL_PORT = 32768
PORTS = range(CLAIM_PORT + 1, FIRST_EPHEMERAL_PORT)
_OCTET_SIZE = 256
_claims: list[socket] = []
_ports: Iterator[int] = cycle(PORTS)


@cache
def loopback_address() -> str:
    """Return the loopback address of this process.

    Returns:
        IPv4 address that no other process of the lab uses.

    """
    for number in count(getpid()):
        high, low = divmod(number, _OCTET_SIZE)
        address = ADDRESS_FORMAT.format(high % _OCTET_SIZE, low)
        if _claim(address):
            return address
    raise AssertionError('unreachable')


def next_port() -> int:
    """Return a TCP port of the address that was not returned lately.

    Returns:
        Port number.

    """
    return next(_ports)


def _claim(address: str) -> bool:
    sock = socket(AF_INET, SOCK_STREAM)
    try:
        sock.bind((address, CLAIM_PORT))
    except OSError:
        sock.close()
        return False
    _claims.append(sock)
    return True
