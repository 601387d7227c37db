"""Fault scenarios: schedules of faults that occur during a workload."""

from typing import Protocol

from trio import current_time, sleep

from trefoilhitch_lab.stack import Stack

FAULT_DELAY_S = 5.0
PARTITION_S = 8.0
RESTART_DELAY_S = 3.0
DRAIN_PAUSE_S = 0.5
OUTAGE_S = 8.0


class Scenario(Protocol):
    """Injects faults while a workload runs."""

    primary_lost_at: float | None

    async def run(self, stack: Stack) -> None:
        """Inject the faults on schedule.

        Args:
            stack: stack to inject the faults into.

        """


class Steady:
    """Injects no fault."""

    primary_lost_at: float | None = None

    async def run(self, stack: Stack) -> None:
        """Do nothing.

        Args:
            stack: unused.

        """


class Failover:
    """Isolates a primary from the network for a while.

    Args:
        with_node: isolate a node of its data centre together with it.

    """

    def __init__(self, *, with_node: bool = False) -> None:
        """Start without a fault."""
        self.primary_lost_at: float | None = None
        self._with_node = with_node

    async def run(self, stack: Stack) -> None:
        """Partition the network, wait, and heal it.

        Args:
            stack: stack to inject the faults into.

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
    """Kills a node and restarts it under the same name."""

    primary_lost_at: float | None = None

    async def run(self, stack: Stack) -> None:
        """Kill a node, wait, and restart it.

        Args:
            stack: stack to inject the faults into.

        """
        await sleep(FAULT_DELAY_S)
        name = sorted(stack.nodes)[0]
        stack.kill_node(name)
        await sleep(RESTART_DELAY_S)
        stack.start_node(name)


class Drain:
    """Restarts all nodes gracefully, one after the other."""

    primary_lost_at: float | None = None

    async def run(self, stack: Stack) -> None:
        """Restart the nodes.

        Args:
            stack: stack whose nodes are restarted.

        """
        for name in sorted(stack.nodes):
            await sleep(DRAIN_PAUSE_S)
            await stack.stop_node(name)
            stack.start_node(name)


class StoreOutage:
    """Makes the object API refuse all requests for a while."""

    primary_lost_at: float | None = None

    async def run(self, stack: Stack) -> None:
        """Start the outage, wait, and end it.

        Args:
            stack: stack whose object API fails.

        """
        await sleep(FAULT_DELAY_S)
        stack.store.faults.outage = True
        await sleep(OUTAGE_S)
        stack.store.faults.outage = False
