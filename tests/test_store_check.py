"""Monitors that check that the store answers them."""

from dataclasses import dataclass, field
from functools import partial
from itertools import pairwise

import pytest
from trio import current_time, open_nursery, sleep

from tests import test_wire_failover as failover
from tests.support import run_virtual, with_virtual_clock
from tests.test_wire_failover import (
    GAP_BOUND_S,
    NODES_BEYOND_WATCHERS,
    RECORDED_S,
    first_monitor,
    primary_of,
)
from trefoilhitch.decision_log import NullLog
from trefoilhitch.errors import StoreUnavailableError
from trefoilhitch.http_server import HttpServer, SharedHandlerFactory
from trefoilhitch.metrics import Metrics
from trefoilhitch.platform.object_store import LEASE_KIND, ObjectStoreClient
from trefoilhitch.pooler.monitor_order import STORE_CHECK_INTERVAL_S
from trefoilhitch.pooler.ports import LeaseStore
from trefoilhitch.pooler.store_check import StoreCheck, StoreCheckDependencies
from trefoilhitch.pooler.store_era import StoreEra
from trefoilhitch_lab.loopback import loopback_address
from trefoilhitch_lab.platform_store import PlatformStore, StoreState
from trefoilhitch_lab.stack import FailureCollector
from trefoilhitch_lab.wire_stack import WireStack, running_wire_stack

PAUSE_S = 0.02
# How long the store refuses the monitor before the primary crashes.
REFUSED_S = 5
# What the refusal may cost.
TOLERANCE_S = 0.3
SERVICES = ('ledger', 'orders', 'stock')
STEP_S = 0.15
# How long a check is watched.
CHECKED_S = 20


async def failover_s(stack: WireStack, node: str) -> float:
    """Crash the primary; return the seconds to the next acknowledged write."""
    primary_of(stack).crash()
    primary_of(stack).is_primary = False
    started_at = current_time()
    number = 0
    while await failover.write(stack, f'after-{number}', node):
        number += 1
        assert current_time() - started_at < GAP_BOUND_S
        await sleep(PAUSE_S)
    return current_time() - started_at


async def measure(delay_s: float, fault: str, *, refuses: bool) -> float:
    """Return the duration of a failover whose first monitor may be refused."""
    async with running_wire_stack(nodes=NODES_BEYOND_WATCHERS) as stack:
        await sleep(RECORDED_S + delay_s)
        await failover.write(stack, 'before')
        refused = first_monitor(stack)
        setattr(stack.nodes[refused].store.faults, fault, refuses)
        await sleep(REFUSED_S)
        node = next(name for name in stack.nodes if name != refused)
        took_s = await failover_s(stack, node)
    assert stack.group.lost_entries == []
    return took_s


@pytest.mark.parametrize('fault', ['outage', 'silent'])
@pytest.mark.parametrize('delay_s', [0, 0.7, 1.4])
def test_monitor_notices_a_refusal_only_in_the_failover(
    delay_s: float, fault: str
) -> None:
    """Guards against a failover that begins with a lost attempt."""
    usual_s = run_virtual(partial(measure, delay_s, fault, refuses=False))
    took_s = run_virtual(partial(measure, delay_s, fault, refuses=True))
    assert took_s <= usual_s + TOLERANCE_S


class Store(LeaseStore):
    """A store that records the times of its checks."""

    def __init__(self) -> None:
        """Start with a store that answers."""
        self.checked_at: list[float] = []
        self.is_down = False

    async def check(self, service: str, deadline: float) -> None:
        """Answer a check, or refuse it."""
        self.checked_at.append(current_time())
        if self.is_down:
            raise StoreUnavailableError('down')


@dataclass
class Node:
    """A node that checks the store, and reports that it has lost it."""

    store: Store = field(default_factory=Store)
    era: StoreEra = field(
        default_factory=lambda: StoreEra(clock=current_time, log=NullLog())
    )
    is_lost: bool = False

    def make_check(self) -> StoreCheck:
        """Return the check of the node."""
        return StoreCheck(
            StoreCheckDependencies(
                leases=self.store,
                store_era=self.era,
                is_store_lost=lambda: self.is_lost,
                report_store_lost=self.report,
                log=NullLog(),
                metrics=Metrics(),
            )
        )

    def report(self) -> None:
        """Count as without the store."""
        self.is_lost = True


async def run_checks(node: Node, rank: int = 0) -> None:
    """Let a node monitor several services for some time."""
    check = node.make_check()
    end_at = current_time() + CHECKED_S
    while current_time() < end_at:
        for service in SERVICES:
            await check.check_if_due(service, rank)
        await sleep(STEP_S)


@with_virtual_clock
async def test_node_checks_the_store_once_for_each_service() -> None:
    """Guards against checks that cost more than one read in 2 s."""
    node = Node()
    await run_checks(node)
    times = node.store.checked_at
    assert len(times) > CHECKED_S / STORE_CHECK_INTERVAL_S / 2
    assert all(
        later - earlier >= STORE_CHECK_INTERVAL_S
        for earlier, later in pairwise(times)
    )


@with_virtual_clock
async def test_standby_checks_the_store() -> None:
    node = Node()
    await run_checks(node, rank=1)
    assert node.store.checked_at == []


@with_virtual_clock
async def test_node_checks_a_store_that_answers_it() -> None:
    node = Node()
    async with open_nursery() as nursery:
        nursery.start_soon(run_checks, node)
        for _ in range(CHECKED_S):
            node.era.confirm(current_time())
            await sleep(1)
    assert node.store.checked_at == []


@with_virtual_clock
async def test_node_without_the_store_checks_it_again() -> None:
    """Guards against a state that a check would prolong."""
    node = Node()
    node.store.is_down = True
    await run_checks(node)
    assert node.is_lost
    assert len(node.store.checked_at) == 1


@with_virtual_clock
async def test_only_a_fresh_response_confirms_the_era() -> None:
    """Guards against a lease that replaces one of a later era."""
    state = StoreState()
    async with open_nursery() as nursery:
        server = HttpServer(
            factory=SharedHandlerFactory(PlatformStore(state)),
            reporter=FailureCollector(),
        )
        host = loopback_address()
        port = await server.listen(nursery, host, 0)
        era = StoreEra(clock=current_time, log=NullLog())
        client = ObjectStoreClient(f'{host}:{port}', era)
        deadline = current_time() + 1
        await client.get(LEASE_KIND, 'ledger', deadline, may_be_stale=True)
        await client.list_kind(LEASE_KIND, deadline, may_be_stale=True)
        assert era.current == state.era
        assert not era.is_confirmed(STORE_CHECK_INTERVAL_S)
        await client.get(LEASE_KIND, 'ledger', deadline)
        assert era.is_confirmed(STORE_CHECK_INTERVAL_S)
        client.close()
        nursery.cancel_scope.cancel()
