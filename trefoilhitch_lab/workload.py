"""A steady workload of all tenants, and the outside record of it."""

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import pairwise
from random import Random
from typing import Any

from hdrh.histogram import HdrHistogram
from trio import current_time, open_nursery, sleep, sleep_until

from trefoilhitch.errors import (
    ConnectionLostError,
    RefusalError,
    UnreachableError,
)
from trefoilhitch_lab.caller import Caller, Fields
from trefoilhitch_lab.deployment import Tenant
from trefoilhitch_lab.ledger import Ledger

CLIENT_LATENCY_S = 0.001
TIMEOUT_MS = 5000
MAX_AGE_S = 2.0
GAP_FROM_S = 1.0
WRITE_SHARE = 0.2
TRANSACTION_SHARE = 0.1
STRICT_SHARE = 0.1
AGED_SHARE = 0.4
CREATE = 'CREATE TABLE orders (mark TEXT, session TEXT)'
INSERT = 'INSERT INTO orders VALUES (?, ?)'
COUNT_OWN = 'SELECT ?, count(*) FROM orders WHERE session = ?'
COUNT_ALL = 'SELECT ?, count(*) FROM orders'
ALL_MARKS = 'SELECT mark FROM orders'
_MS_PER_S = 1000
_US_PER_S = 1_000_000
_US_PER_MS = 1000


@dataclass(slots=True)
class Timeline:
    """When things were acknowledged and answered.

    Args:
        acked: times of acknowledged writes by service.
        served: times of answered statements by organisation.
        offered: times of statements sent by organisation.

    """

    acked: defaultdict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list),
    )
    served: defaultdict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list),
    )
    offered: defaultdict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list),
    )
    latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, 60 * _US_PER_S, 2),
    )

    def acked_before(self, service: str, at: float) -> int:
        """Return how many writes of a service were acknowledged by a time.

        Args:
            service: its name.
            at: monotonic time.

        Returns:
            The count.

        """
        return sum(each <= at for each in self.acked[service])

    def gap_s(self, service: str, at: float) -> float:
        """Return how long no write of a service was acknowledged.

        Args:
            service: its name.
            at: monotonic time at which the primary was lost.

        Returns:
            The longest time between two acknowledgements from just before the
            loss on; infinite if there was none after.

        """
        acked = [each for each in self.acked[service] if each > at - GAP_FROM_S]
        if not acked or max(acked) < at + GAP_FROM_S:
            return math.inf
        return max(later - earlier for earlier, later in pairwise(acked))

    def latency_ms(self, percentile: float) -> float:
        """Return a percentile of the latency of answered statements.

        Args:
            percentile: between 0 and 100.

        Returns:
            Milliseconds.

        """
        latency_us = self.latency.get_value_at_percentile(percentile)
        return float(latency_us) / _US_PER_MS


@dataclass(slots=True)
class Session:
    """A caller's session on one service.

    Args:
        name: its name.
        tenant: its organisation.
        service: the service it uses.
        caller: sends its requests.
        random: chooses what it does.
        ledger: the outside record.
        timeline: times of what happened.

    """

    name: str
    tenant: Tenant
    service: str
    caller: Caller
    random: Random
    ledger: Ledger
    timeline: Timeline
    acked: int = 0
    _number: int = 0

    async def step(self) -> None:
        """Do one thing: write, run a transaction, or read."""
        self._number += 1
        mark = f'{self.name}-{self._number}'
        draw = self.random.random()
        began = current_time()
        self.timeline.offered[self.tenant.name].append(began)
        self.ledger.sent()
        try:
            await self._act(mark, draw)
        except RefusalError as exc:
            written = mark if draw < WRITE_SHARE else ''
            self.ledger.refused(exc.code, exc.run, written)
            if isinstance(exc, (ConnectionLostError, UnreachableError)):
                self.ledger.cut_requests += exc.code == 'connection_lost'
            return
        now = current_time()
        self.timeline.served[self.tenant.name].append(now)
        latency_us = int((now - began) * _US_PER_S)
        self.timeline.latency.record_value(latency_us + 1)

    async def _act(self, mark: str, draw: float) -> None:
        if draw < WRITE_SHARE * TRANSACTION_SHARE:
            await self._transaction(mark)
        elif draw < WRITE_SHARE:
            await self._write(mark)
        else:
            await self._read(mark)

    async def _write(self, mark: str) -> None:
        await self._statement(
            {
                'sql': INSERT,
                'args': [mark, self.name],
                'access': 'write',
                'idempotency_key': mark,
            }
        )
        self._acknowledge(mark)

    async def _transaction(self, mark: str) -> None:
        named = {'idempotency_key': mark, 'timeout_ms': TIMEOUT_MS}
        opened = await self.caller.begin(self.service, named)
        fields = {'sql': INSERT, 'args': [mark, self.name], 'access': 'write'}
        run = f'{opened.transaction}/statements'
        await self.caller.in_transaction(self.service, run, fields)
        commit = f'{opened.transaction}/commit'
        await self.caller.in_transaction(self.service, commit, named)
        self._acknowledge(mark)

    async def _read(self, tag: str) -> None:
        draw = self.random.random()
        began = current_time()
        if draw < STRICT_SHARE:
            needed = self.timeline.acked_before(self.service, began)
            fields = _count_all(tag, 'strict')
        elif draw < STRICT_SHARE + AGED_SHARE:
            since = began - MAX_AGE_S
            needed = self.timeline.acked_before(self.service, since)
            fields = _count_all(tag, 'max_age')
        else:
            needed = self.acked
            fields = {'sql': COUNT_OWN, 'args': [tag, self.name]}
        reply = await self._statement(fields)
        eligible = draw >= STRICT_SHARE
        self.ledger.read(role=reply.role, eligible=eligible)
        if not reply.rows or reply.rows[0][0] != tag:
            self.ledger.wrong_answers += 1
        elif int(reply.rows[0][1] or 0) < needed:
            self.ledger.stale_reads += 1

    async def _statement(self, fields: Fields) -> Any:
        await sleep(CLIENT_LATENCY_S)
        timed = {**fields, 'timeout_ms': TIMEOUT_MS}
        reply = await self.caller.statement(self.service, timed)
        await sleep(CLIENT_LATENCY_S)
        return reply

    def _acknowledge(self, mark: str) -> None:
        self.acked += 1
        self.ledger.acknowledged(mark)
        self.timeline.acked[self.service].append(current_time())


@dataclass(slots=True)
class Workload:
    """Sessions of all tenants, each tenant at a share of its rate.

    Args:
        sessions: all sessions.
        offered_share: offered rate as a share of the declared one, by tenant.
        random: spreads the arrivals.
        until: monotonic time at which it ends.

    """

    sessions: Sequence[Session]
    offered_share: Callable[[Tenant], float]
    random: Random
    until: float

    async def run(self) -> None:
        """Run all sessions until the end, and wait for their answers."""
        counts = Counter(each.tenant.name for each in self.sessions)
        async with open_nursery() as nursery:
            for session in self.sessions:
                rate = session.tenant.rate * self.offered_share(session.tenant)
                interval = counts[session.tenant.name] / rate
                nursery.start_soon(self._drive, session, interval)

    async def _drive(self, session: Session, interval: float) -> None:
        due = current_time() + self.random.random() * interval
        while due < self.until:
            await sleep_until(due)
            await session.step()
            due = max(due + interval, current_time())
        session.caller.close()


def rate_excess(tenant: Tenant, served: Sequence[float]) -> float:
    """Return by how much any window exceeded rate and burst.

    Args:
        tenant: with its rate and burst.
        served: times of answered statements.

    Returns:
        The worst excess as a share of the burst; 0 if there is none.

    """
    level = float(tenant.burst)
    lowest = level
    last = min(served, default=0)
    for at in sorted(served):
        level = min(tenant.burst, level + (at - last) * tenant.rate)
        level -= 1
        lowest = min(lowest, level)
        last = at
    return max(0, -lowest) / tenant.burst


def _count_all(tag: str, freshness: str) -> Fields:
    fields: Fields = {'sql': COUNT_ALL, 'args': [tag], 'freshness': freshness}
    if freshness == 'max_age':
        fields['max_age_ms'] = int(MAX_AGE_S * _MS_PER_S)
    return fields
