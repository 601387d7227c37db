"""Seeded search over failovers: what clients saw compared with the logs.

A longer search by hand: FAILOVER_SEEDS=150, and FAILOVER_FIRST_SEED to go on.
"""

import os
from collections.abc import Awaitable, Callable
from functools import partial

import pytest
from trio import TooSlowError, sleep_forever
from trio.lowlevel import checkpoint

from tests.failover_faults import FAULT_KINDS, Faults
from tests.failover_play import play_failovers
from tests.failover_schedule import Fault, Schedule, draw_schedule
from tests.support import run_virtual
from trefoilhitch_lab.wire_endpoint import WireEndpoint
from trefoilhitch_lab.wire_group import WireGroup
from trefoilhitch_lab.wire_session import EndpointSession

SEEDS = int(os.environ.get('FAILOVER_SEEDS', '10'))
FIRST_SEED = int(os.environ.get('FAILOVER_FIRST_SEED', '0'))
# A crash that leads to one failover.
CRASH = Schedule(1, 3, (Fault(1, 'crash-primary', duration_s=4),))
LOST_COUNT = 5
DRAWN_SCHEDULES = 50


@pytest.mark.parametrize('seed', range(FIRST_SEED, FIRST_SEED + SEEDS))
def test_acknowledged_writes_survive_overlapping_faults(seed: int) -> None:
    """Guards against lost orders, untrue answers and a service that ends."""
    played = run_virtual(partial(play_failovers, draw_schedule(seed)))
    assert not played.breaks, played.report()
    assert played.acknowledged


def broken_rules() -> set[str]:
    """Return the names of the rules that a play of one crash breaks."""
    played = run_virtual(partial(play_failovers, CRASH))
    assert played.promotions
    return {each.partition(':')[0] for each in played.breaks}


def test_one_crash_breaks_no_rule() -> None:
    """Guards against checks that report what is allowed."""
    assert broken_rules() == set()


def test_checker_detects_lost_writes(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a checker that passes over lost writes."""
    promote = WireGroup.promote

    async def promote_shortened(group: WireGroup, endpoint: str) -> bool:
        candidate = group.endpoints[endpoint]
        candidate.log = candidate.log[:-LOST_COUNT]
        return await promote(group, endpoint)

    monkeypatch.setattr(WireGroup, 'promote', promote_shortened)
    assert 'LOST' in broken_rules()


def test_checker_detects_writes_that_ran_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a checker that passes over repeated writes."""
    commit = WireGroup.commit

    async def commit_twice(
        group: WireGroup,
        primary: WireEndpoint,
        writes: dict[str, str],
        request_ids: tuple[str, ...],
    ) -> None:
        await commit(group, primary, writes, request_ids)
        await commit(group, primary, writes, request_ids)

    monkeypatch.setattr(WireGroup, 'commit', commit_twice)
    assert 'TRUE' in broken_rules()


def test_checker_detects_untrue_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a checker that passes over refused writes that ran."""
    commit = EndpointSession._commit

    async def refuse_commit(session: EndpointSession) -> tuple[str, ...]:
        await commit(session)
        return ('ERROR MALFORMED refused',)

    monkeypatch.setattr(EndpointSession, '_commit', refuse_commit)
    assert 'TRUE' in broken_rules()


def test_checker_detects_nodes_that_do_not_serve(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a checker that passes over a service that has ended."""

    def crash_all(faults: Faults) -> None:
        for endpoint in faults.group.endpoints.values():
            endpoint.crash()

    monkeypatch.setattr(Faults, 'heal', crash_all)
    assert 'SERVED' in broken_rules()


async def run_for_ever(*_: object) -> None:
    """Keep a task ready, so that the clock stands still."""
    while True:
        await checkpoint()


async def wait_for_ever(*_: object) -> None:
    """Wait for what never happens."""
    await sleep_forever()


@pytest.mark.parametrize(
    ('play', 'expected'),
    [(run_for_ever, TimeoutError), (wait_for_ever, TooSlowError)],
)
def test_play_that_does_not_end_fails(
    monkeypatch: pytest.MonkeyPatch,
    play: Callable[..., Awaitable[None]],
    expected: type[Exception],
) -> None:
    """Guards against a search that hangs."""
    monkeypatch.setattr('tests.failover_play.REAL_BOUND_S', 2)
    monkeypatch.setattr('tests.failover_play.PLAY_BOUND_S', 8)
    monkeypatch.setattr(Faults, 'play', play)
    with pytest.raises(expected):
        run_virtual(partial(play_failovers, CRASH))


def test_schedules_contain_all_faults() -> None:
    """Guards against a search that never draws one of the faults."""
    schedules = [draw_schedule(seed) for seed in range(DRAWN_SCHEDULES)]
    faults = [fault for schedule in schedules for fault in schedule.faults]
    assert {fault.kind for fault in faults} == FAULT_KINDS
