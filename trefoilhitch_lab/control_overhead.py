"""Overhead of an idle node, by the number of nodes and services."""

import time
from collections.abc import Sequence

from msgspec import Struct
from msgspec.json import encode
from trio import current_time, run, sleep
from trio.testing import MockClock

from trefoilhitch_lab.deployment import Deployment
from trefoilhitch_lab.network import Latency
from trefoilhitch_lab.stack import Stack, running_stack

SETTLE_S = 5.0
MEASUREMENT_S = 20.0
SLOTS_PER_ENDPOINT = 3
DATA_CENTRE_COUNT = 3
_MS_PER_S = 1000


class ControlOverhead(Struct, frozen=True, kw_only=True):
    """Messages and CPU time used by idle nodes.

    Args:
        nodes: number of nodes.
        services: number of services with three endpoints each.
        heartbeat_bytes: size of one heartbeat message in bytes.
        peer_messages_per_node_s: messages per second from a node to its
            peers.
        probe_messages_per_node_s: messages per second from a node to
            endpoints.
        peer_bytes_per_node_s: bytes per second of heartbeat requests that a
            node sends; responses are not counted, they hold only changes.
        store_calls_s: requests per second from all nodes to the object API.
        cpu_ms_per_node_s: CPU time of the process, including the simulated
            platform, per node and second.

    """

    nodes: int
    services: int
    heartbeat_bytes: int
    peer_messages_per_node_s: float
    probe_messages_per_node_s: float
    peer_bytes_per_node_s: float
    store_calls_s: float
    cpu_ms_per_node_s: float


def measure_control_overhead(
    nodes: int, services: int, seed: int
) -> ControlOverhead:
    """Measure idle nodes on the virtual clock.

    Args:
        nodes: number of nodes.
        services: number of services.
        seed: seed of all random choices.

    Returns:
        Measured overhead.

    """
    return run(
        _measure,
        _build_deployment(nodes, services),
        seed,
        clock=MockClock(autojump_threshold=0),
    )


def _build_deployment(nodes: int, services: int) -> Deployment:
    places = {
        f'dc-{each}': f'region-{each}' for each in range(DATA_CENTRE_COUNT)
    }
    return Deployment(
        name=f'{nodes}x{services}',
        regions=places,
        nodes={
            f'n{each}': f'dc-{each % DATA_CENTRE_COUNT}'
            for each in range(nodes)
        },
        services=tuple(f'service-{each}' for each in range(services)),
        slots=SLOTS_PER_ENDPOINT,
        client_connections=0,
        connect_delay_s=0,
        latency=Latency(),
    )


async def _measure(deployment: Deployment, seed: int) -> ControlOverhead:
    async with running_stack(deployment, seed=seed) as stack:
        await sleep(SETTLE_S)
        stack.network.messages.clear()
        stack.store.request_counts.clear()
        cpu_before = time.process_time()
        started_at = current_time()
        await sleep(MEASUREMENT_S)
        cpu_s = time.process_time() - cpu_before
        return _compute_overhead(stack, current_time() - started_at, cpu_s)


def _compute_overhead(
    stack: Stack, span_s: float, cpu_s: float
) -> ControlOverhead:
    count = len(stack.nodes)
    node_seconds = count * span_s
    first = next(iter(stack.nodes.values()))
    heartbeat_bytes = len(encode(first.ctx.membership.heartbeat()))
    peer_messages_s = _count_messages(stack, list(stack.nodes)) / node_seconds
    return ControlOverhead(
        nodes=count,
        services=len(stack.deployment.services),
        heartbeat_bytes=heartbeat_bytes,
        peer_messages_per_node_s=round(peer_messages_s, 2),
        probe_messages_per_node_s=round(
            _count_messages(stack, list(stack.endpoints)) / node_seconds,
            2,
        ),
        peer_bytes_per_node_s=round(peer_messages_s / 2 * heartbeat_bytes, 1),
        store_calls_s=round(
            sum(stack.store.request_counts.values()) / span_s, 3
        ),
        cpu_ms_per_node_s=round(cpu_s * _MS_PER_S / node_seconds, 3),
    )


def _count_messages(stack: Stack, targets: Sequence[str]) -> int:
    return sum(
        count
        for (source, target), count in stack.network.messages.items()
        if source in stack.nodes and target in targets
    )
