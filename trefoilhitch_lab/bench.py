"""The bench: scenarios at the users' sizes, checked by the outside record."""

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
from trefoilhitch_lab.caller import Caller
from trefoilhitch_lab.deployment import Deployment, Tenant
from trefoilhitch_lab.ledger import Ledger
from trefoilhitch_lab.scenario import (
    Drain,
    Failover,
    NodeLoss,
    Scenario,
    Steady,
    StoreOutage,
)
from trefoilhitch_lab.stack import Stack, running_stack
from trefoilhitch_lab.workload import (
    ALL_MARKS,
    CREATE,
    Session,
    Timeline,
    Workload,
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
_MEDIAN = 50
_TAIL = 99
_MS_PER_S = 1000


class BenchEntry(Struct, frozen=True, kw_only=True):
    """What one run of a scenario measured.

    Args:
        deployment: its name.
        scenario: its name.
        system: `trefoilhitch` or `baseline`.
        seed: all random choices followed from it.
        requests: requests sent.
        replica_read_share: share of the reads allowed to go to a replica.
        failover_gap_s: seconds without an acknowledged write; 0 if no primary
            was lost, None if there was no write after.
        worst_org_served_share: served over offered for the worst organisation.
        wrongful_refusals: refusals, while all organisations kept their rate.
        rate_excess: worst excess of any window over rate and burst.
        lost_acked_writes: acknowledged writes that are gone.
        duplicate_runs: requests that ran more than once.
        stale_reads: reads older than asked for.
        false_not_run: refused as not run, yet they ran.
        cut_requests: requests whose connection closed before the answer.
        wrong_answers: answers that belonged to another request.
        p50_ms: median latency, on the virtual clock.
        p99_ms: 99th percentile.
        proxy_cpu_ms_per_request: processor time of the whole process, with
            stand-ins and load, for each request.
        refusals: refusals by code.

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
    bench = _Bench(deployment, scenario, seed, system)
    return run(bench.run, clock=clock)


class _Bench:
    def __init__(
        self,
        deployment: Deployment,
        scenario: str,
        seed: int,
        system: str,
    ) -> None:
        self._deployment = deployment
        self._name = scenario
        self._scenario = SCENARIOS[scenario]()
        self._seed = seed
        self._system = system
        self._ledger = Ledger()
        self._timeline = Timeline()

    async def run(self) -> BenchEntry:
        running = SYSTEMS[self._system]
        async with running(self._deployment, seed=self._seed) as stack:
            await _create_tables(stack)
            cpu_before = time.process_time()
            workload = Workload(
                sessions=self._sessions(stack),
                offered_share=lambda _: OFFERED_SHARE,
                random=Random(self._seed),
                until=current_time() + DURATION_S,
            )
            async with open_nursery() as nursery:
                nursery.start_soon(self._scenario.run, stack)
                await workload.run()
            cpu_s = time.process_time() - cpu_before
            await sleep(SETTLE_S)
            return self._entry(stack, cpu_s)

    def _sessions(self, stack: Stack) -> list[Session]:
        deployment = self._deployment
        sessions = []
        for number in range(deployment.connections):
            tenant = deployment.tenants[number % len(deployment.tenants)]
            service = deployment.services[number % len(deployment.services)]
            random = Random(self._seed * _MS_PER_S + number)
            key = stack.keys[tenant.name].text
            sessions.append(
                Session(
                    name=f's{number}',
                    tenant=tenant,
                    service=service,
                    caller=Caller(
                        key,
                        stack.addresses,
                        random,
                        sticky=self._system != PRODUCT,
                    ),
                    random=random,
                    ledger=self._ledger,
                    timeline=self._timeline,
                ),
            )
        return sessions

    def _entry(self, stack: Stack, cpu_s: float) -> BenchEntry:
        verdict = self._ledger.verdict(_stored(stack))
        refused = sum(verdict.refusals.values())
        return BenchEntry(
            deployment=self._deployment.name,
            scenario=self._name,
            system=self._system,
            seed=self._seed,
            requests=verdict.requests,
            replica_read_share=round(verdict.replica_read_share, 4),
            failover_gap_s=self._gap_s(),
            worst_org_served_share=round(self._worst_share(), 4),
            wrongful_refusals=refused,
            rate_excess=max(map(self._excess, self._deployment.tenants)),
            lost_acked_writes=verdict.lost_acked_writes,
            duplicate_runs=verdict.duplicate_runs,
            stale_reads=verdict.stale_reads,
            false_not_run=verdict.false_not_run,
            cut_requests=self._ledger.cut_requests,
            wrong_answers=verdict.wrong_answers,
            p50_ms=self._timeline.latency_ms(_MEDIAN),
            p99_ms=self._timeline.latency_ms(_TAIL),
            proxy_cpu_ms_per_request=round(
                cpu_s * _MS_PER_S / verdict.requests,
                3,
            ),
            refusals=verdict.refusals,
        )

    def _gap_s(self) -> float | None:
        lost_at = self._scenario.lost_at
        if lost_at is None:
            return 0
        gap_s = self._timeline.gap_s(self._deployment.services[0], lost_at)
        return None if math.isinf(gap_s) else round(gap_s, 3)

    def _worst_share(self) -> float:
        return min(
            len(self._timeline.served[each.name])
            / max(1, len(self._timeline.offered[each.name]))
            for each in self._deployment.tenants
        )

    def _excess(self, tenant: Tenant) -> float:
        return rate_excess(tenant, self._timeline.served[tenant.name])


async def _create_tables(stack: Stack) -> None:
    tenant = stack.deployment.tenants[0].name
    caller = Caller(stack.keys[tenant].text, stack.addresses, Random(0))
    for service in stack.deployment.services:
        await caller.statement(service, {'sql': CREATE, 'access': 'write'})
    caller.close()


def _stored(stack: Stack) -> list[str]:
    marks: list[str] = []
    for service in stack.deployment.services:
        primary = stack.primary_of(service)
        if primary is not None:
            found = primary.database.read(ALL_MARKS, [])
            marks.extend(str(row[0]) for row in found.rows)
    return marks
