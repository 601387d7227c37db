"""Control requests of nodes with gateways while the store is away."""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random
from typing import Any

import pytest
from msgspec.structs import replace as replace_message
from trio import current_time, open_nursery, sleep

from tests.support import run_virtual
from tests.test_gateways import NODES, declaration
from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.options import PoolerOptions
from trefoilhitch._generated.peer import LeaseViewReply, MemberBeat, ProofReply
from trefoilhitch.decision_log import NullLog
from trefoilhitch.pooler.cluster_state import ClusterState
from trefoilhitch.pooler.control.peer_backoff import PeerBackoff
from trefoilhitch.pooler.control.probe_pauses import (
    UNPROVED_PAUSE_S,
    ProbePauses,
)
from trefoilhitch.pooler.control.relayed_status import STATUS_INTERVAL_S
from trefoilhitch.pooler.endpoint_selection import EndpointSelector
from trefoilhitch.pooler.gateway_placement import rank_by_name
from trefoilhitch.pooler.lease import LeaseListing
from trefoilhitch.pooler.lease_view_reader import LeaseViewReader
from trefoilhitch.pooler.membership_view import MembershipView
from trefoilhitch.pooler.options import default_options
from trefoilhitch.pooler.ports import EndpointStatus
from trefoilhitch.pooler.primary_confirmation import may_confirm
from trefoilhitch.pooler.proof_fetcher import ProofFetcher
from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_stack import SERVICE, WireStack, running_wire_stack

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

    def __init__(self, pause_s: float = 0.02) -> None:
        """Start without reads."""
        self.pause_s = pause_s
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
                await sleep(self.pause_s)


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


STRONG = 2150
CAPACITIES = {
    f'node-{number}': STRONG if number < 3 else 400 for number in range(NODES)
}


def holders_of_connections(
    by_capacity: bool, capacities: dict[str, int]
) -> set[str]:
    """Return the nodes that opened connections for statements."""
    defaults = default_options()
    gateways = replace_message(defaults.gateways, by_capacity=by_capacity)
    holders: set[str] = set()

    async def scenario() -> None:
        async with running_wire_stack(
            nodes=NODES,
            options=replace_message(defaults, gateways=gateways),
            capacities=capacities,
        ) as stack:
            stack.store_state.put('config', 'main', declaration(2))
            await sleep(8)
            opened = {
                name: node.metrics.total('endpoint_connections_opened')
                for name, node in stack.nodes.items()
            }
            # Fewer than the rate of the organisation.
            reads = Reads(pause_s=0.2)
            await reads.run(stack)
            assert set(reads.codes) == {''}
            for name, node in stack.nodes.items():
                total = node.metrics.total('endpoint_connections_opened')
                if total > opened[name]:
                    holders.add(name)

    run_virtual(scenario)
    return holders


def test_strong_nodes_hold_the_connections() -> None:
    holders = holders_of_connections(True, CAPACITIES)
    assert holders <= {'node-0', 'node-1', 'node-2'}


def test_option_turns_the_choice_by_capacity_off() -> None:
    off = holders_of_connections(False, CAPACITIES)
    unknown = holders_of_connections(True, {})
    assert off == unknown
    assert not off <= {'node-0', 'node-1', 'node-2'}


class Peers:
    """Other nodes, of which some do not answer."""

    def __init__(self, lost: set[str], answer: object) -> None:
        """Start without requests."""
        self.lost = lost
        self.answer = answer
        self.asked: list[str] = []

    async def request(
        self, address: str, *args: object, **kwargs: object
    ) -> object:
        """Answer without content."""
        self.asked.append(address)
        return None if address in self.lost else self.answer


class Leases:
    """A store whose leases are listed."""

    def __init__(self) -> None:
        """Start without requests."""
        self.listings = 0

    async def list_leases(self, deadline: float) -> LeaseListing:
        """Count a listing."""
        self.listings += 1
        return LeaseListing()


def ranked_nodes(subject: str) -> tuple[list[MemberBeat], MembershipView]:
    """Return the nodes of a data centre, and the view of the last one."""
    beats = [
        MemberBeat(
            node=f'edge-{number}',
            address=f'10.0.0.{number}:1',
            region='region',
            data_centre='dc',
            incarnation=1,
            counter=1,
            state='live',
        )
        for number in range(8)
    ]
    ranked = rank_by_name(subject, beats)
    membership = MembershipView(
        heartbeat=ranked[-1], random=Random(0), clock=float
    )
    membership.merge(beats)
    return ranked, membership


def read_views(*, enabled: bool) -> tuple[Peers, int]:
    """Read ten views while the first reader does not answer."""
    ranked, membership = ranked_nodes('leases')
    peers = Peers({ranked[0].address}, LeaseViewReply(known=True))
    store = Leases()
    client: Any = peers
    leases: Any = store

    async def scenario() -> None:
        reader = LeaseViewReader(
            store=leases,
            membership=membership,
            client=client,
            clock=current_time,
            asked=PeerBackoff.with_backoff(
                Random(0), trial_s=0.3, enabled=enabled
            ),
        )
        for _ in range(10):
            await reader.read(current_time() + 1)
            await sleep(0.5)

    run_virtual(scenario)
    assert peers.asked[0] == ranked[0].address
    return peers, store.listings


def test_view_of_leases_comes_from_the_next_reader() -> None:
    peers, listings = read_views(enabled=True)
    failed = [each for each in peers.asked if each in peers.lost]
    # The store is read instead only when the lost reader is tried.
    assert len(failed) == listings
    assert listings <= 5
    assert len(peers.asked) == 10


def test_lost_reader_is_asked_each_time_with_the_option_off() -> None:
    peers, listings = read_views(enabled=False)
    assert set(peers.asked) == peers.lost
    assert listings == 10


def fetch_proofs(*, enabled: bool) -> Counter[str]:
    """Fetch ten proofs while the first source does not answer."""
    ranked, membership = ranked_nodes(f'proof/{SERVICE}')
    peers = Peers({ranked[0].address}, ProofReply(proofs=[]))
    client: Any = peers

    async def scenario() -> None:
        cluster = ClusterState(
            selector=EndpointSelector(
                data_centre='dc', regions={'dc': 'region'}
            ),
            log=NullLog(),
            clock=current_time,
            drain_timeout_s=1,
        )
        fetcher = ProofFetcher(
            cluster=cluster,
            membership=membership,
            client=client,
            asked=PeerBackoff.with_backoff(
                Random(0), trial_s=0.3, enabled=enabled
            ),
        )
        for _ in range(10):
            await fetcher.ensure_recent(SERVICE, current_time() + 1)
            await sleep(0.1)

    run_virtual(scenario)
    by_address = {each.address: number for number, each in enumerate(ranked)}
    return Counter(f'source-{by_address[each]}' for each in peers.asked)


def test_proof_comes_from_the_next_source() -> None:
    asked = fetch_proofs(enabled=True)
    assert set(asked) == {'source-0', 'source-1'}
    assert asked['source-0'] <= 4


def test_lost_source_is_asked_each_time_with_the_option_off() -> None:
    assert fetch_proofs(enabled=False) == {'source-0': 10}
