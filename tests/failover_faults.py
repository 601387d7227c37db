"""Carries out the faults of a schedule in a running stack."""

from collections.abc import Awaitable, Callable, Iterable
from types import MappingProxyType

from trio import (
    Nursery,
    current_time,
    move_on_after,
    open_nursery,
    sleep,
    sleep_until,
)

from tests.failover_schedule import Fault
from tests.group_changes import leave
from tests.test_wire_failover import lease_holder
from trefoilhitch_lab.wire_endpoint import WireEndpoint
from trefoilhitch_lab.wire_stack import DATA_CENTRES, WireNode, WireStack

# Time after which the entry of an endpoint that is down expires.
ENTRY_EXPIRES_S = 3.0
# How long an operator waits for others to hold what a leaving endpoint holds.
DRAIN_TIMEOUT_S = 5.0
# Replicas that an operator leaves running.
MIN_REPLICAS = 2
MAX_ENDPOINTS = 7
POLL_S = 0.02
# How long a fault waits for a failover before it begins without one.
LEASE_WAIT_S = 4.0
FIRST_NEW_NUMBER = 10
# More commands than a play sends.
ALL_COMMANDS = 1000


class Faults:
    """Faults in a running stack.

    Args:
        stack: the running stack.
        nursery: runs the endpoints that join.

    """

    def __init__(self, stack: WireStack, nursery: Nursery) -> None:
        """Start without faults."""
        self.events: list[str] = []
        self._stack = stack
        self.group = stack.group
        self._nursery = nursery
        self._joined = 0

    async def play(self, faults: Iterable[Fault]) -> None:
        """Carry out faults until all have ended.

        Args:
            faults: the faults.

        """
        began_at = current_time()
        self._nursery.start_soon(self._record_promotions)
        async with open_nursery() as nursery:
            for fault in faults:
                await sleep_until(began_at + fault.at_s)
                nursery.start_soon(self._carry_out, fault)

    def heal(self) -> None:
        """End all faults."""
        self._note('healed')
        self._stack.silent_peers.clear()
        self._stack.promotions.faults.late_commands = 0
        for running in self._stack.nodes.values():
            running.cuts.endpoints.clear()
            running.cuts.control.clear()
            _heal_store(running)
        for each in self.group.endpoints.values():
            each.faults.cut_from_group = False
            each.faults.late_orders = {}

    async def cut_primary(self, fault: Fault) -> None:
        """Cut the primary off from the statements of some nodes."""
        primary = self.group.primary
        if primary is None:
            return
        cut_nodes = self._concerned_nodes(fault)
        is_complete = fault.kind == 'cut-primary'
        cuts = [
            each.cuts.endpoints if is_complete else each.cuts.control
            for each in cut_nodes
        ]
        self._note(f'{fault.kind} {primary.endpoint} {_names(cut_nodes)}')
        for begun in cuts:
            begun.add(primary.endpoint)
        await sleep(fault.duration_s)
        for ended in cuts:
            ended.discard(primary.endpoint)
        self._note(f'end of {fault.kind} {primary.endpoint}')

    async def crash_primary(self, fault: Fault) -> None:
        """Crash the primary, and start it again with its log."""
        if self.group.primary is not None:
            await self._crash(self.group.primary, fault.duration_s)

    async def crash_replica(self, fault: Fault) -> None:
        """Crash a replica, and start it again with its log."""
        chosen = _choose(fault, self._live_replicas())
        if chosen is not None:
            await self._crash(chosen, fault.duration_s)

    async def split_primary(self, fault: Fault) -> None:
        """Cut the primary off from its replicas."""
        if self.group.primary is not None:
            await self._split(self.group.primary, fault.duration_s)

    async def split_replica(self, fault: Fault) -> None:
        """Let a replica receive no commits."""
        chosen = _choose(fault, self._live_replicas())
        if chosen is not None:
            await self._split(chosen, fault.duration_s)

    async def drain_primary(self, fault: Fault) -> None:
        """Announce that the primary will leave, and withdraw this later."""
        primary = self.group.primary
        if primary is None or primary.faults.down:
            return
        self._list_as(primary, 'draining')
        await sleep(fault.duration_s)
        if not primary.faults.down:
            self._list_as(primary, 'ready')

    async def expire_primary(self, fault: Fault) -> None:
        """Let the primary's entry expire, and write it again later."""
        primary = self.group.primary
        if primary is None or primary.faults.down:
            return
        name = primary.endpoint
        self._note(f'expire {name}')
        self._stack.unlisted.add(name)
        self._stack.store_state.remove('servers', name)
        await sleep(fault.duration_s)
        self._stack.unlisted.discard(name)
        if not primary.faults.down:
            self._list_as(primary, 'ready')

    async def join(self, fault: Fault) -> None:
        """Start a replica that receives commits before it is listed."""
        if len(self.group.endpoints) >= MAX_ENDPOINTS:
            return
        name = f'{self.group.service}-{FIRST_NEW_NUMBER + self._joined}'
        place = DATA_CENTRES[self._joined % len(DATA_CENTRES)]
        self._joined += 1
        joining = WireEndpoint(self.group, name, place)
        await joining.start(self._nursery)
        self._stack.unlisted.add(name)
        self.group.endpoints[name] = joining
        self.group.catch_up(joining)
        self._note(f'join {name}')
        await sleep(fault.duration_s)
        self._stack.unlisted.discard(name)
        if not joining.faults.down:
            self._list_as(joining, 'ready')

    async def leave(self, fault: Fault) -> None:
        """Drain a replica, and end it once others hold what it holds."""
        replicas = self._listed(self._live_replicas())
        leaving = _choose(fault, replicas)
        if leaving is None or len(replicas) <= MIN_REPLICAS:
            return
        self._list_as(leaving, 'draining')
        await sleep(fault.duration_s)
        waited_until = current_time() + DRAIN_TIMEOUT_S
        while not self._may_leave(leaving):
            if current_time() > waited_until:
                if not leaving.faults.down:
                    self._list_as(leaving, 'ready')
                return
            await sleep(POLL_S)
        self._note(f'leave {leaving.endpoint} {leaving.position}')
        leave(self._stack, leaving.endpoint)

    async def delay_orders(self, fault: Fault) -> None:
        """Carry control orders out late."""
        endpoints = list(self.group.endpoints.values())
        chosen = _choose(fault, endpoints)
        if chosen is not None and fault.kind == 'late-orders-of-one':
            endpoints = [chosen]
        names = ' '.join(each.endpoint for each in endpoints)
        verbs = ' '.join(fault.verbs)
        self._note(f'late {verbs} by {fault.delay_s:.2f} at {names}')
        for each in endpoints:
            each.faults.late_orders = dict.fromkeys(fault.verbs, fault.delay_s)
        await sleep(fault.duration_s)
        for one in endpoints:
            one.faults.late_orders = {}
        self._note(f'end of late {verbs} at {names}')

    async def delay_promotion(self, fault: Fault) -> None:
        """Carry promotion commands out late."""
        faults = self._stack.promotions.faults
        faults.late_commands = ALL_COMMANDS
        faults.late_command_delay_s = fault.delay_s
        self._note(f'late promotions by {fault.delay_s:.2f}')
        await sleep(fault.duration_s)
        faults.late_commands = 0
        self._note('end of late promotions')

    async def kill_node(self, fault: Fault) -> None:
        """Kill a node, and start it again."""
        name = f'node-{fault.nodes[0]}' if fault.nodes else ''
        name = name or lease_holder(self._stack)
        if name not in self._stack.nodes or len(self._stack.nodes) == 1:
            return
        self._note(f'kill {name}')
        self._stack.kill_node(name)
        await sleep(fault.duration_s)
        await self._stack.start_node(name)
        self._note(f'start {name}')

    async def cut_nodes(self, fault: Fault) -> None:
        """Let nodes answer no other node."""
        names = {each.cfg.node for each in self._concerned_nodes(fault)}
        self._note(f'cut-nodes {sorted(names)}')
        self._stack.silent_peers |= names
        await sleep(fault.duration_s)
        self._stack.silent_peers -= names
        self._note(f'end of cut-nodes {sorted(names)}')

    async def fail_store(self, fault: Fault) -> None:
        """Let the store fail, be silent or be slow for some nodes."""
        concerned = self._concerned_nodes(fault)
        self._note(f'{fault.kind} {fault.delay_s:.2f} {_names(concerned)}')
        for each in concerned:
            faults = each.store.faults
            faults.outage = fault.kind == 'store-outage'
            faults.silent = fault.kind == 'store-silent'
            faults.silent_watches = fault.kind == 'store-no-watch'
            is_slow = fault.kind == 'store-slow'
            faults.delay_s = fault.delay_s if is_slow else 0
        await sleep(fault.duration_s)
        for healed in concerned:
            _heal_store(healed)
        self._note(f'end of {fault.kind} {_names(concerned)}')

    async def _carry_out(self, fault: Fault) -> None:
        if fault.after_lease_s is not None:
            with move_on_after(LEASE_WAIT_S):
                while not lease_holder(self._stack):
                    await sleep(POLL_S)
            await sleep(fault.after_lease_s)
        await _ACTIONS[fault.kind](self, fault)

    async def _crash(self, endpoint: WireEndpoint, duration_s: float) -> None:
        if endpoint.faults.down:
            return
        name = endpoint.endpoint
        self._note(f'crash {name} {endpoint.position}')
        endpoint.crash()
        await sleep(min(duration_s, ENTRY_EXPIRES_S))
        if duration_s > ENTRY_EXPIRES_S:
            self._stack.store_state.remove('servers', name)
            self._stack.unlisted.add(name)
            await sleep(duration_s - ENTRY_EXPIRES_S)
            self._stack.unlisted.discard(name)
        endpoint.restart(keeps_log=True)
        self._note(f'restart {name} {endpoint.position}')
        if name not in self._stack.unlisted:
            self._list_as(endpoint, 'ready')

    async def _split(self, endpoint: WireEndpoint, duration_s: float) -> None:
        self._note(f'split {endpoint.endpoint} {endpoint.position}')
        endpoint.faults.cut_from_group = True
        await sleep(duration_s)
        endpoint.faults.cut_from_group = False
        self._note(f'end of split {endpoint.endpoint}')

    async def _record_promotions(self) -> None:
        """Note each command, and each promotion that took effect."""
        promotions = self._stack.promotions
        received, completed = 0, 0
        while True:
            for command in promotions.received[received:]:
                self._note(f'commanded {command}')
            for done in promotions.completed[completed:]:
                self._note(f'promoted {done.endpoint} token {done.token}')
            received = len(promotions.received)
            completed = len(promotions.completed)
            await sleep(POLL_S)

    def _list_as(self, endpoint: WireEndpoint, state: str) -> None:
        """Write the entry of an endpoint that is in the group."""
        name = endpoint.endpoint
        if self.group.endpoints.get(name) is not endpoint:
            return
        self._note(f'list {name} {state}')
        self._stack.entry_states[name] = state
        entry = self._stack.endpoint_entry(name)
        self._stack.store_state.put('servers', name, entry)

    def _may_leave(self, leaving: WireEndpoint) -> bool:
        """Return whether enough others run, and one has the whole log."""
        if leaving.is_primary or leaving.faults.down:
            return False
        if self.group.primary is None:
            return False
        others = [
            each
            for each in self._listed(self._live_replicas())
            if each is not leaving
            and self._stack.entry_states.get(each.endpoint) != 'draining'
        ]
        holders = [
            each
            for each in others
            if each.log[: len(leaving.log)] == leaving.log
        ]
        return len(others) >= MIN_REPLICAS and bool(holders)

    def _live_replicas(self) -> list[WireEndpoint]:
        return [
            each
            for each in self.group.endpoints.values()
            if not (each.is_primary or each.faults.down)
        ]

    def _listed(self, endpoints: list[WireEndpoint]) -> list[WireEndpoint]:
        unlisted = self._stack.unlisted
        return [each for each in endpoints if each.endpoint not in unlisted]

    def _concerned_nodes(self, fault: Fault) -> list[WireNode]:
        names = [f'node-{number}' for number in fault.nodes]
        nodes = self._stack.nodes
        return [nodes[name] for name in names if name in nodes]

    def _note(self, text: str) -> None:
        self.events.append(f'{current_time():7.3f} {text}')


_Action = Callable[[Faults, Fault], Awaitable[None]]
_ACTIONS: MappingProxyType[str, _Action] = MappingProxyType(
    {
        'cut-primary': Faults.cut_primary,
        'cut-control': Faults.cut_primary,
        'crash-primary': Faults.crash_primary,
        'split-primary': Faults.split_primary,
        'expire-primary': Faults.expire_primary,
        'drain-primary': Faults.drain_primary,
        'crash-replica': Faults.crash_replica,
        'split-replica': Faults.split_replica,
        'join': Faults.join,
        'leave': Faults.leave,
        'late-orders': Faults.delay_orders,
        'late-orders-of-one': Faults.delay_orders,
        'late-promotion': Faults.delay_promotion,
        'kill-node': Faults.kill_node,
        'kill-holder': Faults.kill_node,
        'cut-nodes': Faults.cut_nodes,
        'store-outage': Faults.fail_store,
        'store-silent': Faults.fail_store,
        'store-slow': Faults.fail_store,
        'store-no-watch': Faults.fail_store,
    }
)
FAULT_KINDS = frozenset(_ACTIONS)


def _choose(fault: Fault, endpoints: list[WireEndpoint]) -> WireEndpoint | None:
    if not endpoints:
        return None
    return endpoints[int(fault.pick * len(endpoints))]


def _heal_store(running: WireNode) -> None:
    faults = running.store.faults
    faults.outage = False
    faults.silent = False
    faults.silent_watches = False
    faults.delay_s = 0


def _names(nodes: list[WireNode]) -> str:
    return ' '.join(each.cfg.node for each in nodes)
