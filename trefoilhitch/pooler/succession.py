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
from trefoilhitch.pooler.endpoint_book import EndpointRecord
from trefoilhitch.position import at_least

# Without proof of the lead for this long, it is asked to show itself.
PROOF_WANTED_AFTER_S = 0.45
# After this long without proof of the lead, other nodes are asked.
DOUBTED_AFTER_S = 0.6
# A lead that nobody could prove for this long is replaced.
SILENT_AFTER_S = 1.2
# A lead that answers, but acknowledged no commit since one was sent this long
# ago, is cut off from its replicas.
STALLED_AFTER_S = 1.3
LEAST_FENCED = 2


class Reason(Enum):
    """Why a lead is replaced."""

    SILENT = 'silent'
    STALLED = 'stalled'
    LEAVING = 'leaving'
    GONE = 'gone'
    NONE_LEADS = 'none_leads'


@dataclass(frozen=True, slots=True)
class LeadEvidence:
    """What the nodes together know of a service's lead.

    Args:
        asked_since: when the first question was sent that stays unanswered
            since then, None if none does.
        unacknowledged_since: when the first commit was sent after it whose
            acknowledgement is overdue, None if there is none.

    """

    asked_since: float | None = None
    unacknowledged_since: float | None = None

    def is_doubted(self, now: float) -> bool:
        """Tell whether other nodes should be asked about the lead.

        Args:
            now: monotonic time.

        Returns:
            True some time before its silence is a reason to replace it.

        """
        return _passed(self.asked_since, DOUBTED_AFTER_S, now)


def reason_to_replace(
    evidence: LeadEvidence,
    lead: EndpointRecord | None,
    *,
    lost: bool,
    now: float,
) -> Reason | None:
    """Decide whether a service needs a new lead.

    Args:
        evidence: what the nodes know of the lead.
        lead: its entry, None if no endpoint is known to lead.
        lost: whether its entry stayed away from the directory.
        now: monotonic time.

    Returns:
        Why it has to be replaced, or None.

    """
    silent = _passed(evidence.asked_since, SILENT_AFTER_S, now)
    if lead is None:
        return Reason.NONE_LEADS if silent else None
    stalled = _passed(evidence.unacknowledged_since, STALLED_AFTER_S, now)
    reasons = (
        (silent, Reason.SILENT),
        (lead.leaving, Reason.LEAVING),
        (lost, Reason.GONE),
        (stalled, Reason.STALLED),
    )
    return next((reason for holds, reason in reasons if holds), None)


@dataclass(frozen=True, slots=True)
class FencedEndpoint:
    """What an endpoint said when it was fenced.

    Args:
        endpoint: its id.
        term: the latest term that it knows.
        position: end of the log that it received.
        was_lead: whether it led until it was fenced.

    """

    endpoint: str
    term: int
    position: LogPosition
    was_lead: bool = False


def holds_every_commit(
    fenced: Collection[str],
    lead: str | None,
    members: Collection[str],
    sync_replicas: int,
) -> bool:
    """Tell whether fenced endpoints together hold all acknowledged commits.

    Args:
        fenced: ids of the endpoints that take no more commits.
        lead: id of the endpoint that led, None if it is not known.
        members: ids of all endpoints of the service.
        sync_replicas: replicas that hold a commit before it is acknowledged.

    Returns:
        True if one of them has to hold each commit.

    """
    reached = set(fenced) & set(members)
    if len(reached) < min(LEAST_FENCED, len(members)):
        return False
    if lead is not None and lead in reached:
        return True
    replicas = set(members) - {lead}
    return len(replicas - reached) < max(1, sync_replicas)


def choose_successor(
    fenced: Sequence[FencedEndpoint],
    unusable: Collection[str],
    lead: str | None,
) -> FencedEndpoint | None:
    """Choose the endpoint that leads next.

    Args:
        fenced: endpoints that together hold all acknowledged commits.
        unusable: endpoints that must not lead, such as leaving ones.
        lead: id of the endpoint that led until now.

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
    return min(usable, key=lambda each: (each.endpoint == lead, each.endpoint))


def acknowledged_successor(
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
    replicas = [each for each in fenced if not each.was_lead]
    lead = next((each.endpoint for each in fenced if each.was_lead), None)
    ids = {each.endpoint for each in replicas}
    if lead is None:
        return None
    if not holds_every_commit(ids, lead, members, sync_replicas):
        return None
    return choose_successor(replicas, unusable, lead)


def next_term(fenced: Mapping[str, int], proved: int) -> int:
    """Return a term above all that are known.

    Args:
        fenced: latest term known to each endpoint.
        proved: latest term in which a lead was proved.

    Returns:
        The term to fence with.

    """
    return max((*fenced.values(), proved)) + 1


def _passed(since: float | None, limit_s: float, now: float) -> bool:
    return since is not None and now - since >= limit_s
