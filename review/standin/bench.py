"""Starts the project's nodes as processes, with stand-ins around them."""

import asyncio
import json
import os
import shutil
import socket
import tempfile
import time
from pathlib import Path
from typing import Any

from standin.group import Group, Server
from standin.store import PromotionCall, Store, serve_http

ROOT = Path(__file__).resolve().parents[2]
HOST = '127.0.0.1'
SERVICE = 'ledger'
ZONES = ('patan', 'lakeside', 'biratnagar')
CONFIG_APPLY_S = 4.0
READY_TIMEOUT_S = 20.0


class CouldNotRunError(Exception):
    """The case could not be set up."""


def free_port() -> int:
    """Return a free port of the loopback interface."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def desired_state(version: int, **changes: Any) -> dict[str, Any]:
    """Return a desired state with three routes, one service and two tenants.

    Args:
        version: its version.
        changes: top-level fields to replace.

    """
    routes = [
        {
            'name': f'r-{host}',
            'host': host,
            'type': kind,
            'timeout_ms': 1000,
            'target_latency_ms': 800,
            'service': SERVICE,
            'priority': 1,
            'max_staleness_ms': 1500,
        }
        for host, kind in (
            ('orders', 'primary'),
            ('stock', 'bounded_staleness'),
            ('visits', 'read_your_writes'),
        )
    ]
    tenants = [
        {'name': name, 'api_keys': [f'key-{name}'], 'rate_per_s': 500}
        for name in ('himal', 'lakhe')
    ]
    return {
        'config_version': version,
        'routes': routes,
        'services': [
            {'name': SERVICE, 'max_connections': 33, 'sync_replicas': 1}
        ],
        'limits': {'header_timeout_ms': 3000, 'tx_idle_ms': 3000},
        'tenants': tenants,
        **changes,
    }


class Bench:
    """Nodes as processes, three servers, the store and the promotion call.

    Args:
        folder: folder of the case, where the record is written.

    """

    def __init__(self, folder: Path) -> None:
        """Start without processes."""
        self.store = Store()
        self.group = Group(SERVICE, self.store, self.record)
        self.nodes: dict[str, asyncio.subprocess.Process] = {}
        self.settings: dict[str, dict[str, Any]] = {}
        self._began = time.monotonic()
        self._record_file = (folder / 'record.txt').open('w')
        self._temporary = Path(tempfile.mkdtemp(prefix='review-'))
        self._tasks: list[asyncio.Task[None]] = []

    def record(self, line: str) -> None:
        """Write a line to the record.

        Args:
            line: what happened.

        """
        if self._record_file.closed:
            return
        passed = time.monotonic() - self._began
        self._record_file.write(f'{passed:8.3f} {line}\n')
        self._record_file.flush()

    async def start(self, *, nodes: int) -> None:
        """Start the stand-ins and the nodes, and wait until they are ready.

        Args:
            nodes: number of nodes.

        """
        for number, zone in enumerate(ZONES):
            server = Server(
                f'i-{number}',
                zone,
                f'{HOST}:{free_port()}',
                time.time_ns() // 1_000_000,
            )
            server.is_primary = number == 0
            await self.group.add(server)
        store_port, call_port = free_port(), free_port()
        await serve_http(self.store.handle, HOST, store_port)
        call = PromotionCall(self.group.promote, self.record)
        await serve_http(call.handle, HOST, call_port)
        self._tasks.append(asyncio.create_task(self.group.run()))
        self.store.put('config', 'main', desired_state(1))
        controls = [free_port() for _ in range(nodes)]
        for number in range(nodes):
            name = f'edge-{number}'
            self.settings[name] = _settings(
                name,
                ZONES[number % len(ZONES)],
                controls,
                controls[number],
                (store_port, call_port),
            )
            await self.start_node(name)
        await self.wait_ready()

    async def start_node(self, name: str) -> None:
        """Start a node with the command of the deploy file.

        Args:
            name: name of the node.

        """
        path = self._temporary / f'{name}.json'
        path.write_text(json.dumps(self.settings[name]))
        kept = ('PATH', 'HOME', 'LANG')
        env = {each: os.environ[each] for each in kept if each in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['TREFOILHITCH_CONFIG'] = str(path)
        log = (self._temporary / f'{name}.log').open('ab')
        self.nodes[name] = await asyncio.create_subprocess_exec(
            'python3',
            'trefoilhitch_node.py',
            'edge',
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record(f'node {name} starts')

    async def kill_node(self, name: str) -> None:
        """Kill a node.

        Args:
            name: name of the node.

        """
        self.nodes[name].kill()
        await self.nodes[name].wait()
        self.record(f'node {name} was killed')

    def front(self, name: str) -> str:
        """Return the address for clients of a node."""
        return str(self.settings[name]['listen_addrs']['front'])

    def node_log(self, name: str, *events: str) -> list[str]:
        """Return lines of a node's log.

        Args:
            name: name of the node.
            events: events that the lines report.

        """
        lines = (self._temporary / f'{name}.log').read_text().splitlines()
        marks = [f'"event":"{event}"' for event in events]
        return [line for line in lines if any(mark in line for mark in marks)]

    async def wait_ready(self) -> None:
        """Wait until all nodes say that they are ready.

        Raises:
            CouldNotRunError: one did not in time.

        """
        ends_at = time.monotonic() + READY_TIMEOUT_S
        for name in self.nodes:
            address = self.settings[name]['listen_addrs']['ready']
            while not await _is_ready(address):
                if time.monotonic() > ends_at:
                    raise CouldNotRunError(f'{name} is not ready')
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """End all processes that were started."""
        for process in self.nodes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for task in self._tasks:
            task.cancel()
        self._record_file.close()
        shutil.rmtree(self._temporary, ignore_errors=True)


async def _is_ready(address: str) -> bool:
    host, _, port = address.rpartition(':')
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    try:
        writer.write(b'GET /-/readyz HTTP/1.1\r\nHost: node\r\n\r\n')
        return b' 200 ' in await reader.readline()
    except OSError:
        return False
    finally:
        writer.close()


def _settings(
    name: str,
    zone: str,
    controls: list[int],
    control: int,
    platform: tuple[int, int],
) -> dict[str, Any]:
    store_port, call_port = platform
    return {
        'node_name': name,
        'role': 'edge',
        'machine_class': 'edge',
        'serves': ['edge', 'control_plane'],
        'ip': HOST,
        'zone': zone,
        'region': zone,
        'zones': {each: each for each in ZONES},
        'listen_addrs': {
            'front': f'{HOST}:{free_port()}',
            'ready': f'{HOST}:{free_port()}',
            'control': f'{HOST}:{control}',
        },
        'internal_port_range': [7560, 7575],
        'seed_nodes': [f'{HOST}:{each}' for each in controls[:3]],
        'bootstrap': True,
        'limits': {'memory_mb': 300, 'max_fds': 4300},
        'heartbeat_ms': 1200,
        'bounds': {
            'contact_ms': 5000,
            'drain_timeout_ms': 7000,
            'grace_period_s': 6,
            'config_apply_ms': 4000,
            'quota_window_s': 5,
            'quota_overage': 0.1,
            'quota_slack': 20,
            'require_fence': True,
        },
        'platform': {
            'address': f'{HOST}:{store_port}',
            'form': 'objects',
            'max_value_bytes': 1048576,
        },
        'cloud_api': {
            'address': f'{HOST}:{call_port}',
            'duties': ['failover'],
            'duty_per_s': 50.0,
        },
    }
