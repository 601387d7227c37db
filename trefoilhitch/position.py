"""Log positions: order, merging and majorities."""

from collections.abc import Iterable, Mapping

from trefoilhitch._generated.endpoint import ConfirmReply
from trefoilhitch._generated.messages import LogPosition

ORIGIN = LogPosition()


def at_least(reached: LogPosition, needed: LogPosition) -> bool:
    """Return whether a log has reached a position.

    Args:
        reached: current position of the log.
        needed: required position.

    Returns:
        True if `reached` has a later term, or the same term and a position
        that is not earlier.

    """
    return _sort_key(reached) >= _sort_key(needed)


def contains(log_end: LogPosition, position: LogPosition) -> bool:
    """Return whether a log contains a position, as far as its end tells.

    Args:
        log_end: end of the log.
        position: position of a commit.

    Returns:
        False if the log ends in another term: its end does not tell which
        commits of an earlier term it contains.

    """
    is_same_term = log_end.term == position.term
    return is_same_term and log_end.position >= position.position


def latest_position(positions: Iterable[LogPosition]) -> LogPosition:
    """Return the latest of several positions.

    Args:
        positions: positions to compare.

    Returns:
        The latest position, or the origin of the log if there are none.

    """
    return max(positions, key=_sort_key, default=ORIGIN)


def merge_positions(
    first: Mapping[str, LogPosition],
    second: Mapping[str, LogPosition],
) -> dict[str, LogPosition]:
    """Merge the positions that a session has seen; the later ones win.

    Args:
        first: positions by service.
        second: positions by service.

    Returns:
        The later position of each service.

    """
    merged = dict(first)
    for service, position in second.items():
        merged[service] = latest_position(
            (position, merged.get(service, ORIGIN))
        )
    return merged


def majority_size(members: int) -> int:
    """Return the size of a majority.

    Args:
        members: number of members of the group.

    Returns:
        The smallest number that is more than half.

    """
    return members // 2 + 1


def majority_position(members: int, held: Iterable[int]) -> int | None:
    """Return the latest position that a majority holds in one term.

    Args:
        members: number of members of the group.
        held: position of each member that confirmed the term.

    Returns:
        The position, or None if no majority confirmed the term.

    """
    ranked = sorted(held, reverse=True)
    needed = majority_size(members)
    if len(ranked) < needed:
        return None
    return ranked[needed - 1]


def confirmed_position(reply: ConfirmReply) -> LogPosition | None:
    """Return the position that a majority holds, from a primary's reply.

    Args:
        reply: reply of the primary to a confirmation request.

    Returns:
        The latest position that a majority holds, or None if no majority
        confirmed the term.

    """
    held = [holding.position for holding in reply.holdings]
    position = majority_position(reply.members, held)
    if position is None:
        return None
    return LogPosition(term=reply.term, position=position)


def _sort_key(position: LogPosition) -> tuple[int, int]:
    return position.term, position.position
