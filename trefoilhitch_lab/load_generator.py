"""Load at a constant rate on many connections to nodes or an endpoint."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Protocol

from hdrh.histogram import HdrHistogram
from msgspec import Struct
from msgspec.json import encode
from trio import current_time, open_nursery, sleep_until

from trefoilhitch._generated.endpoint import RunRequest
from trefoilhitch.clock import deadline_after_ms
from trefoilhitch.endpoint_client import HttpEndpointConnection
from trefoilhitch.errors import RefusalError
from trefoilhitch.http_client import HttpClient
from trefoilhitch.http_message import HttpRequest

READ_SHARE = 0.8
TIMEOUT_MS = 5000
CLOCK_TICKS_PER_S = 100
PRODUCT_COUNT = 1000
_HTTP_OK = 200
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_MEDIAN_PERCENTILE = 50
_TAIL_PERCENTILE = 99
_USER_TICKS_FIELD = 11
_SYSTEM_TICKS_FIELD = 12
READ_SQL = 'SELECT quantity FROM load WHERE product = ?'
WRITE_SQL = 'UPDATE load SET quantity = quantity + 1 WHERE product = ?'
CREATE_SQL = 'CREATE TABLE load (product INTEGER PRIMARY KEY, quantity INTEGER)'
FILL_SQL = (
    'INSERT INTO load WITH RECURSIVE numbers (n) AS '
    '(SELECT 0 UNION ALL SELECT n + 1 FROM numbers WHERE n < ?) '
    'SELECT n, 0 FROM numbers'
)


class LoadReport(Struct, frozen=True, kw_only=True):
    """Measurements of a load.

    Args:
        target: name of the target.
        seed: seed of all random choices.
        seconds: duration of the load.
        statements: number of successful statements.
        failures: number of statements refused or lost.
        statements_per_s: successful statements per second.
        p50_ms: median latency.
        p99_ms: 99th percentile of the latency.
        cpu_share: share of a CPU core used by the measured process.
        cpu_ms_per_statement: its CPU time per statement.
        memory_kb: its resident memory at the end, in kilobytes.

    """

    target: str
    seed: int
    seconds: float
    statements: int
    failures: int
    statements_per_s: float
    p50_ms: float
    p99_ms: float
    cpu_share: float
    cpu_ms_per_statement: float
    memory_kb: int


class Target(Protocol):
    """A connection on which the load runs statements."""

    async def run(self, *, write: bool, product: int) -> bool:
        """Run a statement.

        Args:
            write: whether to update the row instead of reading it.
            product: id of the row.

        Returns:
            True if the statement succeeded.

        """


class NodeTarget:
    """A connection to a node.

    Args:
        address: `ADDRESS:PORT`.
        key: API key of the organisation.
        service: service name.

    """

    def __init__(self, address: str, *, key: str, service: str) -> None:
        """Create the client without connecting."""
        self._client = HttpClient(address, max_idle=1)
        self._path = f'/v1/services/{service}/statements'
        self._headers = {'authorization': f'Bearer {key}'}

    async def run(self, *, write: bool, product: int) -> bool:
        """Run a statement."""
        body = encode(
            {
                'sql': WRITE_SQL if write else READ_SQL,
                'args': [product],
                'access': 'write' if write else 'read',
            }
        )
        req = HttpRequest('POST', self._path, self._headers, body)
        try:
            resp = await self._client.request(
                req, deadline_after_ms(TIMEOUT_MS)
            )
        except RefusalError:
            return False
        return resp.status == _HTTP_OK

    async def execute(self, sql: str, args: Sequence[int]) -> bool:
        """Run a write statement."""
        body = encode({'sql': sql, 'args': args, 'access': 'write'})
        req = HttpRequest('POST', self._path, self._headers, body)
        resp = await self._client.request(req, deadline_after_ms(TIMEOUT_MS))
        return resp.status == _HTTP_OK


@dataclass(slots=True)
class EndpointTarget:
    """A direct statement connection to an endpoint.

    Args:
        address: statement address of the endpoint.
        term: term of the endpoint.

    """

    address: str
    term: int
    _conn: HttpEndpointConnection | None = None

    async def run(self, *, write: bool, product: int) -> bool:
        """Run a statement."""
        deadline = deadline_after_ms(TIMEOUT_MS)
        if self._conn is None:
            self._conn = await HttpEndpointConnection.open(
                self.address,
                'load',
                deadline,
            )
        req = RunRequest(
            sql=WRITE_SQL if write else READ_SQL,
            term=self.term,
            args=[product],
            access='write' if write else 'read',
        )
        await self._conn.run(req, deadline)
        return True


@dataclass(slots=True)
class LoadGenerator:
    """Generates an open-loop load.

    Args:
        rate: statements per second on all connections together.
        seconds: duration of the load.
        seed: seed of all random choices.
        statements: number of successful statements so far.
        failures: number of statements refused or lost so far.

    """

    rate: float
    seconds: float
    seed: int
    statements: int = 0
    failures: int = 0
    _latency: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, 60 * _US_PER_S, 2),
    )

    async def run(self, targets: Sequence[Target]) -> None:
        """Run statements on all targets, each at its share of the rate.

        Args:
            targets: connections to use.

        """
        interval_s = len(targets) / self.rate
        async with open_nursery() as nursery:
            for number, target in enumerate(targets):
                offset_s = interval_s * number / len(targets)
                random = Random(self.seed + number)
                start_at = current_time() + offset_s
                nursery.start_soon(
                    self._send_statements, target, start_at, interval_s, random
                )

    def report(
        self,
        target: str,
        before: 'ProcessUsage',
        after: 'ProcessUsage',
    ) -> LoadReport:
        """Return the measurements.

        Args:
            target: name of the target.
            before: usage of the measured process before the load.
            after: usage of the measured process after the load.

        Returns:
            Measurements of the load.

        """
        cpu_s = after.cpu_s - before.cpu_s
        return LoadReport(
            target=target,
            seed=self.seed,
            seconds=self.seconds,
            statements=self.statements,
            failures=self.failures,
            statements_per_s=round(self.statements / self.seconds, 1),
            p50_ms=self._percentile_ms(_MEDIAN_PERCENTILE),
            p99_ms=self._percentile_ms(_TAIL_PERCENTILE),
            cpu_share=round(cpu_s / self.seconds, 3),
            cpu_ms_per_statement=round(1000 * cpu_s / self.statements, 3),
            memory_kb=after.memory_kb,
        )

    async def _send_statements(
        self,
        target: Target,
        due_at: float,
        interval_s: float,
        random: Random,
    ) -> None:
        end_at = due_at + self.seconds
        while due_at < end_at:
            await sleep_until(due_at)
            write = random.random() >= READ_SHARE
            answered = await target.run(
                write=write,
                product=random.randrange(PRODUCT_COUNT),
            )
            self._record(answered, current_time() - due_at)
            due_at += interval_s

    def _record(self, answered: bool, latency_s: float) -> None:
        if not answered:
            self.failures += 1
            return
        self.statements += 1
        self._latency.record_value(max(1, int(latency_s * _US_PER_S)))

    def _percentile_ms(self, percentile: float) -> float:
        return float(
            self._latency.get_value_at_percentile(percentile) / _US_PER_MS,
        )


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """CPU time and memory used by a process.

    Args:
        cpu_s: CPU time in seconds.
        memory_kb: resident memory in kilobytes.

    """

    cpu_s: float
    memory_kb: int

    @classmethod
    def read(cls, pid: int) -> 'ProcessUsage':
        """Read the resource usage of a local process.

        Args:
            pid: process id.

        Returns:
            Current usage.

        """
        stat = Path(f'/proc/{pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        ticks = (fields[_USER_TICKS_FIELD], fields[_SYSTEM_TICKS_FIELD])
        status = Path(f'/proc/{pid}/status').read_text()
        resident = status.partition('VmRSS:')[2].split()[0]
        return cls(sum(map(int, ticks)) / CLOCK_TICKS_PER_S, int(resident))
