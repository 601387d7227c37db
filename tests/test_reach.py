"""Endpoints out of reach: who may try them, and who is told at once."""

import pytest
from trio import current_time, open_nursery, sleep

from tests.support import virtual
from tests.test_connection_pool import ENDPOINT, Connector, make_pool, use
from trefoilhitch.pooler.circuit_breakers import (
    TRIAL_INTERVAL_S,
    CircuitBreakers,
)
from trefoilhitch.pooler.ports import EndpointConnectionError
from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_stack import running_wire_stack

KEY = 'key-himal'
# A quarter of the target latency of the stand-in's routes, and a connection
# that is not accepted.
KNOWN_WITHIN_S = 0.5


def test_one_failure_changes_nothing() -> None:
    reach = CircuitBreakers()
    assert not reach.record_failure('a', 0)
    assert reach.may_attempt('a', 0)


def test_one_statement_at_a_time_tries_an_endpoint_out_of_reach() -> None:
    reach = CircuitBreakers()
    reach.record_failure('a', 0)
    assert reach.record_failure('a', 0)
    assert not reach.may_attempt('a', TRIAL_INTERVAL_S / 2)
    trials = [reach.may_attempt('a', TRIAL_INTERVAL_S) for _ in range(3)]
    assert trials == [True, False, False]
    assert reach.may_attempt('b', 0)


def test_an_endpoint_that_answers_is_in_reach() -> None:
    reach = CircuitBreakers()
    reach.record_failure('a', 0)
    assert not reach.record_success('a')
    reach.record_failure('a', 0)
    reach.record_failure('a', 0)
    assert reach.record_success('a')
    assert reach.may_attempt('a', 0)


@virtual
async def test_who_waits_for_an_endpoint_out_of_reach_is_told_at_once() -> None:
    pool = make_pool(Connector(), 1)
    pooled = await pool.acquire(ENDPOINT, 'a', {}, current_time() + 5)
    refused: list[float] = []

    async def wait(organisation: str) -> None:
        with pytest.raises(EndpointConnectionError):
            await use(pool, organisation)
        refused.append(current_time())

    async with open_nursery() as nursery:
        for organisation in 'bbc':
            nursery.start_soon(wait, organisation)
        await sleep(0.2)
        dismissed_at = current_time()
        pool.reject_waiters(ENDPOINT)
    assert len(refused) == 3
    assert max(refused) == pytest.approx(dismissed_at)
    pool.release(ENDPOINT, pooled)
    await use(pool, 'd')


async def _write(address: str, mark: str, took: list[float]) -> None:
    async with wire_client(address) as client:
        await client.start('orders', KEY)
        began = current_time()
        await client.query(f'WRITE {mark} {mark}')
        took.append(current_time() - began)


@virtual
async def test_writes_for_a_dark_lead_are_not_queued() -> None:
    """Thirty clients write at once through one node while the lead is dark."""
    async with running_wire_stack() as stack:
        lead = stack.group.lead
        assert lead is not None
        lead.crash()
        took: list[float] = []
        await _write(stack.nodes['node-1'].address, 'first', [])
        async with open_nursery() as nursery:
            for number in range(30):
                nursery.start_soon(
                    _write, stack.nodes['node-1'].address, str(number), took
                )
    assert len(took) == 30
    assert sorted(took)[25] <= KNOWN_WITHIN_S
