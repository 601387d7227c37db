"""Fault scenarios, each a schedule of what fails while a workload runs."""

from typing import Protocol

from trio import current_time, sleep

from trefoilhitch_lab.stack import Stack

FAULT_DELAY_S = 5.0
PARTITION_S = 8.0
RESTART_DELAY_S = 3.0
DRAIN_PAUSE_S = 0.5
OUTAGE_S = 8.0


class Scenario(Protocol):
    """Breaks something while a workload runs."""

    primary_lost_at: float | None

    async def run(self, stack: Stack) -> None:
        """Run the schedule.

        Args:
            stack: what to break.

        """


class Steady:
    """Breaks nothing."""

    primary_lost_at: float | None = None

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
        self.primary_lost_at: float | None = None
        self._with_node = with_node

    async def run(self, stack: Stack) -> None:
        """Cut, wait, heal.

        Args:
            stack: what to break.

        """
        await sleep(FAULT_DELAY_S)
        primary = stack.primary_of(stack.deployment.services[0])
        if primary is None:
            return
        self.primary_lost_at = current_time()
        all_processes = {*stack.endpoints, *stack.nodes, 'store'}
        isolated = {primary.name}
        if self._with_node:
            isolated.add(stack.node_in_same_data_centre(primary.name))
        stack.network.cut(isolated, all_processes - isolated)
        await sleep(PARTITION_S)
        stack.network.heal()


class NodeLoss:
    """Kills a node, and starts it anew under its old name."""

    primary_lost_at: float | None = None

    async def run(self, stack: Stack) -> None:
        """Kill, wait, restart.

        Args:
            stack: what to break.

        """
        await sleep(FAULT_DELAY_S)
        name = sorted(stack.nodes)[0]
        stack.kill_node(name)
        await sleep(RESTART_DELAY_S)
        stack.start_node(name)


class Drain:
    """Stops and restarts every node gracefully, one after the other."""

    primary_lost_at: float | None = None

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

    primary_lost_at: float | None = None

    async def run(self, stack: Stack) -> None:
        """Begin the outage, wait, end it.

        Args:
            stack: whose store fails.

        """
        await sleep(FAULT_DELAY_S)
        stack.store.faults.outage = True
        await sleep(OUTAGE_S)
        stack.store.faults.outage = False
