"""A steady workload of all tenants, recorded in a request history."""

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
from trefoilhitch_lab.deployment import Tenant
from trefoilhitch_lab.request_history import RequestHistory
from trefoilhitch_lab.session_client import Fields, SessionClient

CLIENT_LATENCY_S = 0.001
TIMEOUT_MS = 5000
MAX_AGE_S = 2.0
GAP_MARGIN_S = 1.0
WRITE_SHARE = 0.2
TRANSACTION_SHARE = 0.1
STRICT_READ_SHARE = 0.1
MAX_AGE_READ_SHARE = 0.4
CREATE_ORDERS = 'CREATE TABLE orders (mark TEXT, session TEXT)'
INSERT_ORDER = 'INSERT INTO orders VALUES (?, ?)'
COUNT_SESSION_ORDERS = 'SELECT ?, count(*) FROM orders WHERE session = ?'
COUNT_ALL_ORDERS = 'SELECT ?, count(*) FROM orders'
ALL_MARKS = 'SELECT mark FROM orders'
_MS_PER_S = 1000
_US_PER_S = 1_000_000
_US_PER_MS = 1000


@dataclass(slots=True)
class Timeline:
    """Times and latencies of the requests of a workload.

    Args:
        acknowledged: times of acknowledged writes by service.
        served: times of successful statements by organisation.
        offered: times of statements sent by organisation.
        latency: latencies of successful statements in microseconds.

    """

    acknowledged: defaultdict[str, list[float]] = field(
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

    def acknowledged_before(self, service: str, at: float) -> int:
        """Return how many writes were acknowledged until a time.

        Args:
            service: service name.
            at: monotonic time.

        Returns:
            The count.

        """
        return sum(each <= at for each in self.acknowledged[service])

    def write_gap_s(self, service: str, at: float) -> float:
        """Return the longest gap between acknowledged writes of a service.

        Args:
            service: service name.
            at: monotonic time at which the primary was lost.

        Returns:
            Longest time between two acknowledgements, starting shortly before
            the loss; infinite if no write was acknowledged after it.

        """
        acknowledged = [
            each
            for each in self.acknowledged[service]
            if each > at - GAP_MARGIN_S
        ]
        if not acknowledged or max(acknowledged) < at + GAP_MARGIN_S:
            return math.inf
        return max(later - earlier for earlier, later in pairwise(acknowledged))

    def latency_ms(self, percentile: float) -> float:
        """Return a percentile of the latency of successful statements.

        Args:
            percentile: between 0 and 100.

        Returns:
            Milliseconds.

        """
        latency_us = self.latency.get_value_at_percentile(percentile)
        return float(latency_us) / _US_PER_MS


@dataclass(slots=True)
class WorkloadSession:
    """A client session that uses one service.

    Args:
        name: prefix of the ids of its requests.
        tenant: organisation that it belongs to.
        service: service name.
        client: sends its requests.
        random: chooses the operations.
        history: records requests and responses.
        timeline: records times and latencies.
        acknowledged_count: how many of its writes were acknowledged.

    """

    name: str
    tenant: Tenant
    service: str
    client: SessionClient
    random: Random
    history: RequestHistory
    timeline: Timeline
    acknowledged_count: int = 0
    _operation_number: int = 0

    async def run_operation(self) -> None:
        """Run one randomly chosen write, transaction or read."""
        self._operation_number += 1
        mark = f'{self.name}-{self._operation_number}'
        choice = self.random.random()
        started_at = current_time()
        self.timeline.offered[self.tenant.name].append(started_at)
        self.history.record_request()
        try:
            await self._run_choice(mark, choice)
        except RefusalError as exc:
            written = mark if choice < WRITE_SHARE else ''
            self.history.record_refusal(exc.code, exc.run, written)
            if isinstance(exc, (ConnectionLostError, UnreachableError)):
                self.history.cut_requests += exc.code == 'connection_lost'
            return
        now = current_time()
        self.timeline.served[self.tenant.name].append(now)
        latency_us = int((now - started_at) * _US_PER_S)
        self.timeline.latency.record_value(latency_us + 1)

    async def _run_choice(self, mark: str, choice: float) -> None:
        if choice < WRITE_SHARE * TRANSACTION_SHARE:
            await self._run_transaction(mark)
        elif choice < WRITE_SHARE:
            await self._write(mark)
        else:
            await self._read(mark)

    async def _write(self, mark: str) -> None:
        await self._run_statement(
            {
                'sql': INSERT_ORDER,
                'args': [mark, self.name],
                'access': 'write',
                'idempotency_key': mark,
            }
        )
        self._record_write(mark)

    async def _run_transaction(self, mark: str) -> None:
        key_fields = {'idempotency_key': mark, 'timeout_ms': TIMEOUT_MS}
        transaction = await self.client.begin_transaction(
            self.service, key_fields
        )
        fields = {
            'sql': INSERT_ORDER,
            'args': [mark, self.name],
            'access': 'write',
        }
        step = f'{transaction.transaction}/statements'
        await self.client.continue_transaction(self.service, step, fields)
        commit = f'{transaction.transaction}/commit'
        await self.client.continue_transaction(self.service, commit, key_fields)
        self._record_write(mark)

    async def _read(self, tag: str) -> None:
        choice = self.random.random()
        started_at = current_time()
        if choice < STRICT_READ_SHARE:
            minimum_count = self.timeline.acknowledged_before(
                self.service, started_at
            )
            fields = _count_all(tag, 'strict')
        elif choice < STRICT_READ_SHARE + MAX_AGE_READ_SHARE:
            oldest_allowed = started_at - MAX_AGE_S
            minimum_count = self.timeline.acknowledged_before(
                self.service, oldest_allowed
            )
            fields = _count_all(tag, 'max_age')
        else:
            minimum_count = self.acknowledged_count
            fields = {'sql': COUNT_SESSION_ORDERS, 'args': [tag, self.name]}
        reply = await self._run_statement(fields)
        eligible = choice >= STRICT_READ_SHARE
        self.history.record_read(role=reply.role, eligible=eligible)
        if not reply.rows or reply.rows[0][0] != tag:
            self.history.wrong_answers += 1
        elif int(reply.rows[0][1] or 0) < minimum_count:
            self.history.stale_reads += 1

    async def _run_statement(self, fields: Fields) -> Any:
        await sleep(CLIENT_LATENCY_S)
        request_fields = {**fields, 'timeout_ms': TIMEOUT_MS}
        reply = await self.client.run_statement(self.service, request_fields)
        await sleep(CLIENT_LATENCY_S)
        return reply

    def _record_write(self, mark: str) -> None:
        self.acknowledged_count += 1
        self.history.record_write(mark)
        self.timeline.acknowledged[self.service].append(current_time())


@dataclass(slots=True)
class Workload:
    """Runs sessions of all tenants, each at a share of its rate limit.

    Args:
        sessions: sessions of all tenants.
        offered_share: returns the offered share of a tenant's rate limit.
        random: draws the start time of each session.
        end_at: monotonic time at which the workload ends.

    """

    sessions: Sequence[WorkloadSession]
    offered_share: Callable[[Tenant], float]
    random: Random
    end_at: float

    async def run(self) -> None:
        """Run all sessions until the end and wait for pending responses."""
        counts = Counter(each.tenant.name for each in self.sessions)
        async with open_nursery() as nursery:
            for session in self.sessions:
                rate = session.tenant.rate * self.offered_share(session.tenant)
                interval_s = counts[session.tenant.name] / rate
                nursery.start_soon(self._run_session, session, interval_s)

    async def _run_session(
        self, session: WorkloadSession, interval_s: float
    ) -> None:
        due_at = current_time() + self.random.random() * interval_s
        while due_at < self.end_at:
            await sleep_until(due_at)
            await session.run_operation()
            due_at = max(due_at + interval_s, current_time())
        session.client.close()


def rate_excess(tenant: Tenant, served: Sequence[float]) -> float:
    """Return by how much the served statements exceeded rate and burst.

    Args:
        tenant: organisation with its rate and burst.
        served: times of successful statements.

    Returns:
        Largest excess as a share of the burst, 0 if there is none.

    """
    tokens = float(tenant.burst)
    lowest_tokens = tokens
    previous_at = min(served, default=0)
    for served_at in sorted(served):
        tokens = min(
            tenant.burst, tokens + (served_at - previous_at) * tenant.rate
        )
        tokens -= 1
        lowest_tokens = min(lowest_tokens, tokens)
        previous_at = served_at
    return max(0, -lowest_tokens) / tenant.burst


def _count_all(tag: str, freshness: str) -> Fields:
    fields: Fields = {
        'sql': COUNT_ALL_ORDERS,
        'args': [tag],
        'freshness': freshness,
    }
    if freshness == 'max_age':
        fields['max_age_ms'] = int(MAX_AGE_S * _MS_PER_S)
    return fields
