"""A background task that fails ends neither the node nor its sessions."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import pytest
from trio import sleep

from tests.support import run_virtual
from tests.test_unreadable_objects import expect_service, restart_all
from trefoilhitch.platform.lease_store import (
    PlatformLeaseStore,
    PlatformNodeRegistry,
)
from trefoilhitch.platform.sources import DeclarationSource, EndpointSource
from trefoilhitch.pooler.member_prober import MemberProber
from trefoilhitch.pooler.monitor import Monitor
from trefoilhitch.pooler.node import PoolerNode
from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_stack import running_wire_stack

# Calls of a method that fail, on all nodes together.
FAILURES = 12
# Longest time until each node has run its tasks again.
RECOVERY_S = 12.0
STEPS = (
    (EndpointSource, 'wait'),
    (EndpointSource, 'read_all'),
    (DeclarationSource, 'wait'),
    (DeclarationSource, 'read_all'),
    (PlatformNodeRegistry, 'list_nodes'),
    (PlatformLeaseStore, 'list_leases'),
    (MemberProber, 'run'),
    (PoolerNode, '_run_housekeeping'),
    (Monitor, 'run'),
)


class FailingCalls:
    """Makes calls of a method fail.

    Args:
        method: the method.

    """

    def __init__(self, method: Callable[..., Awaitable[Any]]) -> None:
        """Fail at no call yet."""
        self.remaining = 0
        self._method = method

    async def call(self, *args: Any, **options: Any) -> Any:
        """Fail, or call the method."""
        if self.remaining:
            self.remaining -= 1
            raise RuntimeError('not foreseen')
        return await self._method(*args, **options)


async def play(failing: FailingCalls) -> None:
    """Let a method fail while a session is open, and while nodes start."""
    async with running_wire_stack() as stack:
        async with wire_client(stack.nodes['node-1'].address) as client:
            await client.start('orders', 'key-himal')
            failing.remaining = FAILURES
            for number in range(int(RECOVERY_S)):
                assert (await client.query(f'WRITE a {number}')).code == ''
                await sleep(1)
            await expect_service(stack)
            assert (await client.query('READ a')).code == ''
        failing.remaining = FAILURES
        await restart_all(stack)
        await sleep(RECOVERY_S)
        await expect_service(stack)
        nodes = stack.nodes.values()
        counts = [each.metrics.total('task_failures') for each in nodes]
        assert sum(counts) == FAILURES


@pytest.mark.parametrize(('owner', 'method'), STEPS)
def test_failed_task_ends_the_node(
    owner: type, method: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    failing = FailingCalls(getattr(owner, method))

    async def call(*args: Any, **options: Any) -> Any:
        return await failing.call(*args, **options)

    monkeypatch.setattr(owner, method, call)
    run_virtual(partial(play, failing))
