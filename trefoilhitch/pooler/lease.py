"""The lease that allows one node at a time to replace a service's primary."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from trefoilhitch.pooler.era_numbers import FIRST_ERA, NO_ERA

LEASE_DURATION_S = 4.0
# The holder stops this long before other nodes may acquire the lease.
LEASE_MARGIN_S = 0.7
# A lease is written only if the store named its era at most this long ago. No
# lease is written in the first LEASE_DURATION_S of an era, so the write cannot
# replace one of a later era that has the same revision.
ERA_MAX_AGE_S = 2.0
# Bits of a fencing token that count attempts; the bits above them hold the era.
TOKEN_COUNTER_BITS = 32


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """A lease as it is stored.

    Args:
        revision: revision of the stored lease, 0 if there is none.
        token: fencing token; increases with each attempt of any holder.
        holder: name of the node that holds it, empty if it was released.
        address: peer address of the holder, empty if it was released or
            written by an earlier release.
        attempt: unique id of the attempt that wrote it.
        candidate: endpoint whose promotion may have been requested without a
            response, under this token or an earlier one; empty if there is
            none.
        primary: endpoint that the last confirmed promotion made primary,
            empty if there was none.
        term: its term.
        era: era of the store in which it was read.

    """

    revision: int = 0
    token: int = 0
    holder: str = ''
    address: str = ''
    attempt: str = ''
    candidate: str = ''
    primary: str = ''
    term: int = 0
    era: int = NO_ERA

    @property
    def belongs_to_era(self) -> bool:
        """Whether it was written in the era of the store that it was read in.

        A lease from an earlier era may lack what its holder wrote last.
        """
        if self.era <= FIRST_ERA:
            return True
        return self.token > lowest_token(self.era)


@dataclass(frozen=True, slots=True)
class LeaseListing:
    """All leases of the store.

    Args:
        leases: leases by service; a service without a lease is missing.
        era: era of the store.

    """

    leases: Mapping[str, LeaseRecord] = field(default_factory=dict)
    era: int = NO_ERA

    def get(self, service: str) -> LeaseRecord:
        """Return the lease of a service; a missing one has revision 0.

        Args:
            service: service name.

        """
        return self.leases.get(service) or LeaseRecord(era=self.era)


@dataclass(frozen=True, slots=True)
class ObservedLease:
    """A lease and the time at which this node first read its revision.

    Args:
        record: the lease.
        first_seen_at: time in seconds, on a clock that includes suspended
            time.
        has_ended: whether the holder's process does not run the attempt that
            wrote this revision any more.

    """

    record: LeaseRecord
    first_seen_at: float
    has_ended: bool = False


def lowest_token(era: int) -> int:
    """Return the number above which the fencing tokens of an era lie.

    Args:
        era: era of the store.

    """
    return max(era - FIRST_ERA, 0) << TOKEN_COUNTER_BITS


def next_token(lease: LeaseRecord) -> int:
    """Return a fencing token above all earlier ones, lost ones included.

    Args:
        lease: the lease as it is stored.

    """
    return max(lease.token, lowest_token(lease.era)) + 1


def may_acquire(
    observed: ObservedLease, node: str, now: float, era_seen_at: float
) -> bool:
    """Return whether a node may acquire a lease.

    Clocks of different nodes are not compared: a lease counts as held until
    this node has read the same revision for the whole duration of the lease,
    or until the holder's process does not run the attempt any more.
    A lease that the store has lost counts as held until that time has passed
    since the store was restored, so that a lease written in the present era
    rules out any holder from an earlier one.

    Args:
        observed: the lease.
        node: name of the node that wants to acquire it.
        now: time in seconds.
        era_seen_at: when this node first knew the present era of the store.

    Returns:
        True if the lease is released, expired or held by the node itself, or
        if its attempt has ended.

    """
    if not observed.record.belongs_to_era:
        return now >= era_seen_at + LEASE_DURATION_S
    if observed.has_ended or observed.record.holder in {'', node}:
        return True
    return now >= observed.first_seen_at + LEASE_DURATION_S


def may_ask_holder(
    observed: ObservedLease,
    node: str,
    address: str,
    now: float,
    next_query_at: float,
) -> bool:
    """Return whether the holder may be asked if its attempt still runs.

    A lease of an earlier era has to expire whatever the holder answers.

    Args:
        observed: the lease.
        node: name of the node that wants to acquire it.
        address: peer address of that node.
        now: time in seconds.
        next_query_at: time from which a holder may be asked again.

    Returns:
        True if another node holds it in the present era at a known address
        other than this node's, and it is not known to have ended.

    """
    record = observed.record
    if observed.has_ended or not record.belongs_to_era:
        return False
    if record.holder in {'', node} or not record.attempt:
        return False
    if record.address in {'', address}:
        return False
    return now >= next_query_at


def same_content(first: LeaseRecord, second: LeaseRecord) -> bool:
    """Return whether two leases are equal apart from their revisions.

    Args:
        first: one lease.
        second: another lease.

    Returns:
        True if the same step of the same attempt wrote them.

    """
    return replace(first, revision=0) == replace(second, revision=0)


def is_same_version(first: LeaseRecord, second: LeaseRecord) -> bool:
    """Return whether two leases are the same version of the stored one.

    A restored store assigns its revisions again.

    Args:
        first: one lease.
        second: another lease.

    """
    return (first.era, first.revision) == (second.era, second.revision)
