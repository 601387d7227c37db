"""Tests of circuit breakers: unreachable endpoints fail statements early."""

import pytest
from trio import current_time, open_nursery, sleep

from tests.support import with_virtual_clock
from tests.test_connection_pool import ENDPOINT, Connector, make_pool, use
from trefoilhitch.pooler.circuit_breakers import (
    TRIAL_INTERVAL_S,
    CircuitBreakers,
)
from trefoilhitch.pooler.ports import EndpointConnectionError
from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_stack import running_wire_stack

KEY = 'key-himal'
# A quarter of the target latency of the test routes, plus the timeout of a
# connection attempt.
MAX_FAILURE_S = 0.5


def test_one_failure_does_not_open_the_breaker() -> None:
    breakers = CircuitBreakers()
    assert not breakers.record_failure('a', 0)
    assert breakers.may_attempt('a', 0)


def test_one_trial_per_interval_when_open() -> None:
    breakers = CircuitBreakers()
    breakers.record_failure('a', 0)
    assert breakers.record_failure('a', 0)
    assert not breakers.may_attempt('a', TRIAL_INTERVAL_S / 2)
    trials = [breakers.may_attempt('a', TRIAL_INTERVAL_S) for _ in range(3)]
    assert trials == [True, False, False]
    assert breakers.may_attempt('b', 0)


def test_success_closes_the_breaker() -> None:
    breakers = CircuitBreakers()
    breakers.record_failure('a', 0)
    assert not breakers.record_success('a')
    breakers.record_failure('a', 0)
    breakers.record_failure('a', 0)
    assert breakers.record_success('a')
    assert breakers.may_attempt('a', 0)


@with_virtual_clock
async def test_waiters_for_unreachable_endpoint_fail_at_once() -> None:
    pool = make_pool(Connector(), 1)
    pooled = await pool.acquire(ENDPOINT, 'a', {}, current_time() + 5)
    refused_at: list[float] = []

    async def wait(organisation: str) -> None:
        with pytest.raises(EndpointConnectionError):
            await use(pool, organisation)
        refused_at.append(current_time())

    async with open_nursery() as nursery:
        for organisation in 'bbc':
            nursery.start_soon(wait, organisation)
        await sleep(0.2)
        rejected_at = current_time()
        pool.reject_waiters(ENDPOINT)
    assert len(refused_at) == 3
    assert max(refused_at) == pytest.approx(rejected_at)
    pool.release(ENDPOINT, pooled)
    await use(pool, 'd')


async def _write(address: str, name: str, durations_s: list[float]) -> None:
    async with wire_client(address) as client:
        await client.start('orders', KEY)
        started_at = current_time()
        await client.query(f'WRITE {name} {name}')
        durations_s.append(current_time() - started_at)


@with_virtual_clock
async def test_writes_for_crashed_primary_are_not_queued() -> None:
    """Thirty clients write through one node while the primary has crashed."""
    async with running_wire_stack() as stack:
        primary = stack.group.primary
        assert primary is not None
        primary.crash()
        durations_s: list[float] = []
        await _write(stack.nodes['node-1'].address, 'first', [])
        async with open_nursery() as nursery:
            for number in range(30):
                nursery.start_soon(
                    _write,
                    stack.nodes['node-1'].address,
                    str(number),
                    durations_s,
                )
    assert len(durations_s) == 30
    assert sorted(durations_s)[25] <= MAX_FAILURE_S
