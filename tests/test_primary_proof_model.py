"""Model search: no read is proved at a primary that was replaced before it.

Searches all interleavings of one failover, at most one restart of a replica's
fence, and one read. A view of the leases and statuses of the endpoints are
taken at any moment; the decisions are those of the nodes.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

import pytest

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.pooler.failover_decision import holds_every_commit
from trefoilhitch.pooler.lease import (
    LeaseListing,
    LeaseRecord,
    ObservedLease,
)
from trefoilhitch.pooler.lease_view import LeaseView, promotion_time
from trefoilhitch.pooler.ports import EndpointStatus
from trefoilhitch.pooler.primary_confirmation import is_confirmed

VIEW = 'trefoilhitch.pooler.lease_view'
CONFIRMATION = 'trefoilhitch.pooler.primary_confirmation'
STEP_S = 0.5
MAX_STEPS = 5
OLD, FIRST, SECOND = 'old', 'first', 'second'
REPLICAS = (FIRST, SECOND)
MEMBERS = (OLD, FIRST, SECOND)
NEVER = -1


@dataclass(frozen=True)
class State:
    """One state of the model; times are counted in steps, -1 for never.

    Args:
        now: present time.
        lease: 'idle', 'held' or 'promoted'.
        acquired_at: when the lease was acquired.
        demoted: whether the old primary was demoted.
        fenced: replicas that are fenced.
        replies: endpoints that confirmed a fence or a demotion.
        promoted_at: when the promotion took effect.
        heard: whether the other replica heard of it.
        viewed_at: when the reader read the leases.
        view: the lease that it saw.
        arrived_at: when the read arrived at its node.
        old_is_primary: status of the old primary after the arrival.
        confirmation: status of a replica after the arrival: its fence and
            its term.
        accepted: whether the read was answered.

    """

    now: int = 0
    lease: str = 'idle'
    acquired_at: int = NEVER
    demoted: bool = False
    fenced: frozenset[str] = frozenset()
    replies: frozenset[str] = frozenset()
    promoted_at: int = NEVER
    heard: bool = False
    viewed_at: int = NEVER
    view: str = 'idle'
    arrived_at: int = NEVER
    old_is_primary: bool | None = None
    confirmation: tuple[bool, int] | None = None
    accepted: bool = False


def steps(state: State) -> Iterator[State]:
    """Return the states that may follow."""
    if state.now < MAX_STEPS:
        yield replace(state, now=state.now + 1)
    yield from promoter_steps(state)
    yield from reader_steps(state)


def promoter_steps(state: State) -> Iterator[State]:
    """Return the next steps of the failover, or of giving it up."""
    if state.lease == 'idle':
        yield replace(state, lease='held', acquired_at=state.now)
    if state.lease != 'held':
        return
    for name in REPLICAS:
        if name not in state.fenced:
            yield replace(
                state,
                fenced=state.fenced | {name},
                replies=state.replies | {name},
            )
    if not state.demoted:
        yield replace(state, demoted=True, replies=state.replies | {OLD})
    if may_promote(state):
        # The old primary does not hear of it, the other replica may.
        promoted = replace(state, lease='promoted', promoted_at=state.now)
        yield promoted
        yield replace(promoted, heard=True, fenced=frozenset())
    if not state.demoted:
        yield replace(
            state, lease='idle', fenced=frozenset(), replies=frozenset()
        )


def may_promote(state: State) -> bool:
    """Return whether the holder may command the promotion of a replica."""
    seen = ObservedLease(LeaseRecord(), first_seen_at=0)
    allowed_at = promotion_time(seen, state.acquired_at * STEP_S)
    if state.now * STEP_S < allowed_at:
        return False
    return holds_every_commit(state.replies, OLD, MEMBERS, 1)


def reader_steps(state: State) -> Iterator[State]:
    """Return the next steps of the reader."""
    if state.arrived_at == NEVER:
        yield replace(state, viewed_at=state.now, view=state.lease)
        yield replace(state, arrived_at=state.now)
        return
    if state.accepted:
        return
    if state.old_is_primary is None:
        yield replace(state, old_is_primary=not state.demoted)
    for name in REPLICAS:
        if state.promoted_at == NEVER or name == SECOND:
            yield replace(state, confirmation=replica_status(state, name))
    if permits(state) or confirms(state):
        yield replace(state, accepted=True)


def replica_status(state: State, name: str) -> tuple[bool, int]:
    """Return the fence and the term that a replica reports now."""
    return name in state.fenced, 2 if state.heard else 1


def permits(state: State) -> bool:
    """Return whether the view of the leases permits the read."""
    if state.viewed_at == NEVER:
        return False
    lease = LeaseRecord(holder='' if state.view == 'idle' else 'promoter')
    view = LeaseView(state.viewed_at * STEP_S, LeaseListing({'ledger': lease}))
    return view.permits('ledger', OLD, state.now * STEP_S)


def confirms(state: State) -> bool:
    """Return whether the statuses prove the read."""
    if state.confirmation is None:
        return bool(state.old_is_primary) and is_confirmed(1, (), 1)
    fenced, term = state.confirmation
    status = EndpointStatus(
        is_primary=False,
        term=term,
        position=LogPosition(),
        fenced_term=2 if fenced else 0,
    )
    return bool(state.old_is_primary) and is_confirmed(1, (status,), 1)


def find_violation() -> State | None:
    """Search all states; return one in which an outdated read was accepted."""
    pending = deque([State()])
    seen = {State()}
    while pending:
        state = pending.popleft()
        if state.accepted and NEVER < state.promoted_at < state.arrived_at:
            return state
        for following in steps(state):
            if following not in seen:
                seen.add(following)
                pending.append(following)
    return None


def test_no_read_is_proved_at_a_primary_replaced_before_it() -> None:
    assert find_violation() is None


def promote_at_once(seen: ObservedLease, acquired_at: float) -> float:
    """Ignore the delay of a promotion."""
    return acquired_at


def ignore_holder(lease: LeaseRecord) -> bool:
    """Take each lease for idle."""
    return not lease.candidate


def ignore_fence(status: EndpointStatus, term: int) -> bool:
    """Let a fenced replica confirm its primary."""
    return status.term <= term


def ignore_term(status: EndpointStatus, term: int) -> bool:
    """Let a replica of a later term confirm an earlier primary."""
    return not status.fenced_term


def need_no_replica(sync_replicas: int) -> int:
    """Let a primary prove itself."""
    return 0


@pytest.mark.parametrize(
    ('target', 'mutation'),
    [
        (f'{__name__}.promotion_time', promote_at_once),
        (f'{VIEW}.is_idle', ignore_holder),
        (f'{CONFIRMATION}.replica_confirms', ignore_fence),
        (f'{CONFIRMATION}.replica_confirms', ignore_term),
        (f'{CONFIRMATION}.needed_confirmations', need_no_replica),
        (f'{VIEW}.PERMISSION_MARGIN_S', -1),
    ],
)
def test_broken_rule_is_detected(
    monkeypatch: pytest.MonkeyPatch,
    target: str,
    mutation: Callable[..., object] | float,
) -> None:
    monkeypatch.setattr(target, mutation)
    assert find_violation() is not None
