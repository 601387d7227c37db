"""When a lead has to be replaced, and by which endpoint.

The old lead's acknowledged commits must all be in the log of the endpoint that
follows it. A commit is acknowledged once the lead and `sync_replicas` replicas
hold it, so a set of fenced endpoints holds every acknowledged commit if it
contains the lead, or all but `sync_replicas - 1` of the replicas.
"""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.pooler.endpoint_registry import EndpointRecord
from trefoilhitch.position import at_least

# Without proof of the lead for this long, it is asked to show itself.
PROOF_REQUEST_AFTER_S = 0.45
# After this long without proof of the lead, other nodes are asked.
SUSPECTED_AFTER_S = 0.6
# A lead that nobody could prove for this long is replaced.
SILENCE_TIMEOUT_S = 1.2
# A lead that answers, but acknowledged no commit since one was sent this long
# ago, is cut off from its replicas.
COMMIT_STALL_TIMEOUT_S = 1.3
MIN_FENCED = 2


class FailoverReason(Enum):
    """Why a lead is replaced."""

    SILENT = 'silent'
    STALLED = 'stalled'
    LEAVING = 'leaving'
    GONE = 'gone'
    NO_PRIMARY = 'none_leads'


@dataclass(frozen=True, slots=True)
class PrimaryEvidence:
    """What the nodes together know of a service's lead.

    Args:
        unanswered_since: when the first question was sent that stays unanswered
            since then, None if none does.
        unacknowledged_since: when the first commit was sent after it whose
            acknowledgement is overdue, None if there is none.

    """

    unanswered_since: float | None = None
    unacknowledged_since: float | None = None

    def is_suspected(self, now: float) -> bool:
        """Tell whether other nodes should be asked about the lead.

        Args:
            now: monotonic time.

        Returns:
            True some time before its silence is a reason to replace it.

        """
        return _has_elapsed(self.unanswered_since, SUSPECTED_AFTER_S, now)


def failover_reason(
    evidence: PrimaryEvidence,
    primary: EndpointRecord | None,
    *,
    lost: bool,
    now: float,
) -> FailoverReason | None:
    """Decide whether a service needs a new lead.

    Args:
        evidence: what the nodes know of the lead.
        primary: its entry, None if no endpoint is known to lead.
        lost: whether its entry stayed away from the directory.
        now: monotonic time.

    Returns:
        Why it has to be replaced, or None.

    """
    silent = _has_elapsed(evidence.unanswered_since, SILENCE_TIMEOUT_S, now)
    if primary is None:
        return FailoverReason.NO_PRIMARY if silent else None
    stalled = _has_elapsed(
        evidence.unacknowledged_since, COMMIT_STALL_TIMEOUT_S, now
    )
    reasons = (
        (silent, FailoverReason.SILENT),
        (primary.leaving, FailoverReason.LEAVING),
        (lost, FailoverReason.GONE),
        (stalled, FailoverReason.STALLED),
    )
    return next((reason for holds, reason in reasons if holds), None)


@dataclass(frozen=True, slots=True)
class FencedEndpoint:
    """What an endpoint said when it was fenced.

    Args:
        endpoint: its id.
        term: the latest term that it knows.
        position: end of the log that it received.
        was_primary: whether it led until it was fenced.

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
    """Tell whether fenced endpoints together hold all acknowledged commits.

    Args:
        fenced: ids of the endpoints that take no more commits.
        primary: id of the endpoint that led, None if it is not known.
        members: ids of all endpoints of the service.
        sync_replicas: replicas that hold a commit before it is acknowledged.

    Returns:
        True if one of them has to hold each commit.

    """
    reached = set(fenced) & set(members)
    if len(reached) < min(MIN_FENCED, len(members)):
        return False
    if primary is not None and primary in reached:
        return True
    replicas = set(members) - {primary}
    return len(replicas - reached) < max(1, sync_replicas)


def choose_candidate(
    fenced: Sequence[FencedEndpoint],
    unusable: Collection[str],
    primary: str | None,
) -> FencedEndpoint | None:
    """Choose the endpoint that leads next.

    Args:
        fenced: endpoints that together hold all acknowledged commits.
        unusable: endpoints that must not lead, such as leaving ones.
        primary: id of the endpoint that led until now.

    Returns:
        An endpoint with the most advanced log, another than the present lead
        if one is as far; None if the most advanced ones are unusable.

    """
    furthest = [
        each
        for each in fenced
        if all(at_least(each.position, other.position) for other in fenced)
    ]
    usable = [each for each in furthest if each.endpoint not in unusable]
    if not usable:
        return None
    return min(
        usable, key=lambda each: (each.endpoint == primary, each.endpoint)
    )


def choose_replica_candidate(
    fenced: Sequence[FencedEndpoint],
    members: Collection[str],
    sync_replicas: int,
    unusable: Collection[str],
) -> FencedEndpoint | None:
    """Choose among replicas alone, if these hold every acknowledged commit.

    A lead that is cut off from its replicas may hold commits which nobody
    acknowledged; they need not be kept.

    Args:
        fenced: what the endpoints said when they were fenced.
        members: ids of all endpoints of the service.
        sync_replicas: replicas that hold a commit before it is acknowledged.
        unusable: endpoints that must not lead.

    Returns:
        The replica to promote, or None if replicas alone do not suffice.

    """
    replicas = [each for each in fenced if not each.was_primary]
    primary = next((each.endpoint for each in fenced if each.was_primary), None)
    ids = {each.endpoint for each in replicas}
    if primary is None:
        return None
    if not holds_every_commit(ids, primary, members, sync_replicas):
        return None
    return choose_candidate(replicas, unusable, primary)


def next_term(fenced: Mapping[str, int], proved_term: int) -> int:
    """Return a term above all that are known.

    Args:
        fenced: latest term known to each endpoint.
        proved_term: latest term in which a lead was proved.

    Returns:
        The term to fence with.

    """
    return max((*fenced.values(), proved_term)) + 1


def _has_elapsed(since: float | None, limit_s: float, now: float) -> bool:
    return since is not None and now - since >= limit_s
