"""Decides when a primary has to be replaced, and by which endpoint.

All commits that the old primary acknowledged must be in the log of the new
one. A commit is acknowledged once the primary and `sync_replicas` replicas
hold it, so a set of fenced endpoints holds every acknowledged commit if it
contains the primary, or all but `sync_replicas - 1` of the replicas.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.pooler.endpoint_record import EndpointRecord
from trefoilhitch.pooler.primary_tracker import Primary
from trefoilhitch.position import at_least

# Age of the newest proof after which the primary is probed.
PROOF_REQUEST_AFTER_S = 0.45
# Time without a response to any node after which the primary is replaced.
SILENCE_TIMEOUT_S = 1.2
# A primary that responds, but has acknowledged no commit since one was sent
# this long ago, is cut off from its replicas.
COMMIT_STALL_TIMEOUT_S = 1.3
# A promotion is delayed after its lease was acquired, so a node acquires the
# lease before it is certain.
PREPARE_SILENCE_S = 0.45
PREPARE_STALL_S = 1.0
MIN_FENCED = 2


@dataclass(frozen=True, slots=True)
class FailoverTimeouts:
    """How long the signs of a lost primary have to last.

    Args:
        silence_s: time without a response, in seconds.
        stall_s: time without an acknowledged commit, in seconds.

    """

    silence_s: float = SILENCE_TIMEOUT_S
    stall_s: float = COMMIT_STALL_TIMEOUT_S


REPLACE_TIMEOUTS = FailoverTimeouts()
PREPARE_TIMEOUTS = FailoverTimeouts(PREPARE_SILENCE_S, PREPARE_STALL_S)


class FailoverReason(Enum):
    """Reason for a failover."""

    SILENT = 'silent'
    STALLED = 'stalled'
    LEAVING = 'leaving'
    EVACUATED = 'evacuated'
    GONE = 'gone'
    NO_PRIMARY = 'none_leads'
    UNFINISHED = 'unfinished'


@dataclass(frozen=True, slots=True)
class PrimaryEvidence:
    """What the nodes together know about failures of a service's primary.

    Args:
        unanswered_since: when the first of the unanswered requests was sent,
            None if the last one was answered.
        unacknowledged_since: when the first commit after the last acknowledged
            one was sent whose acknowledgement is overdue, None if there is
            none.

    """

    unanswered_since: float | None = None
    unacknowledged_since: float | None = None


def failover_reason(
    evidence: PrimaryEvidence,
    primary: EndpointRecord | None,
    *,
    lost: bool,
    evacuated: bool = False,
    unfinished: bool = False,
    now: float,
    timeouts: FailoverTimeouts = REPLACE_TIMEOUTS,
) -> FailoverReason | None:
    """Decide whether a service needs a new primary.

    Args:
        evidence: what the nodes know about failures of the primary.
        primary: entry of the primary, None if none is known.
        lost: whether its entry has been missing for too long.
        evacuated: whether its data centre is evacuated, and another endpoint
            may take its place.
        unfinished: whether an earlier failover has to be finished.
        now: monotonic time.
        timeouts: how long its silence or its stall has to last.

    Returns:
        Reason to replace the primary, None if there is none.

    """
    is_silent = _has_elapsed(evidence.unanswered_since, timeouts.silence_s, now)
    if primary is None and is_silent:
        return FailoverReason.NO_PRIMARY
    if primary is None:
        return FailoverReason.UNFINISHED if unfinished else None
    is_stalled = _has_elapsed(
        evidence.unacknowledged_since, timeouts.stall_s, now
    )
    reasons = (
        (is_silent, FailoverReason.SILENT),
        (primary.leaving, FailoverReason.LEAVING),
        (lost, FailoverReason.GONE),
        (is_stalled, FailoverReason.STALLED),
        (evacuated, FailoverReason.EVACUATED),
        (unfinished, FailoverReason.UNFINISHED),
    )
    return next((reason for applies, reason in reasons if applies), None)


@dataclass(frozen=True, slots=True)
class FencedEndpoint:
    """State that an endpoint reported when it was fenced.

    Args:
        endpoint: endpoint id.
        term: latest term that it knows.
        position: end of the log that it has received.
        was_primary: whether it was the primary until it was fenced.

    """

    endpoint: str
    term: int
    position: LogPosition
    was_primary: bool = False


def holds_every_commit(
    fenced: Collection[str],
    primary: str | None,
    members: Collection[str],
    sync_replicas: int,
) -> bool:
    """Return whether fenced endpoints together hold all acknowledged commits.

    Args:
        fenced: ids of the endpoints that accept no more commits.
        primary: id of the old primary, None if it is unknown.
        members: ids of all endpoints of the service.
        sync_replicas: replicas that hold a commit before it is acknowledged.

    Returns:
        True if each acknowledged commit is held by at least one of them.

    """
    fenced_members = set(fenced) & set(members)
    if len(fenced_members) < min(MIN_FENCED, len(members)):
        return False
    if primary is not None and primary in fenced_members:
        return True
    missing = set(members) - fenced_members
    if primary is None:
        # Whichever of them leads, it and its replicas that hold a commit are
        # more than the missing ones.
        return len(missing) <= sync_replicas
    return len(missing - {primary}) < max(1, sync_replicas)


def choose_candidate(
    fenced: Sequence[FencedEndpoint],
    unusable: Collection[str],
    primary: str | None,
) -> FencedEndpoint | None:
    """Choose the endpoint to promote.

    Args:
        fenced: endpoints that together hold all acknowledged commits.
        unusable: endpoints that must not be promoted, such as leaving ones.
        primary: id of the old primary, None if it is unknown.

    Returns:
        An endpoint with the most advanced log, preferably not the old
        primary; None if all endpoints with the most advanced log are
        unusable.

    """
    most_advanced = [
        candidate
        for candidate in fenced
        if all(at_least(candidate.position, other.position) for other in fenced)
    ]
    usable = [
        candidate
        for candidate in most_advanced
        if candidate.endpoint not in unusable
    ]
    if not usable:
        return None
    return min(
        usable,
        key=lambda candidate: (
            candidate.endpoint == primary,
            candidate.endpoint,
        ),
    )


def choose_replica_candidate(
    fenced: Sequence[FencedEndpoint],
    members: Collection[str],
    sync_replicas: int,
    unusable: Collection[str],
) -> FencedEndpoint | None:
    """Choose a replica if the replicas alone hold every acknowledged commit.

    A primary that is cut off from its replicas may hold commits that were
    never acknowledged; these need not be kept.

    Args:
        fenced: state of the endpoints when they were fenced.
        members: ids of all endpoints of the service.
        sync_replicas: replicas that hold a commit before it is acknowledged.
        unusable: endpoints that must not be promoted.

    Returns:
        The replica to promote, or None if replicas alone do not suffice.

    """
    replicas = [candidate for candidate in fenced if not candidate.was_primary]
    primary = next(
        (candidate.endpoint for candidate in fenced if candidate.was_primary),
        None,
    )
    ids = {candidate.endpoint for candidate in replicas}
    if primary is None:
        return None
    if not holds_every_commit(ids, primary, members, sync_replicas):
        return None
    return choose_candidate(replicas, unusable, primary)


def choose_promotion(
    fenced: Sequence[FencedEndpoint],
    members: Collection[str],
    sync_replicas: int,
    *,
    primary: str | None,
    unusable: Collection[str],
    pending: str,
    floor: LogPosition | None = None,
) -> FencedEndpoint | None:
    """Choose the endpoint to promote, if no acknowledged commit can be lost.

    Args:
        fenced: state of the endpoints when they were fenced.
        members: ids of all endpoints of the service.
        sync_replicas: replicas that hold a commit before it is acknowledged.
        primary: id of the current primary, None if it is unknown.
        unusable: endpoints that should not be promoted, such as leaving ones.
        pending: endpoint whose promotion may have been commanded before,
            empty if there is none; it is preferred to equally good ones.
        floor: position that clients know to be committed, None for any.

    Returns:
        The endpoint, None if the fenced ones may lack a commit.

    """
    names = [each.endpoint for each in fenced]
    chosen = choose_replica_candidate(fenced, members, sync_replicas, unusable)
    lacks_commits = chosen is None or not reaches(chosen.position, floor)
    if lacks_commits and holds_every_commit(
        names, primary, members, sync_replicas
    ):
        chosen = choose_candidate(fenced, unusable, primary)
        chosen = chosen or choose_candidate(fenced, (), None)
    if chosen is None or not reaches(chosen.position, floor):
        return None
    for each in fenced:
        if each.endpoint == pending and each.position == chosen.position:
            return each
    return chosen


def reaches(position: LogPosition, floor: LogPosition | None) -> bool:
    """Return whether a log holds what clients know to be committed.

    Args:
        position: end of the log.
        floor: position that clients know to be committed, None for any.

    """
    return floor is None or at_least(position, floor)


def newest_primary(claims: Iterable[Primary]) -> Primary | None:
    """Return the primary of the latest term.

    An endpoint that was replaced may still report that it is the primary, of
    an earlier term.

    Args:
        claims: primaries as endpoints, the lease and this node name them.

    Returns:
        The primary of the latest term, None if there are no claims.

    """
    return max(claims, key=_term_of, default=None)


def next_term(fenced: Mapping[str, int], proved_term: int) -> int:
    """Return a term above all known terms.

    Args:
        fenced: latest term known to each endpoint.
        proved_term: latest term for which a primary was proved.

    Returns:
        The term to fence with.

    """
    return max((*fenced.values(), proved_term)) + 1


def _term_of(primary: Primary) -> int:
    return primary.term


def _has_elapsed(since: float | None, limit_s: float, now: float) -> bool:
    return since is not None and now - since >= limit_s
