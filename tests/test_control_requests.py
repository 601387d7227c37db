"""Control requests of nodes with gateways while the store is away."""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from msgspec.structs import replace as replace_message
from trio import current_time, open_nursery, sleep

from tests.support import run_virtual
from tests.test_gateways import NODES, declaration
from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.options import PoolerOptions
from trefoilhitch.pooler.control.probe_pauses import (
    UNPROVED_PAUSE_S,
    ProbePauses,
)
from trefoilhitch.pooler.control.relayed_status import STATUS_INTERVAL_S
from trefoilhitch.pooler.options import default_options
from trefoilhitch.pooler.ports import EndpointStatus
from trefoilhitch.pooler.primary_confirmation import may_confirm
from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_stack import WireStack, running_wire_stack

READ_FOR_S = 4.0
SESSIONS_PER_NODE = 4


def options(*, shared: bool) -> PoolerOptions:
    """Return options that turn the sharing of requests on or off."""
    defaults = default_options()
    gateways = replace_message(defaults.gateways, shared_status=shared)
    return replace_message(defaults, gateways=gateways)


@asynccontextmanager
async def stack_in_doubt(*, shared: bool) -> AsyncIterator[WireStack]:
    """Run nodes with gateways that cannot read the leases."""
    async with running_wire_stack(
        nodes=NODES, options=options(shared=shared)
    ) as stack:
        stack.store_state.put('config', 'main', declaration(2))
        await sleep(5)
        for node in stack.nodes.values():
            node.store.faults.outage = True
        await sleep(3)
        yield stack


class Reads:
    """Reads of the latest data through all nodes."""

    def __init__(self) -> None:
        """Start without reads."""
        self.codes: Counter[str] = Counter()
        self.longest_s: float = 0

    async def run(self, stack: WireStack, *skipped: str) -> None:
        """Read through each node in several sessions."""
        async with open_nursery() as nursery:
            for name, node in stack.nodes.items():
                if name in skipped:
                    continue
                for _ in range(SESSIONS_PER_NODE):
                    nursery.start_soon(self._read, node.address)

    async def _read(self, address: str) -> None:
        ends_at = current_time() + READ_FOR_S
        async with wire_client(address) as client:
            await client.start('orders', 'key-org-1')
            while current_time() < ends_at:
                started_at = current_time()
                self.codes[(await client.query('READ a1')).code] += 1
                elapsed_s = current_time() - started_at
                self.longest_s = max(self.longest_s, elapsed_s)
                await sleep(0.02)


def replica_requests(stack: WireStack) -> int:
    """Return how many statuses the replicas were asked for."""
    return sum(
        endpoint.request_counts['STATUS']
        for endpoint in stack.group.endpoints.values()
        if not endpoint.is_primary
    )


def add_requests(stack: WireStack, sent: Counter[str]) -> None:
    """Add up what the nodes' metrics say about requests."""
    for node in stack.nodes.values():
        for line in node.metrics.render().splitlines():
            name, _, count = line.rpartition(' ')
            if name.startswith('trefoilhitch') and 'requests_total' in name:
                sent[name] += int(count)


def play(*, shared: bool) -> tuple[Reads, int, Counter[str]]:
    """Read while the store is away; count the requests for statuses."""
    reads = Reads()
    requests: list[int] = []
    sent: Counter[str] = Counter()

    async def scenario() -> None:
        async with stack_in_doubt(shared=shared) as stack:
            before = replica_requests(stack)
            await reads.run(stack)
            requests.append(replica_requests(stack) - before)
            add_requests(stack, sent)

    run_virtual(scenario)
    return reads, requests[0], sent


def test_replicas_get_few_requests_for_many_reads() -> None:
    reads, requests, sent = play(shared=True)
    assert set(reads.codes) == {''}
    assert reads.longest_s < 0.5
    # Two replicas at most, and some requests of the monitor.
    assert requests <= 2 * READ_FOR_S / STATUS_INTERVAL_S + 20
    assert sent['trefoilhitch_status_requests_total{kind="shared"}']
    assert sent['trefoilhitch_control_requests_total{kind="confirmation"}']
    assert sent['trefoilhitch_peer_requests_total{kind="status"}']


def test_requests_are_not_limited_with_the_option_off() -> None:
    _, requests, _ = play(shared=False)
    assert requests > 4 * READ_FOR_S / STATUS_INTERVAL_S


@pytest.mark.parametrize('lost', ['node-0', 'node-3', 'node-6'])
def test_reads_go_on_while_relays_and_gateways_are_lost(lost: str) -> None:
    reads = Reads()

    async def scenario() -> None:
        async with stack_in_doubt(shared=True) as stack:
            async with open_nursery() as nursery:
                nursery.start_soon(reads.run, stack, lost)
                await sleep(1)
                stack.kill_node(lost)

    run_virtual(scenario)
    served = reads.codes['']
    assert served > 0.95 * reads.codes.total()
    assert reads.longest_s < 1.2


def probes_without_proof(*, shared: bool) -> int:
    """Count the probes of a primary whose replicas no node reaches."""
    probes: list[int] = []

    async def scenario() -> None:
        async with stack_in_doubt(shared=shared) as stack:
            primary = stack.group.primary
            assert primary is not None
            replicas = set(stack.group.endpoints) - {primary.endpoint}
            for node in stack.nodes.values():
                node.cut_endpoints.update(replicas)
            await sleep(4)
            before = primary.request_counts['STATUS']
            await sleep(READ_FOR_S)
            probes.append(primary.request_counts['STATUS'] - before)

    run_virtual(scenario)
    return probes[0]


def test_monitors_pause_while_no_probe_proves_anything() -> None:
    # The first monitor, and two standbys with longer pauses.
    per_s = sum(1 / (UNPROVED_PAUSE_S * rank) for rank in (1, 2, 3))
    assert 4 <= probes_without_proof(shared=True) <= READ_FOR_S * per_s + 3


def test_monitors_probe_at_every_check_with_the_option_off() -> None:
    per_s = sum(1 / (UNPROVED_PAUSE_S * rank) for rank in (1, 2, 3))
    assert probes_without_proof(shared=False) > 2 * READ_FOR_S * per_s


def test_other_primary_is_probed_at_once() -> None:
    pauses = ProbePauses(enabled=True)
    pauses.record_unproved('ledger', 'i-1', 0, 0)
    assert not pauses.may_probe('ledger', 'i-1', UNPROVED_PAUSE_S / 2)
    assert pauses.may_probe('ledger', 'i-2', 0)
    assert pauses.may_probe('stock', 'i-1', 0)
    assert pauses.may_probe('ledger', 'i-1', UNPROVED_PAUSE_S)


def reads_without_proof(*, shared: bool) -> tuple[Reads, int]:
    """Read while all replicas are fenced; count the requests."""
    reads = Reads()
    requests: list[int] = []

    async def scenario() -> None:
        async with stack_in_doubt(shared=shared) as stack:
            primary = stack.group.primary
            assert primary is not None
            for endpoint in stack.group.endpoints.values():
                if endpoint is not primary:
                    endpoint.terms.fenced = 9
            before = primary.request_counts['STATUS']
            await reads.run(stack)
            requests.append(primary.request_counts['STATUS'] - before)

    run_virtual(scenario)
    assert set(reads.codes) == {'BUSY'}
    return reads, requests[0]


def test_reads_that_nobody_confirms_are_not_sent_again() -> None:
    reads, requests = reads_without_proof(shared=True)
    # Each node's first reads, and those sent each time that the doubt passed.
    assert requests < reads.codes['BUSY'] / 2
    # None is held until its time-out of 1 s, and most much shorter.
    assert reads.longest_s < 0.8
    sessions = NODES * SESSIONS_PER_NODE
    assert reads.codes['BUSY'] > sessions * READ_FOR_S / 0.4


def test_each_attempt_is_sent_with_the_option_off() -> None:
    reads, requests = reads_without_proof(shared=False)
    assert requests > 4 * reads.codes['BUSY']


@pytest.mark.parametrize(
    ('primary', 'fenced', 'term', 'expected'),
    [
        (False, 0, 1, True),
        # The primary may report a later term than this node knows.
        (False, 0, 9, True),
        (False, 4, 1, False),
        (True, 0, 1, False),
    ],
)
def test_statement_is_sent_only_if_replicas_may_confirm(
    primary: bool, fenced: int, term: int, expected: bool
) -> None:
    status = EndpointStatus(
        is_primary=primary,
        term=term,
        position=LogPosition(),
        fenced_term=fenced,
    )
    assert may_confirm([status], 1) is expected
    assert not may_confirm([status], 2)
