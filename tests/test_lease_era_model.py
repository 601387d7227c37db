"""Random interleavings of failovers and restorations of the store.

Two nodes acquire the lease of a service, promote endpoints and restore the
lease; a third one uses the primary that a view of the leases permits. The store
is restored from older copies, and checks revisions, but not eras.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any
from unittest.mock import patch

import pytest

from trefoilhitch.pooler import lease as lease_module
from trefoilhitch.pooler.lease import (
    LEASE_DURATION_S,
    LEASE_MARGIN_S,
    LeaseListing,
    LeaseRecord,
    ObservedLease,
    is_same_version,
)
from trefoilhitch.pooler.lease_view import LeaseView, promotion_time

SERVICE = 'ledger'
SEEDS = 1000
# A write that replaces a lease of a later era is rare.
RARE_SEEDS = (5938, 11364)
STEPS = 120
COPY_AGE_STEPS = 30
RESTORATION_SHARE = 0.04
OTHER_WRITE_SHARE = 0.2
PAUSES_S = (0, 0, 0.1, 0.3, 0.6)


class ModelError(AssertionError):
    """An invariant does not hold."""


@dataclass
class Store:
    """The store with the lease, as copies can be made of it."""

    lease: LeaseRecord = LeaseRecord()
    revision: int = 1
    era: int = 1

    def read(self) -> LeaseRecord:
        """Return the lease with the era in which it is read."""
        return replace(self.lease, era=self.era)

    def write(self, lease: LeaseRecord) -> LeaseRecord | None:
        """Write the lease if its revision is the stored one."""
        if lease.revision != self.lease.revision:
            return None
        self.revision += 1
        self.lease = replace(lease, revision=self.revision, era=0)
        return self.read()


@dataclass
class Node:
    """What a node knows of the store and of its lease."""

    name: str
    era: int = 0
    era_seen_at: float = 0
    observed: ObservedLease | None = None
    held: LeaseRecord | None = None
    expires_at: float = 0
    promote_at: float = 0
    confirmed: tuple[LeaseRecord, str] | None = None
    era_confirmed_at: float = 0


@dataclass
class Model:
    """One run."""

    random: Random
    now: float = 0
    store: Store = field(default_factory=Store)
    copies: list[tuple[LeaseRecord, int]] = field(default_factory=list)
    nodes: tuple[Node, ...] = (Node('a'), Node('b'))
    primary: str = 'e-0'
    highest_token: int = 0
    holders: dict[int, str] = field(default_factory=dict)
    view: LeaseView = field(default_factory=LeaseView)
    believed: str = 'e-0'
    counts: dict[str, int] = field(default_factory=dict)

    def run(self) -> None:
        """Take random steps."""
        steps = (
            self.read,
            self.read,
            self.acquire,
            self.acquire,
            self.promote,
            self.promote,
            self.confirm,
            self.record,
        )
        for _ in range(STEPS):
            self.copies.append((self.store.lease, self.store.revision))
            self.now += self.random.choice(PAUSES_S)
            self.random.choice(steps)(self.random.choice(self.nodes))
            self.random.choice((self.observe_view, self.use, self.use))()
            if self.random.random() < RESTORATION_SHARE:
                self.restore()
            if self.random.random() < OTHER_WRITE_SHARE:
                self.store.revision += 1

    def read(self, node: Node) -> None:
        """Read the lease."""
        self.learn_era(node)
        record = self.store.read()
        known = node.observed
        if known is None or not is_same_version(known.record, record):
            node.observed = ObservedLease(record, self.now)

    def acquire(self, node: Node) -> None:
        """Acquire the lease if the rules allow it."""
        seen = node.observed
        if seen is None or node.era != seen.record.era:
            return
        if not lease_module.may_acquire(
            seen, node.name, self.now, node.era_seen_at
        ):
            return
        stored = self.write(
            node,
            replace(
                seen.record,
                token=lease_module.next_token(seen.record),
                holder=node.name,
                address=node.name,
                attempt=self.new_attempt(node),
            ),
        )
        if stored is None:
            return
        node.held = stored
        node.expires_at = self.now + LEASE_DURATION_S - LEASE_MARGIN_S
        node.promote_at = promotion_time(seen, self.now)

    def new_attempt(self, node: Node) -> str:
        """Return the id of a failover that begins."""
        return f'{node.name}/{self.now}'

    def promote(self, node: Node) -> None:
        """Command a promotion under the lease, then release it."""
        if not self.holds(node) or self.now < node.promote_at:
            return
        assert node.held is not None
        if sum(self.holds(each) for each in self.nodes) > 1:
            raise ModelError('two nodes hold the lease')
        self.check_token(node.held)
        self.primary = f'e-{self.now:.1f}'
        self.count('promoted')
        if node.held.era > 1:
            self.count('promoted in a later era')
        released = replace(
            node.held,
            holder='',
            address='',
            candidate='',
            primary=self.primary,
            term=node.held.term + 1,
        )
        self.write(node, released)
        node.held = None

    def check_token(self, held: LeaseRecord) -> None:
        """Check a token as the platform sees it."""
        first = self.holders.setdefault(held.token, held.attempt)
        if first != held.attempt:
            raise ModelError('one token for two attempts')
        if held.token < self.highest_token:
            raise ModelError('a holder has a token that is too low')
        self.highest_token = held.token

    def confirm(self, node: Node) -> None:
        """Confirm the primary of a lease that the store has lost."""
        seen = node.observed
        if seen is None or seen.record.belongs_to_era:
            return
        if seen.record.era == node.era and lease_module.may_acquire(
            seen, node.name, self.now, node.era_seen_at
        ):
            node.confirmed = (seen.record, self.primary)

    def record(self, node: Node) -> None:
        """Write a lost lease with the primary that was confirmed before."""
        if node.confirmed is None or node.confirmed[0].era != node.era:
            return
        lost, primary = node.confirmed
        node.confirmed = None
        restored = replace(
            lost,
            token=lease_module.next_token(lost),
            holder='',
            attempt=f'{node.name}/restored',
            primary=primary,
        )
        if self.write(node, restored) is not None:
            self.count('restored')

    def observe_view(self) -> None:
        """Read a view of the leases, and sometimes hear of the primary."""
        record = self.store.read()
        leases = {SERVICE: record} if record.revision else {}
        self.view = LeaseView(self.now, LeaseListing(leases, self.store.era))
        if self.random.random() < 0.3:
            self.believed = self.primary

    def use(self) -> None:
        """Use the primary that the reader knows, if the view permits it."""
        if not self.view.permits(SERVICE, self.believed, self.now):
            return
        self.count('permitted')
        if self.store.era > 1:
            self.count('permitted in a later era')
        if self.believed != self.primary:
            raise ModelError('a replaced primary is permitted')

    def restore(self) -> None:
        """Restore the store from a copy."""
        age = self.random.randint(1, COPY_AGE_STEPS)
        copy = self.copies[-age:][0]
        self.store = Store(*copy, era=self.store.era + 1)

    def write(self, node: Node, lease: LeaseRecord) -> LeaseRecord | None:
        """Write a lease unless the node knows that its era is over."""
        if self.now >= node.era_confirmed_at + lease_module.ERA_MAX_AGE_S:
            self.learn_era(node)
        if lease.era != node.era:
            return None
        stored = self.store.write(lease)
        self.learn_era(node)
        if stored is None or stored.era != lease.era:
            return None
        return stored

    def learn_era(self, node: Node) -> None:
        """Let a node know the era of the store."""
        node.era_confirmed_at = self.now
        if node.era != self.store.era:
            node.era = self.store.era
            node.era_seen_at = self.now

    def holds(self, node: Node) -> bool:
        """Return whether a node may act under the lease."""
        if node.held is None or node.held.era != node.era:
            return False
        return self.now < node.expires_at

    def count(self, name: str) -> None:
        """Count what a run has reached."""
        self.counts[name] = self.counts.get(name, 0) + 1


def search() -> dict[str, int]:
    """Run the model with all seeds; return what was reached."""
    totals: dict[str, int] = {}
    for seed in (*range(SEEDS), *RARE_SEEDS):
        model = Model(random=Random(seed), nodes=(Node('a'), Node('b')))
        model.run()
        for name, number in model.counts.items():
            totals[name] = totals.get(name, 0) + number
    return totals


def test_restored_store_breaks_the_exclusion_of_holders() -> None:
    reached = search()
    assert reached['promoted in a later era'] > 100
    assert reached['permitted in a later era'] > 100
    assert reached['restored'] > 100


def acquire_as_before(
    observed: ObservedLease, node: str, now: float, era_seen_at: float
) -> bool:
    """Take a missing lease for one that nobody holds."""
    if observed.record.holder in {'', node}:
        return True
    return now >= observed.first_seen_at + LEASE_DURATION_S


def count_as_before(lease: LeaseRecord) -> int:
    """Take the stored token for the highest."""
    return lease.token + 1


def always(lease: LeaseRecord) -> bool:
    """Take each lease for one of the present era."""
    return True


@pytest.mark.parametrize(
    ('name', 'mutation'),
    [
        ('may_acquire', acquire_as_before),
        ('next_token', count_as_before),
        ('LeaseRecord.belongs_to_era', property(always)),
        ('ERA_MAX_AGE_S', math.inf),
    ],
)
def test_model_detects_rules_without_eras(
    name: str, mutation: Callable[..., Any] | property | float
) -> None:
    with (
        patch(f'{lease_module.__name__}.{name}', mutation),
        pytest.raises(ModelError),
    ):
        search()
