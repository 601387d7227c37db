"""Promotion: when a primary counts as lost, and who succeeds it.

The order is fence, choose, promote, publish, as in Raft's elections: a majority
of endpoints that took a term refuses the older one, so that an older primary
can confirm nothing any more, and a majority's most advanced log has every
acknowledged write.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Literal, TypeAlias

from trefoilhitch._generated.record import (
    PromotionRecord,
    Sighting,
    SuspicionRecord,
    Vote,
)
from trefoilhitch.position import majority_size

SUSPICION_TIMEOUT_S = 1.5
RANK_DELAY_S = 1.0
SuspicionReason: TypeAlias = Literal[
    'primary_seen',
    'not_yet',
    'no_majority',
    'replicas_hear_primary',
    'fence_unresolved',
    'primary_leaving',
    'primary_lost',
]
ChoiceReason: TypeAlias = Literal[
    'most_advanced',
    'preferred',
    'no_majority',
]
NO_PRIMARY = ''
_MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Whether a monitor starts a promotion.

    Args:
        claim: start one now.
        reason: why, or why not.
        unseen_since: when the primary was first missed; None if it is seen.

    """

    claim: bool
    reason: SuspicionReason
    unseen_since: float | None


@dataclass(frozen=True, slots=True)
class Choice:
    """Who becomes primary.

    Args:
        primary: name of the endpoint; empty for none.
        reason: why.

    """

    primary: str
    reason: ChoiceReason


def evaluate_suspicion(
    sightings: Sequence[Sighting],
    *,
    unseen_since: float | None,
    rank: int,
    now: float,
) -> Suspicion:
    """Decide whether a monitor claims the next term.

    A primary counts as lost when a majority of the group has not heard it for
    the suspicion timeout, plus a delay for each monitor that ranks before this
    one: it cannot confirm anything then, even if this monitor still reaches it.
    A lossy link between monitor and primary alone leads to no promotion. A term
    that a claimant fenced and never finished is claimed anew, so that no
    endpoint stays fenced. A primary that is leaving is replaced by the first
    monitor as soon as a replica can take over.

    Args:
        sightings: each endpoint of the group, as last read.
        unseen_since: when the primary was first missed; None if it was seen.
        rank: how many monitors claim before this one.
        now: monotonic time.

    Returns:
        The decision.

    """
    silent_count = sum(
        each.silent_ms >= _suspicion_timeout_ms(rank) for each in sightings
    )
    if silent_count >= majority_size(len(sightings)):
        return Suspicion(claim=True, reason='primary_lost', unseen_since=None)
    primary = _reachable_primary(sightings)
    if primary is not None:
        return _evaluate_seen_primary(primary, sightings, rank)
    since = now if unseen_since is None else unseen_since
    timed_out = (now - since) * _MS_PER_S >= _suspicion_timeout_ms(rank)
    reason = _unseen_reason(sightings, timed_out=timed_out)
    return Suspicion(reason == 'fence_unresolved', reason, since)


def choose_primary(
    votes: Iterable[Vote],
    *,
    term: int,
    members: int,
    preferred: str = NO_PRIMARY,
    avoided: str = NO_PRIMARY,
) -> Choice:
    """Choose the new primary from the answers to a fence.

    Args:
        votes: an answer from each endpoint that gave one.
        term: the term that was claimed.
        members: size of the group.
        preferred: endpoint to take, for a planned switch-over, if it is the
            most advanced of some majority; what only others hold was never
            acknowledged.
        avoided: the primary that is being replaced, which counts only if there
            is no majority without it.

    Returns:
        The most advanced of a majority that took the term, else none.

    """
    accepted = [vote for vote in votes if vote.accepted and vote.term == term]
    needed = majority_size(members)
    if len(accepted) < needed:
        return Choice(NO_PRIMARY, 'no_majority')
    others = [vote for vote in accepted if vote.name != avoided]
    if len(others) >= needed:
        accepted = others
    covered_counts = {
        vote.name: _count_covered(vote, accepted) for vote in accepted
    }
    if covered_counts.get(preferred, 0) >= needed:
        return Choice(preferred, 'preferred')
    most_advanced = max(accepted, key=_log_end_and_name)
    return Choice(most_advanced.name, 'most_advanced')


def next_term(
    sightings: Iterable[Sighting], refused: Iterable[Vote] = ()
) -> int:
    """Return the term to claim.

    Args:
        sightings: each endpoint of the group, as last read.
        refused: answers to an earlier fence that named later terms.

    Returns:
        One more than any term seen.

    """
    seen = [sighting.term for sighting in sightings]
    seen.extend(vote.term for vote in refused)
    return max(seen, default=0) + 1


def replay_suspicion(record: SuspicionRecord) -> Suspicion:
    """Decide a recorded suspicion again.

    Args:
        record: the inputs of an earlier decision.

    Returns:
        The decision that the same inputs give now.

    """
    return evaluate_suspicion(
        record.sightings,
        unseen_since=record.unseen_since,
        rank=record.rank,
        now=record.at,
    )


def replay_promotion(record: PromotionRecord) -> Choice:
    """Decide a recorded promotion again.

    Args:
        record: the inputs of an earlier decision.

    Returns:
        The choice that the same inputs give now.

    """
    return choose_primary(
        record.votes,
        term=record.term,
        members=record.members,
        preferred=record.preferred,
        avoided=record.avoided,
    )


def newest_primary(sightings: Iterable[Sighting]) -> str:
    """Return the endpoint that is primary in the latest term.

    Args:
        sightings: each endpoint of the group, as last read.

    Returns:
        Its name; empty if none says that it is primary.

    """
    primaries = [each for each in sightings if each.role == 'primary']
    newest = max(primaries, key=_term, default=None)
    return newest.name if newest else NO_PRIMARY


def _reachable_primary(sightings: Iterable[Sighting]) -> Sighting | None:
    """Return the reachable primary of the latest term seen, if there is one."""
    known = list(sightings)
    term = max((each.term for each in known), default=0)
    for each in known:
        if each.reachable and each.role == 'primary' and each.term == term:
            return each
    return None


def _evaluate_seen_primary(
    primary: Sighting,
    sightings: Sequence[Sighting],
    rank: int,
) -> Suspicion:
    staying = [
        each
        for each in sightings
        if each.reachable and each.role == 'replica' and not each.leaving
    ]
    if primary.leaving and staying and not rank:
        return Suspicion(
            claim=True, reason='primary_leaving', unseen_since=None
        )
    return Suspicion(claim=False, reason='primary_seen', unseen_since=None)


def _unseen_reason(
    sightings: Sequence[Sighting], *, timed_out: bool
) -> SuspicionReason:
    reachable = [each for each in sightings if each.reachable]
    if len(reachable) < majority_size(len(sightings)):
        return 'no_majority'
    if not timed_out:
        return 'not_yet'
    if any(each.role == 'fenced' for each in reachable):
        return 'fence_unresolved'
    return 'replicas_hear_primary'


def _suspicion_timeout_ms(rank: int) -> float:
    return (SUSPICION_TIMEOUT_S + rank * RANK_DELAY_S) * _MS_PER_S


def _log_end_and_name(vote: Vote) -> tuple[int, int, str]:
    return vote.last_term, vote.last_position, vote.name


def _term(sighting: Sighting) -> int:
    return sighting.term


def _count_covered(vote: Vote, accepted: Sequence[Vote]) -> int:
    return sum(_log_end(other) <= _log_end(vote) for other in accepted)


def _log_end(vote: Vote) -> tuple[int, int]:
    return vote.last_term, vote.last_position
