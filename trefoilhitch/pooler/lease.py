"""The lease under which one node at a time replaces the leads of a service."""

from dataclasses import dataclass, replace

LEASE_DURATION_S = 4.0
# The holder stops this much earlier than others may take over.
LEASE_MARGIN_S = 0.7


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """A lease as the store keeps it.

    Args:
        revision: the store's revision of it, 0 if there is none.
        token: fencing token; rises with each attempt of any holder.
        holder: who holds it, empty if it was released.
        attempt: unique mark of the attempt that wrote it.
        candidate: endpoint whose promotion may have been ordered under this
            token or an earlier one without an answer, empty if none.

    """

    revision: int = 0
    token: int = 0
    holder: str = ''
    attempt: str = ''
    candidate: str = ''


@dataclass(frozen=True, slots=True)
class ObservedLease:
    """A lease with when this node first saw its revision.

    Args:
        record: the lease.
        first_seen_at: time in seconds, on a clock that counts suspended time.

    """

    record: LeaseRecord
    first_seen_at: float


def may_acquire(observed: ObservedLease, node: str, now: float) -> bool:
    """Tell whether a node may take a lease.

    Others' clocks are not compared: a lease counts as held until its revision
    has stayed the same for its whole time, as this node saw it.

    Args:
        observed: the lease.
        node: name of the node that wants it.
        now: time in seconds.

    Returns:
        True if it is free, expired or the node's own.

    """
    if observed.record.holder in {'', node}:
        return True
    return now >= observed.first_seen_at + LEASE_DURATION_S


def same_content(first: LeaseRecord, second: LeaseRecord) -> bool:
    """Tell whether two leases say the same, whatever their revisions.

    Args:
        first: a lease.
        second: another one.

    Returns:
        True if they are of the same attempt and step.

    """
    return replace(first, revision=0) == replace(second, revision=0)
