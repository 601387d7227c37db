"""Another writer overwrites an endpoint's entry; the endpoint repairs it."""

from functools import partial
from typing import Any

import pytest
from msgspec import Raw
from trio import current_time, sleep

from tests import test_unreadable_objects as unreadable
from tests import test_wire_failover as failover
from tests.support import run_virtual
from tests.test_wire_failover import KEY, primary_of
from trefoilhitch.platform.object_store import ENDPOINT_KIND
from trefoilhitch.pooler.endpoint_registry import MISSING_GRACE_S
from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_stack import WireStack, running_wire_stack

PRIMARY = 'ledger-0'
REPLICA = 'ledger-2'
# Endpoints write their entries about this often.
HEARTBEAT_S = 1.2
REPEATS = 4
PAUSE_S = 0.1
FAILOVER_S = 6
# What an endpoint's own entry can't say; readers refuse it.
REFUSED = {
    'no-object': Raw(b'null'),
    'port-0': {'address': '127.0.0.1:0'},
    'born-far-ahead': {'born': 10**300},
    'service-of-two-words': {'service': 'ledger x'},
    'no-capacity': {'capacity': None},
    'other-role': {'db_role': 'arbiter'},
}
# What an endpoint might say, but this one doesn't.
ACCEPTED = {
    'other-address': {'address': '127.0.0.1:9'},
    'other-service': {'service': 'elsewhere'},
    'later-start': {'born': 10**12},
    'other-role': {'db_role': 'primary'},
    'no-primary': {'db_role': 'replica'},
}


def overwrite(stack: WireStack, endpoint: str, changes: Any) -> None:
    """Write an endpoint's entry as another writer would."""
    spec = changes
    if isinstance(changes, dict):
        spec = stack.endpoint_entry(endpoint, **changes)
    stack.store_state.put(ENDPOINT_KIND, endpoint, spec)


async def serve_until(stack: WireStack, until: float) -> None:
    """Write and read without a pause; each has to succeed."""
    number = 0
    while current_time() < until:
        number += 1
        assert await failover.write(stack, f'mark-{number}') == ''
        async with wire_client(stack.nodes['node-2'].address) as client:
            assert await client.start('stock', KEY) == 'READY I -'
            assert (await client.query('READ mark')).code == ''
        await sleep(PAUSE_S)


async def play_repaired(endpoint: str, changes: Any) -> None:
    """Overwrite an entry again and again; the endpoint repairs it each time."""
    async with running_wire_stack() as stack:
        await unreadable.expect_service(stack)
        for _ in range(REPEATS):
            overwrite(stack, endpoint, changes)
            await serve_until(stack, current_time() + HEARTBEAT_S)
            stack.register_endpoints()
            await serve_until(stack, current_time() + HEARTBEAT_S)
        assert not stack.promotions.received
        await unreadable.restart_all(stack)
        await unreadable.expect_service(stack)


@pytest.mark.parametrize('changes', REFUSED)
@pytest.mark.parametrize('endpoint', [PRIMARY, REPLICA])
def test_unreadable_entry_costs_an_endpoint_its_role(
    endpoint: str, changes: str
) -> None:
    run_virtual(partial(play_repaired, endpoint, REFUSED[changes]))


@pytest.mark.parametrize('changes', ACCEPTED)
@pytest.mark.parametrize('endpoint', [PRIMARY, REPLICA])
def test_wrong_entry_costs_an_endpoint_its_role(
    endpoint: str, changes: str
) -> None:
    run_virtual(partial(play_repaired, endpoint, ACCEPTED[changes]))


# One that does not write again may be gone.
@pytest.mark.parametrize('changes', [REFUSED['port-0'], {'service': 'none'}])
def test_endpoint_with_an_unreadable_entry_stays_the_primary(
    changes: dict[str, Any],
) -> None:
    async def play() -> None:
        async with running_wire_stack() as stack:
            await unreadable.expect_service(stack)
            overwrite(stack, PRIMARY, changes)
            await sleep(MISSING_GRACE_S + FAILOVER_S)
            assert primary_of(stack).endpoint != PRIMARY
            await failover.write_until_done(stack, 'after')
            assert not stack.group.lost_entries

    run_virtual(play)
