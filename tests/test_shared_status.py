"""Statuses of endpoints while many nodes are in doubt, without a network."""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random
from typing import Any

import pytest
from trio import CancelScope, current_time, move_on_after, open_nursery, sleep

from tests.support import run_virtual, with_virtual_clock
from trefoilhitch._generated.messages import LogPosition
from trefoilhitch._generated.peer import (
    MemberBeat,
    StatusReport,
    StatusRequest,
)
from trefoilhitch.decision_log import NullLog
from trefoilhitch.metrics import Metrics
from trefoilhitch.pooler.control.direct_status import DirectStatus
from trefoilhitch.pooler.control.relayed_status import (
    STATUS_INTERVAL_S,
    RelayedStatus,
)
from trefoilhitch.pooler.control.shared_requests import SharedRequests
from trefoilhitch.pooler.control.status_relays import rank_relays
from trefoilhitch.pooler.control.status_source import StatusDependencies
from trefoilhitch.pooler.gateway_placement import rank_by_name
from trefoilhitch.pooler.membership_view import MembershipView
from trefoilhitch.pooler.ports import EndpointStatus

ENDPOINT = 'ledger-1'
ENDPOINT_DATA_CENTRE = 'dc-0'
DATA_CENTRES = 6
NODES = 124
FAR_S = 0.02
NEAR_S = 0.0002
RESPONSE_S = 0.002
CONNECT_TIMEOUT_S = 0.2
_US_PER_S = 1_000_000


class EventLog(NullLog):
    """Keeps the events."""

    def __init__(self) -> None:
        """Start without events."""
        self.events: list[tuple[str, dict[str, Any]]] = []

    def event(self, kind: str, **fields: Any) -> None:
        """Keep an event."""
        self.events.append((kind, fields))


class Fleet:
    """Nodes that ask each other for the status of one endpoint."""

    def __init__(
        self, nodes: int, *, relayed: bool = True, seed: int = 0
    ) -> None:
        """Create the nodes."""
        self.log = EventLog()
        self.beats = [
            MemberBeat(
                node=f'edge-{number}',
                address=f'10.0.0.{number}:1',
                region=f'region-{number % DATA_CENTRES // 2}',
                data_centre=f'dc-{number % DATA_CENTRES}',
                incarnation=1,
                counter=1,
                state='live',
            )
            for number in range(nodes)
        ]
        self.random = Random(seed)
        self.requests: Counter[tuple[str, str]] = Counter()
        self.in_flight: Counter[tuple[str, bool]] = Counter()
        self.most_in_flight = 0
        self.endpoint_requests: list[float] = []
        self.refusing: set[str] = set()
        self.metrics: dict[str, Metrics] = {}
        make = RelayedStatus if relayed else DirectStatus
        self.sources = {
            beat.node: make(self._dependencies(beat)) for beat in self.beats
        }

    @property
    def gateways(self) -> list[MemberBeat]:
        """The gateways to the endpoint, the first choice first."""
        local = [
            beat
            for beat in self.beats
            if beat.data_centre == ENDPOINT_DATA_CENTRE
        ]
        return rank_by_name('ledger', local)[:3]

    def relays(self, data_centre: str) -> list[MemberBeat]:
        """Return the relays of a data centre, the first choice first."""
        local = [each for each in self.beats if each.data_centre == data_centre]
        return rank_relays(ENDPOINT, local[0], self.beats)

    async def fetch(self, endpoint: str) -> EndpointStatus:
        """Answer with the time of the request as the position."""
        requested_at = current_time()
        self.endpoint_requests.append(requested_at)
        await sleep(RESPONSE_S)
        position = LogPosition(term=1, position=int(requested_at * _US_PER_S))
        return EndpointStatus(
            is_primary=False, term=1, position=position, fenced_term=0
        )

    async def send(
        self, sender: MemberBeat, address: str, request: StatusRequest
    ) -> StatusReport | None:
        """Deliver a request after the latency between two nodes."""
        target = next(each for each in self.beats if each.address == address)
        self.requests[sender.node, target.node] += 1
        if target.node in self.refusing:
            await sleep(CONNECT_TIMEOUT_S)
            return None
        key = sender.node, request.relay
        self.in_flight[key] += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight[key])
        near = sender.data_centre == target.data_centre
        latency_s = NEAR_S if near else FAR_S
        try:
            return await self._deliver(target.node, request, latency_s)
        finally:
            self.in_flight[key] -= 1

    async def _deliver(
        self, node: str, request: StatusRequest, latency_s: float
    ) -> StatusReport:
        await sleep(latency_s)
        report = await self.sources[node].answer(request)
        await sleep(latency_s)
        return report

    def _dependencies(self, own: MemberBeat) -> StatusDependencies:
        membership = MembershipView(
            heartbeat=own, random=self.random, clock=float
        )
        membership.merge(self.beats)
        self.metrics[own.node] = Metrics()
        return StatusDependencies(
            gateways=FleetGateways(self, own.node),
            membership=membership,
            client=FleetClient(self, own),
            fetch=self.fetch,
            service_of=lambda endpoint: 'ledger',
            random=self.random,
            log=self.log,
            metrics=self.metrics[own.node],
        )


class FleetGateways:
    """The gateways of a fleet as one node knows them."""

    are_used = True

    def __init__(self, fleet: Fleet, node: str) -> None:
        """Store the fleet."""
        self._fleet = fleet
        self._node = node

    def rank(self, endpoint: str, subject: str) -> tuple[MemberBeat, ...]:
        """Return the gateways."""
        return tuple(self._fleet.gateways)

    def holds_connections(self, endpoint: str) -> bool:
        """Return whether the node is a gateway."""
        return self._node in {each.node for each in self._fleet.gateways}

    def is_own(self, endpoint: str, subject: str) -> bool:
        """Return whether the node is the first gateway."""
        return self._fleet.gateways[0].node == self._node


class FleetClient:
    """Sends requests of one node to others."""

    def __init__(self, fleet: Fleet, own: MemberBeat) -> None:
        """Store the fleet."""
        self._fleet = fleet
        self._own = own

    def may_reach(self, address: str) -> bool:
        """Let all nodes be tried."""
        return True

    async def request(
        self,
        address: str,
        name: str,
        message: StatusRequest,
        reply_type: type[StatusReport],
        *,
        timeout_s: float = 0.5,
    ) -> StatusReport | None:
        """Send a request."""
        report = None
        with CancelScope(deadline=current_time() + timeout_s):
            report = await self._fleet.send(self._own, address, message)
        return report


@asynccontextmanager
async def running(fleet: Fleet) -> AsyncIterator[None]:
    """Run the requests that the nodes share."""
    async with open_nursery() as nursery:
        for source in fleet.sources.values():
            nursery.start_soon(source.run)
        await sleep(0)
        yield
        nursery.cancel_scope.cancel()


class Readers:
    """Statements that need a status, on all nodes of a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        """Start without statements."""
        self.fleet = fleet
        self.served = 0
        self.unserved = 0
        self.waits_s: list[float] = []

    async def read(self, node: str, at: float) -> None:
        """Ask for a status, and check that it was requested afterwards."""
        await sleep(at)
        asked_at = current_time()
        status = await self.fleet.sources[node].request(ENDPOINT)
        self.waits_s.append(current_time() - asked_at)
        if status is None:
            self.unserved += 1
            return
        self.served += 1
        assert status.position.position >= int(asked_at * _US_PER_S)

    async def read_everywhere(self, *, per_node: int, within_s: float) -> None:
        """Ask on all nodes at random times."""
        async with open_nursery() as nursery:
            for beat in self.fleet.beats:
                for _ in range(per_node):
                    at = self.fleet.random.random() * within_s
                    nursery.start_soon(self.read, beat.node, at)


def play(
    nodes: int, *, relayed: bool = True, per_node: int = 20, seed: int = 0
) -> tuple[Fleet, Readers]:
    """Let all nodes be in doubt for two seconds."""
    fleet = Fleet(nodes, relayed=relayed, seed=seed)
    readers = Readers(fleet)

    async def scenario() -> None:
        async with running(fleet):
            await readers.read_everywhere(per_node=per_node, within_s=2)

    run_virtual(scenario)
    return fleet, readers


def received_by(fleet: Fleet, node: str) -> int:
    """Return how many requests a node received from others."""
    return sum(
        count for (_, target), count in fleet.requests.items() if target == node
    )


def test_requests_do_not_grow_with_the_nodes_in_doubt() -> None:
    fleet, readers = play(NODES)
    assert readers.served == NODES * 20
    # One request at a time from each node, each relay and the gateway.
    assert fleet.most_in_flight == 1
    ticks = 2 / STATUS_INTERVAL_S
    assert len(fleet.endpoint_requests) <= ticks + 5
    gateway = fleet.gateways[0].node
    assert received_by(fleet, gateway) <= DATA_CENTRES * (ticks + 5)
    assert {
        sender for sender, target in fleet.requests if target == gateway
    } <= {fleet.relays(f'dc-{each}')[0].node for each in range(DATA_CENTRES)}
    smaller, _ = play(NODES // 2)
    grown = len(fleet.endpoint_requests) - len(smaller.endpoint_requests)
    assert grown <= 5


def test_gateway_gets_each_request_without_relays() -> None:
    fleet, _ = play(NODES, relayed=False)
    elsewhere = NODES - 1
    assert received_by(fleet, fleet.gateways[0].node) == elsewhere * 20


def test_waits_stay_short_while_requests_are_shared() -> None:
    _, readers = play(NODES)
    assert max(readers.waits_s) < 0.25


def test_requests_are_counted_by_kind() -> None:
    fleet, readers = play(NODES)
    rendered = ''.join(each.render() for each in fleet.metrics.values())
    counts = Counter[str]()
    for line in rendered.splitlines():
        if line.startswith('trefoilhitch_status_requests_total'):
            name, _, count = line.rpartition(' ')
            counts[name] += int(count)
    kind = 'trefoilhitch_status_requests_total{{kind="{}"}}'.format
    sent = counts[kind('own')] + counts[kind('relayed')]
    assert sent == fleet.requests.total() + len(fleet.endpoint_requests)
    # Most statements of a data centre share the request of its relay.
    assert counts[kind('shared')] > readers.served / 2
    assert counts[kind('relayed')] < readers.served / 2


@pytest.mark.parametrize('seed', range(20))
def test_no_caller_gets_a_status_from_before_it_asked(seed: int) -> None:
    _, readers = play(12, per_node=30, seed=seed)
    assert readers.served == 12 * 30


@with_virtual_clock
async def test_caller_after_the_request_gets_the_next_answer() -> None:
    sent_at: list[float] = []
    answers: dict[str, float | None] = {}

    async def fetch(subject: str) -> float:
        sent_at.append(current_time())
        await sleep(1)
        return sent_at[-1]

    shared = SharedRequests[float](
        fetch=fetch, interval_s=float, log=NullLog(), metrics=Metrics()
    )

    async def ask(name: str, at: float) -> None:
        await sleep(at)
        answers[name] = await shared.request('a', is_own=True)

    async with open_nursery() as nursery:
        nursery.start_soon(shared.run)
        await sleep(0)
        started_at = current_time()
        async with open_nursery() as callers:
            callers.start_soon(ask, 'first', 0)
            # The first request is on its way to the endpoint.
            callers.start_soon(ask, 'second', 0.5)
            callers.start_soon(ask, 'third', 0.9)
            callers.start_soon(ask, 'last', 1.5)
        nursery.cancel_scope.cancel()
    requested_s = {
        name: (answer or 0) - started_at for name, answer in answers.items()
    }
    assert requested_s == pytest.approx(
        {'first': 0, 'second': 1, 'third': 1, 'last': 2}
    )
    assert len(sent_at) == 3


@with_virtual_clock
async def test_cancelled_caller_ends_no_request_of_others() -> None:
    sent_at: list[float] = []

    async def fetch(subject: str) -> float:
        sent_at.append(current_time())
        await sleep(1)
        return sent_at[-1]

    shared = SharedRequests[float](
        fetch=fetch, interval_s=float, log=NullLog(), metrics=Metrics()
    )
    answers: list[float | None] = []

    async def ask() -> None:
        answers.append(await shared.request('a', is_own=True))

    async def ask_briefly() -> None:
        with move_on_after(0.5):
            await shared.request('a', is_own=True)

    async with open_nursery() as nursery:
        nursery.start_soon(shared.run)
        await sleep(0)
        async with open_nursery() as callers:
            callers.start_soon(ask_briefly)
            callers.start_soon(ask)
        # Nobody waits for the request after it.
        with move_on_after(0.5):
            await shared.request('a', is_own=True)
        await sleep(3)
        nursery.cancel_scope.cancel()
    assert len(sent_at) == 2
    assert answers == [sent_at[0]]


def play_loss(lost: str) -> tuple[Fleet, Readers]:
    """Lose a node for two seconds, while all nodes are in doubt."""
    fleet = Fleet(NODES)
    readers = Readers(fleet)
    nodes = {
        'relay': fleet.relays('dc-3')[:1],
        'relays': fleet.relays('dc-3')[:2],
        'gateway': fleet.gateways[:1],
    }
    lost_nodes = {each.node for each in nodes[lost]}

    async def scenario() -> None:
        async with running(fleet):
            await readers.read_everywhere(per_node=2, within_s=0.2)
            fleet.refusing.update(lost_nodes)
            fleet.requests.clear()
            fleet.beats = [
                each for each in fleet.beats if each.node not in lost_nodes
            ] + [each for each in fleet.beats if each.node in lost_nodes]
            readers.waits_s.clear()
            await read_elsewhere(readers, lost_nodes)

    run_virtual(scenario)
    return fleet, readers


async def read_elsewhere(readers: Readers, lost: set[str]) -> None:
    """Ask on all nodes that are not lost."""
    async with open_nursery() as nursery:
        for beat in readers.fleet.beats:
            if beat.node in lost:
                continue
            for _ in range(20):
                at = readers.fleet.random.random() * 2
                nursery.start_soon(readers.read, beat.node, at)


@pytest.mark.parametrize('lost', ['relay', 'gateway'])
def test_lost_node_is_replaced_by_the_next_in_time(lost: str) -> None:
    fleet, readers = play_loss(lost)
    assert not readers.unserved
    assert max(readers.waits_s) < 0.6
    # Only those that wait when the node is lost, and during its trials, wait
    # for longer than usual.
    assert sorted(readers.waits_s)[int(0.8 * len(readers.waits_s))] < 0.25
    if lost == 'relay':
        kinds = {kind for kind, _ in fleet.log.events}
        assert kinds == {'status_relay_failed'}


def test_lost_relay_gets_few_trials() -> None:
    fleet, _ = play_loss('relay')
    relay = fleet.relays('dc-3')[0].node
    by_node = [
        count
        for (_, target), count in fleet.requests.items()
        if target == relay
    ]
    # The first failure, and trials after growing pauses.
    assert by_node
    assert max(by_node) <= 5


def test_nodes_do_without_relays_that_are_all_lost() -> None:
    _, readers = play_loss('relays')
    assert readers.served > 0.95 * (readers.served + readers.unserved)
