"""Addresses and ports of the lab are bound, not probed and bound later."""

from socket import AF_INET, SOCK_STREAM, socket

import pytest

from trefoilhitch_lab.loopback import (
    CLAIM_PORT,
    FIRST_EPHEMERAL_PORT,
    loopback_address,
    next_port,
)

PORTS_OF_A_STACK = 30


def test_address_is_claimed_while_the_process_runs() -> None:
    """Guards against two runs of the tests at one address."""
    with socket(AF_INET, SOCK_STREAM) as other, pytest.raises(OSError):
        other.bind((loopback_address(), CLAIM_PORT))


def test_ports_are_neither_repeated_nor_given_to_others() -> None:
    """Guards against a port that another server takes before it is bound."""
    ports = [next_port() for _ in range(PORTS_OF_A_STACK)]
    assert len(set(ports)) == PORTS_OF_A_STACK
    assert all(CLAIM_PORT < port < FIRST_EPHEMERAL_PORT for port in ports)
