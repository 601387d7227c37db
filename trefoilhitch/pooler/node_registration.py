"""Keeps the entry of this node in the store, so that new nodes find it."""

from collections.abc import Awaitable, Callable
from random import Random

from trio import current_time, sleep, sleep_forever

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.decision_log import DecisionLog
from trefoilhitch.errors import StoreError
from trefoilhitch.pooler.era_numbers import NO_ERA
from trefoilhitch.pooler.held_rates import HeldRates
from trefoilhitch.pooler.membership_view import MembershipView
from trefoilhitch.pooler.node_environment import NodeRegistry
from trefoilhitch.pooler.store_era import StoreEra

REGISTER_TIMEOUT_S = 1.5
REGISTER_RETRY_PAUSE_S = 0.7
# When all nodes start at the same time, the first listing lacks most of them.
SECOND_LISTING_PAUSE_S = 5.0
# Time over which the nodes write their entries again, for the store limits its
# writes per second.
REGISTER_SPREAD_S = 1.0


class NodeRegistration:
    """Writes this node's entry at its start, and whenever the store lost it.

    Args:
        registry: stores the entries of nodes.
        membership: the known nodes.
        rates: follow the number of nodes.
        store_era: era of the store.
        random: spreads the writes of many nodes.
        on_listed: called when the registered nodes have been read.
        log: records failures.

    """

    def __init__(
        self,
        *,
        registry: NodeRegistry,
        membership: MembershipView,
        rates: HeldRates,
        store_era: StoreEra,
        random: Random,
        on_listed: Callable[[], None],
        log: DecisionLog,
    ) -> None:
        """Start without an entry."""
        self._registry = registry
        self._membership = membership
        self._rates = rates
        self._store_era = store_era
        self._random = random
        self._on_listed = on_listed
        self._log = log
        # Era in which the entry was written.
        self._era = NO_ERA

    async def run(self) -> None:
        """Register, and register again in each later era of the store."""
        await self._retry(self._list_and_register)
        await self._list_nodes_again()
        while True:
            with self._store_era.cancel_when_over(self._era):
                await sleep_forever()
            await sleep(self._random.random() * REGISTER_SPREAD_S)
            await self._retry(self._register)

    async def deregister(self) -> None:
        """Remove the entry of this node, which stops."""
        deadline = current_time() + REGISTER_RETRY_PAUSE_S
        node = self._membership.heartbeat.node
        try:
            await self._registry.deregister(node, deadline)
        except StoreError as exc:
            self._log.event('deregister_failed', detail=str(exc))

    async def _retry(self, step: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await step()
            except StoreError as exc:
                self._log.event('register_failed', detail=str(exc))
                await sleep(REGISTER_RETRY_PAUSE_S)
            else:
                return

    async def _list_and_register(self) -> None:
        deadline = current_time() + REGISTER_TIMEOUT_S
        self._merge_nodes(await self._registry.list_nodes(deadline))
        await self._register()

    async def _register(self) -> None:
        own = self._membership.heartbeat
        if own.state == 'live':
            deadline = current_time() + REGISTER_TIMEOUT_S
            await self._registry.register(own, deadline)
        self._era = self._store_era.current

    async def _list_nodes_again(self) -> None:
        """Learn of the nodes that started at the same time."""
        await sleep(SECOND_LISTING_PAUSE_S)
        deadline = current_time() + REGISTER_TIMEOUT_S
        try:
            nodes = await self._registry.list_nodes(deadline, may_be_stale=True)
        except StoreError as exc:
            self._log.event('nodes_unread', detail=str(exc))
            return
        self._membership.merge(nodes)
        self._rates.refresh()

    def _merge_nodes(self, nodes: list[MemberBeat]) -> None:
        self._membership.merge(nodes)
        own = self._membership.heartbeat
        for heartbeat in nodes:
            if heartbeat.node == own.node:
                self._membership.set_incarnation(
                    max(own.incarnation, heartbeat.incarnation + 1)
                )
        self._membership.nodes_listed = True
        self._rates.refresh()
        self._on_listed()
