"""What the log tells of fences that were lifted during a failover."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from trio import sleep

from tests import test_wire_failover as failover
from tests.support import run_virtual
from tests.test_fence_state import FENCED, TERM
from trefoilhitch.decision_log import NullLog
from trefoilhitch.pooler.fence_watch import (
    FencedProcess,
    FenceWatch,
    LiftCause,
    lift_cause,
)
from trefoilhitch.pooler.held_lease import HeldLease
from trefoilhitch.pooler.ports import EndpointStatus
from trefoilhitch.position import ORIGIN
from trefoilhitch_lab.wire_endpoint import WireEndpoint
from trefoilhitch_lab.wire_stack import WireStack, running_wire_stack

SERVICE = 'ledger'
LIFTED = replace(FENCED, fenced_term=0)
EMPTY = replace(LIFTED, term=0, position=ORIGIN)
CONFIRMED_AT = 5.0


class FenceLog(NullLog):
    """Keeps the events of lifted fences and of withheld promotions."""

    def __init__(self) -> None:
        """Start without events."""
        self.lifted: list[dict[str, Any]] = []
        self.withheld: list[dict[str, Any]] = []

    def event(self, kind: str, **fields: Any) -> None:
        """Keep an event."""
        if kind == 'fence_lifted':
            self.lifted.append(fields)
        if kind == 'promotion_withheld':
            self.withheld.append(fields)


@pytest.mark.parametrize(
    ('status', 'started_at_ms', 'connected_since', 'cause'),
    [
        # A process that answers on the connection that it had is the same.
        (LIFTED, 100, CONFIRMED_AT - 1, LiftCause.ORDER),
        (LIFTED, 101, CONFIRMED_AT - 1, LiftCause.ORDER),
        (LIFTED, 101, CONFIRMED_AT + 1, LiftCause.RESTART),
        (LIFTED, 101, None, LiftCause.RESTART),
        # The entry of the new start may be listed later.
        (EMPTY, 100, CONFIRMED_AT + 1, LiftCause.RESTART),
        (LIFTED, 100, CONFIRMED_AT + 1, LiftCause.UNKNOWN),
    ],
)
def test_restart_is_told_from_a_late_order(
    status: EndpointStatus,
    started_at_ms: int,
    connected_since: float | None,
    cause: LiftCause,
) -> None:
    fenced = FencedProcess(FENCED, 100, CONFIRMED_AT)
    assert cause == lift_cause(
        fenced,
        status,
        started_at_ms=started_at_ms,
        connected_since=connected_since,
    )


def observe(
    *answers: tuple[EndpointStatus, bool],
) -> tuple[FenceLog, FenceWatch]:
    """Let an endpoint report, each time with whether it needs a fence."""
    log = FenceLog()
    watch = FenceWatch(
        service=SERVICE,
        term=TERM,
        started_at_ms=lambda _: 100,
        connected_since=lambda _: None,
        log=log,
    )

    async def play() -> None:
        for status, needs_fence in answers:
            watch.observe('i-1', status, needs_fence=needs_fence)

    run_virtual(play)
    return log, watch


def test_lifted_fence_is_logged_once() -> None:
    log, watch = observe((FENCED, False), (LIFTED, True), (LIFTED, True))
    assert log.lifted == [
        {
            'service': SERVICE,
            'endpoint': 'i-1',
            'term': TERM,
            'cause': 'unknown',
            'fenced_position': FENCED.position,
            'status': LIFTED,
        }
    ]
    assert watch.lifted == {'i-1': LiftCause.UNKNOWN}


def test_fence_that_was_never_confirmed_was_not_lifted() -> None:
    log, watch = observe((LIFTED, True), (FENCED, False))
    assert not log.lifted
    assert not watch.lifted


def test_fence_that_stands_again_is_no_longer_lifted() -> None:
    log, watch = observe((FENCED, False), (LIFTED, True), (FENCED, False))
    assert len(log.lifted) == 1
    assert not watch.lifted


def resume(endpoint: WireEndpoint) -> None:
    """Carry out a RESUME of an earlier failover."""
    endpoint.terms.fenced = 0


def restart(endpoint: WireEndpoint) -> None:
    """Restart an endpoint that keeps its log, and close its connections."""
    endpoint.crash()
    endpoint.restart(keeps_log=True)


def lift_once(
    stack: WireStack,
    monkeypatch: pytest.MonkeyPatch,
    lift: Callable[[WireEndpoint], None],
) -> None:
    """Lift the fence of one replica when the first candidate is recorded."""
    record_usually = HeldLease.record_candidate
    pending = [stack.group.endpoints['ledger-2']]

    async def record_candidate(lease: HeldLease, endpoint: str) -> None:
        await record_usually(lease, endpoint)
        while pending:
            lift(pending.pop())
            stack.register_endpoints()
            # Until the nodes have read the entry.
            await sleep(0.5)

    monkeypatch.setattr(HeldLease, 'record_candidate', record_candidate)


@pytest.mark.parametrize(
    ('lift', 'cause'),
    [(resume, LiftCause.ORDER), (restart, LiftCause.RESTART)],
)
def test_log_tells_what_has_lifted_a_fence(
    monkeypatch: pytest.MonkeyPatch,
    lift: Callable[[WireEndpoint], None],
    cause: LiftCause,
) -> None:
    """Guards against failovers that stop for a reason that no log shows."""
    log = FenceLog()

    async def play() -> None:
        async with running_wire_stack(log=log) as stack:
            await sleep(failover.RECORDED_S)
            lift_once(stack, monkeypatch, lift)
            failover.primary_of(stack).crash()
            await failover.write_until_done(stack, 'after')

    run_virtual(play)
    assert [
        (each['service'], each['endpoint'], each['cause'])
        for each in log.lifted
    ] == [(SERVICE, 'ledger-2', cause.value)]
    assert log.withheld[0]['reason'] == 'a fence was lifted'
    assert log.withheld[0]['lifted'] == {'ledger-2': cause}
