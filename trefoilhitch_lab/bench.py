"""The bench: scenarios at the sizes of users, with consistency checks."""

import math
import time
from collections.abc import Callable, Mapping
from contextlib import AbstractAsyncContextManager
from functools import partial
from random import Random
from types import MappingProxyType

from msgspec import Struct
from trio import current_time, open_nursery, run, sleep
from trio.testing import MockClock

from trefoilhitch_lab.baseline_stack import running_baseline
from trefoilhitch_lab.deployment import Deployment, Tenant
from trefoilhitch_lab.request_history import RequestHistory
from trefoilhitch_lab.scenario import (
    Drain,
    Failover,
    NodeLoss,
    Scenario,
    Steady,
    StoreOutage,
)
from trefoilhitch_lab.session_client import SessionClient
from trefoilhitch_lab.stack import Stack, running_stack
from trefoilhitch_lab.workload import (
    ALL_MARKS,
    CREATE_ORDERS,
    Timeline,
    Workload,
    WorkloadSession,
    rate_excess,
)

PRODUCT = 'trefoilhitch'
SYSTEMS: Mapping[str, Callable[..., AbstractAsyncContextManager[Stack]]] = (
    MappingProxyType({PRODUCT: running_stack, 'baseline': running_baseline})
)
DURATION_S = 20.0
SETTLE_S = 4.0
OFFERED_SHARE = 0.6
SCENARIOS: Mapping[str, Callable[[], Scenario]] = MappingProxyType(
    {
        'steady': Steady,
        'failover': Failover,
        'island': partial(Failover, with_node=True),
        'node_loss': NodeLoss,
        'drain': Drain,
        'store_outage': StoreOutage,
    }
)
_MEDIAN_PERCENTILE = 50
_TAIL_PERCENTILE = 99
_MS_PER_S = 1000


class BenchEntry(Struct, frozen=True, kw_only=True):
    """Measurements of one run of a scenario.

    Args:
        deployment: deployment name.
        scenario: scenario name.
        system: `trefoilhitch` or `baseline`.
        seed: seed of all random choices.
        requests: number of requests sent.
        replica_read_share: share of eligible reads that a replica served.
        failover_gap_s: longest time without an acknowledged write; 0 if no
            primary was lost, None if no write was acknowledged after the loss.
        worst_org_served_share: served share of offered statements, lowest
            of all organisations.
        wrongful_refusals: refusals, while all organisations stayed below
            their rate.
        rate_excess: largest excess over rate and burst, as a share of the
            burst.
        lost_acked_writes: acknowledged writes missing in the database.
        duplicate_runs: requests executed more than once.
        stale_reads: reads older than the requested freshness allows.
        false_not_run: refusals that reported `run: no` for executed requests.
        cut_requests: requests whose connection closed before the response.
        wrong_answers: responses that belong to another request.
        p50_ms: median latency, on the virtual clock.
        p99_ms: 99th percentile of the latency.
        proxy_cpu_ms_per_request: CPU time of the whole process per request,
            including the simulated platform and the load.
        refusals: number of refusals by code.

    """

    deployment: str
    scenario: str
    system: str
    seed: int
    requests: int
    replica_read_share: float
    failover_gap_s: float | None
    worst_org_served_share: float
    wrongful_refusals: int
    rate_excess: float
    lost_acked_writes: int
    duplicate_runs: int
    stale_reads: int
    false_not_run: int
    cut_requests: int
    wrong_answers: int
    p50_ms: float
    p99_ms: float
    proxy_cpu_ms_per_request: float
    refusals: dict[str, int]


def run_scenario(
    deployment: Deployment,
    scenario: str,
    seed: int,
    system: str = PRODUCT,
) -> BenchEntry:
    """Run a scenario on the virtual clock.

    Args:
        deployment: what to build.
        scenario: its name.
        seed: all random choices follow from it.
        system: `trefoilhitch` or `baseline`.

    Returns:
        What was measured.

    """
    clock = MockClock(autojump_threshold=0)
    bench = _BenchRun(deployment, scenario, seed, system)
    return run(bench.run, clock=clock)


class _BenchRun:
    def __init__(
        self,
        deployment: Deployment,
        scenario: str,
        seed: int,
        system: str,
    ) -> None:
        self._deployment = deployment
        self._scenario_name = scenario
        self._scenario = SCENARIOS[scenario]()
        self._seed = seed
        self._system = system
        self._history = RequestHistory()
        self._timeline = Timeline()

    async def run(self) -> BenchEntry:
        running_system = SYSTEMS[self._system]
        async with running_system(self._deployment, seed=self._seed) as stack:
            await _create_tables(stack)
            cpu_before = time.process_time()
            workload = Workload(
                sessions=self._create_sessions(stack),
                offered_share=lambda _: OFFERED_SHARE,
                random=Random(self._seed),
                end_at=current_time() + DURATION_S,
            )
            async with open_nursery() as nursery:
                nursery.start_soon(self._scenario.run, stack)
                await workload.run()
            cpu_s = time.process_time() - cpu_before
            await sleep(SETTLE_S)
            return self._create_entry(stack, cpu_s)

    def _create_sessions(self, stack: Stack) -> list[WorkloadSession]:
        deployment = self._deployment
        sessions = []
        for number in range(deployment.client_connections):
            tenant = deployment.tenants[number % len(deployment.tenants)]
            service = deployment.services[number % len(deployment.services)]
            random = Random(self._seed * _MS_PER_S + number)
            key = stack.keys[tenant.name].text
            sessions.append(
                WorkloadSession(
                    name=f's{number}',
                    tenant=tenant,
                    service=service,
                    client=SessionClient(
                        key,
                        stack.addresses,
                        random,
                        sticky=self._system != PRODUCT,
                    ),
                    random=random,
                    history=self._history,
                    timeline=self._timeline,
                ),
            )
        return sessions

    def _create_entry(self, stack: Stack, cpu_s: float) -> BenchEntry:
        report = self._history.check(_stored_marks(stack))
        refused = sum(report.refusals.values())
        return BenchEntry(
            deployment=self._deployment.name,
            scenario=self._scenario_name,
            system=self._system,
            seed=self._seed,
            requests=report.requests,
            replica_read_share=round(report.replica_read_share, 4),
            failover_gap_s=self._failover_gap_s(),
            worst_org_served_share=round(self._worst_served_share(), 4),
            wrongful_refusals=refused,
            rate_excess=max(map(self._rate_excess, self._deployment.tenants)),
            lost_acked_writes=report.lost_acked_writes,
            duplicate_runs=report.duplicate_runs,
            stale_reads=report.stale_reads,
            false_not_run=report.false_not_run,
            cut_requests=self._history.cut_requests,
            wrong_answers=report.wrong_answers,
            p50_ms=self._timeline.latency_ms(_MEDIAN_PERCENTILE),
            p99_ms=self._timeline.latency_ms(_TAIL_PERCENTILE),
            proxy_cpu_ms_per_request=round(
                cpu_s * _MS_PER_S / report.requests,
                3,
            ),
            refusals=report.refusals,
        )

    def _failover_gap_s(self) -> float | None:
        primary_lost_at = self._scenario.primary_lost_at
        if primary_lost_at is None:
            return 0
        gap_s = self._timeline.write_gap_s(
            self._deployment.services[0], primary_lost_at
        )
        return None if math.isinf(gap_s) else round(gap_s, 3)

    def _worst_served_share(self) -> float:
        return min(
            len(self._timeline.served[each.name])
            / max(1, len(self._timeline.offered[each.name]))
            for each in self._deployment.tenants
        )

    def _rate_excess(self, tenant: Tenant) -> float:
        return rate_excess(tenant, self._timeline.served[tenant.name])


async def _create_tables(stack: Stack) -> None:
    tenant = stack.deployment.tenants[0].name
    client = SessionClient(stack.keys[tenant].text, stack.addresses, Random(0))
    for service in stack.deployment.services:
        await client.run_statement(
            service, {'sql': CREATE_ORDERS, 'access': 'write'}
        )
    client.close()


def _stored_marks(stack: Stack) -> list[str]:
    marks: list[str] = []
    for service in stack.deployment.services:
        primary = stack.primary_of(service)
        if primary is not None:
            marks_read = primary.database.read(ALL_MARKS, [])
            marks.extend(str(row[0]) for row in marks_read.rows)
    return marks
