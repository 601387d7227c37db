"""Fault scenarios, each a schedule of what fails while a workload runs."""

from typing import Protocol

from trio import current_time, sleep

from trefoilhitch_lab.stack import Stack

FAULT_AT_S = 5.0
PRIMARY_CUT_S = 8.0
RESTART_AFTER_S = 3.0
DRAIN_PAUSE_S = 0.5
OUTAGE_S = 8.0


class Scenario(Protocol):
    """Breaks something while a workload runs."""

    lost_at: float | None

    async def run(self, stack: Stack) -> None:
        """Run the schedule.

        Args:
            stack: what to break.

        """


class Steady:
    """Breaks nothing."""

    lost_at: float | None = None

    async def run(self, stack: Stack) -> None:
        """Do nothing.

        Args:
            stack: what is left alone.

        """


class Failover:
    """Cuts a primary off, and lets it return.

    Args:
        with_node: cut a node of its data centre off together with it.

    """

    def __init__(self, *, with_node: bool = False) -> None:
        """Start before the fault."""
        self.lost_at: float | None = None
        self._with_node = with_node

    async def run(self, stack: Stack) -> None:
        """Cut, wait, heal.

        Args:
            stack: what to break.

        """
        await sleep(FAULT_AT_S)
        primary = stack.primary_of(stack.deployment.services[0])
        if primary is None:
            return
        self.lost_at = current_time()
        everyone = {*stack.endpoints, *stack.nodes, 'store'}
        island = {primary.name}
        if self._with_node:
            island.add(stack.node_beside(primary.name))
        stack.network.cut(island, everyone - island)
        await sleep(PRIMARY_CUT_S)
        stack.network.heal()


class NodeLoss:
    """Kills a node, and starts it anew under its old name."""

    lost_at: float | None = None

    async def run(self, stack: Stack) -> None:
        """Kill, wait, restart.

        Args:
            stack: what to break.

        """
        await sleep(FAULT_AT_S)
        name = sorted(stack.nodes)[0]
        stack.kill_node(name)
        await sleep(RESTART_AFTER_S)
        stack.start_node(name)


class Drain:
    """Stops and restarts every node gracefully, one after the other."""

    lost_at: float | None = None

    async def run(self, stack: Stack) -> None:
        """Restart the nodes.

        Args:
            stack: whose nodes are restarted.

        """
        for name in sorted(stack.nodes):
            await sleep(DRAIN_PAUSE_S)
            await stack.stop_node(name)
            stack.start_node(name)


class StoreOutage:
    """Makes the object API refuse every call for a while."""

    lost_at: float | None = None

    async def run(self, stack: Stack) -> None:
        """Begin the outage, wait, end it.

        Args:
            stack: whose store fails.

        """
        await sleep(FAULT_AT_S)
        stack.store.faults.outage = True
        await sleep(OUTAGE_S)
        stack.store.faults.outage = False
