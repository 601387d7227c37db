"""Decides from endpoints' statuses whether a primary has been replaced.

A replaced primary that hears neither of the promotion nor of its successor
goes on as primary: it reports that role, accepts transactions and answers
reads from an outdated log. But whoever promotes an endpoint first demotes the
primary or fences all replicas but `sync_replicas - 1`. So no promotion had
taken effect by the time the statuses were requested if the primary has not
been demoted and `sync_replicas` of its replicas are neither fenced nor in a
later term.
"""

from collections.abc import Iterable

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.pooler.ports import EndpointStatus
from trefoilhitch.position import contains


def needed_confirmations(sync_replicas: int) -> int:
    """Return how many replicas have to confirm a primary.

    Args:
        sync_replicas: replicas that hold a commit before it is acknowledged.

    Returns:
        The number, at least 1.

    """
    return max(1, sync_replicas)


def replica_confirms(status: EndpointStatus, term: int) -> bool:
    """Return whether a replica's status rules out a later primary.

    Args:
        status: status of the replica.
        term: term of the primary.

    Returns:
        True if the replica is not fenced and knows no later term.

    """
    if status.is_primary or status.fenced_term:
        return False
    return status.term <= term


def replica_holds(status: EndpointStatus, position: LogPosition) -> bool:
    """Return whether a replica holds a commit and rules out a later primary.

    Args:
        status: status of the replica.
        position: end of the primary's log when it acknowledged the commit.

    """
    is_unreplaced = replica_confirms(status, position.term)
    return is_unreplaced and contains(status.position, position)


def is_confirmed(
    term: int, replicas: Iterable[EndpointStatus], sync_replicas: int
) -> bool:
    """Return whether no promotion preceded the request of the statuses.

    Args:
        term: term in which an endpoint reported that it is the primary.
        replicas: statuses of other endpoints of its service.
        sync_replicas: replicas that hold a commit before it is acknowledged.

    Returns:
        True if the primary of the term had not been replaced.

    """
    confirming = [each for each in replicas if replica_confirms(each, term)]
    return len(confirming) >= needed_confirmations(sync_replicas)


def may_confirm(replicas: Iterable[EndpointStatus], sync_replicas: int) -> bool:
    """Return whether statuses may confirm a primary of some term.

    Args:
        replicas: statuses of the replicas.
        sync_replicas: replicas that hold a commit before it is acknowledged.

    Returns:
        False if they confirm none, whichever term it reports.

    """
    possible = [
        each for each in replicas if not (each.is_primary or each.fenced_term)
    ]
    return len(possible) >= needed_confirmations(sync_replicas)
