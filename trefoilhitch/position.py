"""Log positions: their order, and what a majority holds."""

from collections.abc import Iterable, Mapping

from trefoilhitch._generated.endpoint import ConfirmReply
from trefoilhitch._generated.messages import LogPosition

ORIGIN = LogPosition()


def at_least(reached: LogPosition, needed: LogPosition) -> bool:
    """Tell whether a log that reached one position covers another.

    Args:
        reached: where the log is.
        needed: the position that has to be covered.

    Returns:
        True if the term is later, or the same with no earlier position.

    """
    return _sort_key(reached) >= _sort_key(needed)


def latest_position(positions: Iterable[LogPosition]) -> LogPosition:
    """Return the latest of some positions.

    Args:
        positions: any number of positions.

    Returns:
        The latest, or the origin of the log if there are none.

    """
    return max(positions, key=_sort_key, default=ORIGIN)


def merge_positions(
    first: Mapping[str, LogPosition],
    second: Mapping[str, LogPosition],
) -> dict[str, LogPosition]:
    """Merge two records of what a session has seen by maximum.

    Args:
        first: positions by service.
        second: positions by service.

    Returns:
        The latest position of each service in either.

    """
    merged = dict(first)
    for service, position in second.items():
        merged[service] = latest_position(
            (position, merged.get(service, ORIGIN))
        )
    return merged


def majority_size(members: int) -> int:
    """Return how many members a majority takes.

    Args:
        members: size of the group.

    Returns:
        The smallest number that is more than half.

    """
    return members // 2 + 1


def majority_position(members: int, held: Iterable[int]) -> int | None:
    """Return the latest position that a majority holds in one term.

    Args:
        members: size of the group.
        held: the position of each member that confirmed the term.

    Returns:
        The position, or None if fewer than a majority confirmed.

    """
    ranked = sorted(held, reverse=True)
    needed = majority_size(members)
    if len(ranked) < needed:
        return None
    return ranked[needed - 1]


def confirmed_position(reply: ConfirmReply) -> LogPosition | None:
    """Return what a majority holds, from the answer to a round.

    Args:
        reply: the primary's answer.

    Returns:
        The latest position that a majority holds, or None if fewer than a
        majority confirmed the term.

    """
    held = [holding.position for holding in reply.holdings]
    position = majority_position(reply.members, held)
    if position is None:
        return None
    return LogPosition(term=reply.term, position=position)


def _sort_key(position: LogPosition) -> tuple[int, int]:
    return position.term, position.position
