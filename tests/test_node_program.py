"""The program of a node on the users' platform, as a process."""

import json
import os
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus
from pathlib import Path
from socket import AF_INET, SO_REUSEADDR, SOCK_STREAM, SOL_SOCKET, socket
from time import monotonic, sleep
from typing import Any

import pytest
from httptools import HttpResponseParser

from trefoilhitch.http_message import HttpRequest, encode_request
from trefoilhitch_lab.loopback import loopback_address, next_port

ROOT = Path(__file__).resolve().parent.parent
END_TIMEOUT_S = 30
POLL_INTERVAL_S = 0.05
RECEIVE_BYTES = 65536
# Larger than the general limit of HTTP bodies.
LARGE_BODY = b'{"text":"' + b'x' * 700_000 + b'"}'


@pytest.fixture
def addresses() -> dict[str, str]:
    """Return free addresses by name in the settings file."""
    host = loopback_address()
    names = ('front', 'ready', 'control')
    return {name: f'{host}:{next_port()}' for name in names}


def write_settings(path: Path, addresses: dict[str, str]) -> None:
    """Write the settings of a node whose platform does not answer."""
    platform = f'{loopback_address()}:{next_port()}'
    settings = {
        'node_name': 'edge-patan-1',
        'zone': 'patan',
        'region': 'bagmati',
        'zones': {'patan': 'bagmati'},
        'listen_addrs': addresses,
        'limits': {'max_fds': 1000},
        'bounds': {
            'grace_period_s': 1,
            'drain_timeout_ms': 500,
            'quota_window_s': 5,
            'quota_overage': 0.1,
            'quota_slack': 20,
        },
        'platform': {'address': platform},
        'cloud_api': {'address': platform},
    }
    path.write_text(json.dumps(settings))


@contextmanager
def running_program(
    path: Path, addresses: dict[str, str]
) -> Iterator[subprocess.Popen[str]]:
    """Run the program, and kill it at the end of the block."""
    write_settings(path, addresses)
    process = subprocess.Popen(
        [sys.executable, str(ROOT / 'trefoilhitch_node.py'), 'edge'],
        cwd=ROOT,
        env={**os.environ, 'TREFOILHITCH_CONFIG': str(path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    with process:
        try:
            yield process
        finally:
            process.kill()


@contextmanager
def taken_address(address: str) -> Iterator[None]:
    """Listen on an address."""
    host, _, port = address.rpartition(':')
    with socket(AF_INET, SOCK_STREAM) as sock:
        sock.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        sock.bind((host, int(port)))
        sock.listen()
        yield


def connect(address: str) -> socket:
    """Connect to an address as soon as it is listened on."""
    host, _, port = address.rpartition(':')
    ends_at = monotonic() + END_TIMEOUT_S
    while True:
        sock = socket(AF_INET, SOCK_STREAM)
        if not sock.connect_ex((host, int(port))):
            return sock
        sock.close()
        if monotonic() > ends_at:
            raise TimeoutError(address)
        sleep(POLL_INTERVAL_S)


def request_status(address: str, req: HttpRequest) -> int:
    """Send a request; return the status of the response."""
    parser = HttpResponseParser(object())
    with connect(address) as sock:
        sock.settimeout(END_TIMEOUT_S)
        sock.sendall(encode_request(req, address))
        parser.feed_data(sock.recv(RECEIVE_BYTES))
    return parser.get_status_code()


def failure(lines: str) -> dict[str, Any]:
    """Return the fields of the only log line of a failure to listen."""
    entries = [json.loads(line) for line in lines.splitlines()]
    failures = [each for each in entries if each['event'] == 'listen_failed']
    assert len(failures) == 1
    return failures[0]['record']


@pytest.mark.parametrize('name', ['front', 'ready', 'control'])
def test_taken_address_ends_the_node_without_a_record(
    name: str, addresses: dict[str, str], tmp_path: Path
) -> None:
    with taken_address(addresses[name]):
        with running_program(tmp_path / 'node.json', addresses) as process:
            lines, errors = process.communicate(timeout=END_TIMEOUT_S)
    assert process.returncode == 1
    assert not errors
    record = failure(lines)
    assert record['address'] == addresses[name]
    assert 'in use' in record['detail']


@pytest.mark.parametrize('name', ['front', 'ready', 'control'])
@pytest.mark.parametrize('address', ['127.0.0.1', 'a\x00b:80', ':80'])
def test_invalid_address_ends_the_node_without_a_record(
    name: str, address: str, addresses: dict[str, str], tmp_path: Path
) -> None:
    odd = {**addresses, name: address}
    with running_program(tmp_path / 'node.json', odd) as process:
        lines, errors = process.communicate(timeout=END_TIMEOUT_S)
    assert process.returncode == 1
    assert not errors
    record = failure(lines)
    assert record['address'] == address


def test_large_message_of_another_node_is_refused_for_its_size(
    addresses: dict[str, str], tmp_path: Path
) -> None:
    # Guards against the limit of other HTTP servers; the fields that are
    # missing in this message are a reason of their own.
    req = HttpRequest('POST', '/v1/pooler/run', body=LARGE_BODY)
    with running_program(tmp_path / 'node.json', addresses):
        status = request_status(addresses['control'], req)
    assert status == HTTPStatus.BAD_REQUEST
