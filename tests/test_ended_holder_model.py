"""Random interleavings of failovers that end without releasing their lease.

Beside the steps of `test_lease_era_model`, failovers end while a write of the
lease, a promotion command or a control statement is in flight. A node that
finds such a lease asks the holder whether the failover still runs, and acquires
it if not.
"""

import math
from contextlib import ExitStack
from dataclasses import dataclass, field, replace
from random import Random
from unittest.mock import patch

import pytest

from tests.test_lease_era_model import Model, ModelError, Node
from trefoilhitch.pooler import lease as lease_module
from trefoilhitch.pooler.failover_runner import FENCE_TIME_S
from trefoilhitch.pooler.lease import LeaseRecord, ObservedLease
from trefoilhitch.pooler.lease_view import PROMOTION_DELAY_S, is_idle
from trefoilhitch.pooler.running_attempts import RunningAttempts

SEEDS = 2000
END_SHARE = 0.1
LATE_SHARE = 0.5
DELIVERY_SHARE = 0.3
NO_ANSWER_SHARE = 0.3
# Longest time that a write is in flight.
LATE_WRITE_S = 0.6
# Longest time that a control statement is in flight.
LATE_CONTROL_S = 0.6
MIN_REACHED = 100


@dataclass
class Process:
    """The process of a node, as far as other nodes can ask it."""

    attempts: RunningAttempts = field(default_factory=RunningAttempts)
    running: ExitStack = field(default_factory=ExitStack)

    def begin(self, attempt: str) -> None:
        """Run an attempt, which ends the one before."""
        self.running.close()
        self.running.enter_context(self.attempts.running(attempt))


@dataclass
class HolderModel(Model):
    """One run with holders that end."""

    processes: dict[str, Process] = field(default_factory=dict)
    late_writes: list[tuple[float, LeaseRecord]] = field(default_factory=list)
    late_commands: list[tuple[int, str]] = field(default_factory=list)
    late_controls: list[tuple[float, str]] = field(default_factory=list)
    attempt_count: int = 0

    def run(self) -> None:
        """Take random steps."""
        self.processes = {node.name: Process() for node in self.nodes}
        super().run()

    def new_attempt(self, node: Node) -> str:
        """Return the id of a failover that begins, and let it run.

        A process runs one failover of a service at a time.
        """
        self.end_failover(node)
        self.attempt_count += 1
        attempt = f'{node.name}/{self.attempt_count}'
        self.processes[node.name].begin(attempt)
        return attempt

    def read(self, node: Node) -> None:
        """Read the lease, beside messages and failovers that end."""
        if self.random.random() < DELIVERY_SHARE:
            self.deliver_write()
        if self.random.random() < DELIVERY_SHARE:
            self.deliver_command()
        if self.random.random() < END_SHARE:
            self.end_failover(self.random.choice(self.nodes))
        super().read(node)

    def acquire(self, node: Node) -> None:
        """Ask the holder, then acquire the lease if the rules allow it."""
        self.ask_holder(node)
        seen = node.observed
        before = node.held
        super().acquire(node)
        if node.held is None or node.held is before:
            return
        if sum(self.holds(each) for each in self.nodes) > 1:
            raise ModelError('two nodes hold the lease')
        self.check_controls(node)
        if seen is not None and seen.has_ended:
            self.count('acquired of an ended failover')

    def promote(self, node: Node) -> None:
        """Command a promotion; the failover ends with its release."""
        was_held = node.held is not None
        super().promote(node)
        if was_held and node.held is None:
            self.processes[node.name].running.close()

    def ask_holder(self, node: Node) -> None:
        """Ask the holder of a lease whether its failover runs."""
        seen = node.observed
        if seen is None or self.random.random() < NO_ANSWER_SHARE:
            return
        if not lease_module.may_ask_holder(
            seen, node.name, node.name, self.now, -math.inf
        ):
            return
        holder = self.processes[seen.record.address]
        if not holder.attempts.is_running(seen.record.attempt):
            node.observed = replace(seen, has_ended=True)

    def end_failover(self, node: Node) -> None:
        """End a failover, or the process, while a message is in flight."""
        held = node.held
        if held is None:
            return
        if self.holds(node):
            self.late_controls.append((self.now, node.name))
        if self.holds(node) and self.now >= node.promote_at:
            self.leave_command(node, held)
        elif self.random.random() < LATE_SHARE:
            released = replace(held, holder='', address='')
            self.late_writes.append((self.now, released))
        node.held = None
        process = self.processes[node.name]
        process.running.close()
        if self.random.random() < LATE_SHARE:
            self.processes[node.name] = Process()

    def leave_command(self, node: Node, held: LeaseRecord) -> None:
        """Record a candidate, and leave its promotion in flight."""
        candidate = f'late-{self.attempt_count}'
        stored = self.write(node, replace(held, candidate=candidate))
        if stored is not None:
            self.late_commands.append((stored.token, candidate))

    def deliver_write(self) -> None:
        """Let a write of a failover that has ended arrive, or lose it."""
        if not self.late_writes:
            return
        sent_at, lease = self.late_writes.pop(0)
        is_late = self.now >= sent_at + LATE_WRITE_S
        if is_late or lease.era != self.store.era:
            return
        if self.store.write(lease) is not None:
            self.count('released late')

    def deliver_command(self) -> None:
        """Let a promotion command of a failover that has ended arrive."""
        if not self.late_commands:
            return
        token, candidate = self.late_commands.pop(0)
        if token < self.highest_token:
            self.count('command refused')
            return
        self.highest_token = token
        self.primary = candidate
        self.count('command took effect')

    def check_controls(self, node: Node) -> None:
        """Check that no earlier control statement arrives after a fence.

        Control statements carry no token, so that endpoints obey them. A node
        pauses between its own failovers.
        """
        fenced_at = max(self.now, node.promote_at - FENCE_TIME_S)
        for sent_at, sender in self.late_controls:
            arrives_at = sent_at + LATE_CONTROL_S
            if sender == node.name or arrives_at <= self.now:
                continue
            self.count('acquired before a control statement arrived')
            if arrives_at > fenced_at:
                raise ModelError('a fence of the holder was lifted')


def search() -> dict[str, int]:
    """Run the model with all seeds; return what was reached."""
    totals: dict[str, int] = {}
    for seed in range(SEEDS):
        model = HolderModel(random=Random(seed), nodes=(Node('a'), Node('b')))
        model.run()
        for name, number in model.counts.items():
            totals[name] = totals.get(name, 0) + number
    return totals


def test_ended_holder_acts_beside_its_successor() -> None:
    """Guards against two nodes that act as holders of one lease."""
    reached = search()
    for name in (
        'acquired of an ended failover',
        'released late',
        'command refused',
        'command took effect',
        'acquired before a control statement arrived',
        'promoted in a later era',
    ):
        assert reached[name] > MIN_REACHED, reached


def deny(attempts: RunningAttempts, attempt: str) -> bool:
    """Deny each failover."""
    return False


def test_model_detects_a_holder_that_denies_a_running_failover() -> None:
    with (
        patch.object(RunningAttempts, 'is_running', deny),
        pytest.raises(ModelError),
    ):
        search()


def count_from_first_read(seen: ObservedLease, acquired_at: float) -> float:
    """Treat an ended attempt like one that still runs."""
    last_idle = acquired_at if is_idle(seen.record) else seen.first_seen_at
    return last_idle + PROMOTION_DELAY_S


def test_model_detects_a_delay_that_began_before_the_acquisition() -> None:
    with (
        patch(f'{Model.__module__}.promotion_time', count_from_first_read),
        pytest.raises(ModelError, match='fence'),
    ):
        search()
