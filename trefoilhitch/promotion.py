"""Decisions of a failover: whether a primary is lost, and which one is next.

The order is fence, choose, promote, publish, as in elections of the Raft
algorithm. Once a majority of the endpoints has accepted a term, it rejects
older ones, so an older primary can no longer confirm anything. The most
advanced log of a majority holds every acknowledged write.
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
        claim: whether to start a promotion now.
        reason: reason for the decision.
        unseen_since: monotonic time in seconds since which no primary has been
            reachable; None if one is.

    """

    claim: bool
    reason: SuspicionReason
    unseen_since: float | None


@dataclass(frozen=True, slots=True)
class Choice:
    """The endpoint that becomes primary.

    Args:
        primary: name of the endpoint; empty for none.
        reason: reason for the choice.

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

    A primary counts as lost when a majority of the group has received nothing
    from it for the suspicion timeout, plus a delay for each monitor that ranks
    before this one. Such a primary cannot confirm anything, even if this
    monitor still reaches it. Packet loss between the monitor and the primary
    alone causes no promotion.

    If a claimant fenced endpoints and never finished the promotion, a new term
    is claimed, so that no endpoint stays fenced. A leaving primary is replaced
    by the first monitor as soon as a replica can take over.

    Args:
        sightings: state of each endpoint of the group at its last probe.
        unseen_since: monotonic time in seconds since which no primary has been
            reachable; None if one was at the last probe.
        rank: number of monitors that claim a term before this one.
        now: monotonic time in seconds.

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
    """Choose the new primary from the votes on a term.

    Args:
        votes: votes of the endpoints that responded.
        term: term that was claimed.
        members: number of endpoints in the group.
        preferred: endpoint to choose in a planned switchover, if its log is the
            most advanced of some majority. Later entries that only the others
            hold were never acknowledged.
        avoided: primary that is being replaced. Its vote counts only if there
            is no majority without it.

    Returns:
        The preferred endpoint, or the one with the most advanced log, if a
        majority accepted the term; otherwise none.

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
        sightings: state of each endpoint of the group at its last probe.
        refused: votes of an earlier attempt that report later terms.

    Returns:
        The highest reported term plus one.

    """
    seen = [sighting.term for sighting in sightings]
    seen.extend(vote.term for vote in refused)
    return max(seen, default=0) + 1


def replay_suspicion(record: SuspicionRecord) -> Suspicion:
    """Repeat a recorded suspicion decision.

    Args:
        record: inputs of the earlier decision.

    Returns:
        The decision that the current code makes on these inputs.

    """
    return evaluate_suspicion(
        record.sightings,
        unseen_since=record.unseen_since,
        rank=record.rank,
        now=record.at,
    )


def replay_promotion(record: PromotionRecord) -> Choice:
    """Repeat the choice of a recorded promotion.

    Args:
        record: inputs of the earlier decision.

    Returns:
        The choice that the current code makes on these inputs.

    """
    return choose_primary(
        record.votes,
        term=record.term,
        members=record.members,
        preferred=record.preferred,
        avoided=record.avoided,
    )


def newest_primary(sightings: Iterable[Sighting]) -> str:
    """Return the primary of the latest term.

    Args:
        sightings: state of each endpoint of the group at its last probe.

    Returns:
        Its name; empty if no endpoint reports the primary role.

    """
    primaries = [each for each in sightings if each.role == 'primary']
    newest = max(primaries, key=_term, default=None)
    return newest.name if newest else NO_PRIMARY


def _reachable_primary(sightings: Iterable[Sighting]) -> Sighting | None:
    """Return the primary of the latest reported term if it is reachable."""
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
