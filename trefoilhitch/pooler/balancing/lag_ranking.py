"""Ranks replicas that are expected to lag behind other endpoints."""

from collections.abc import Callable, Collection

from trefoilhitch.pooler.balancing.read_balancer import ReadRanking
from trefoilhitch.pooler.endpoint_selection import LagHandling


def rank_with_trials(
    rank: Callable[[Collection[str]], ReadRanking],
    lagging: Collection[str],
    may_try: Callable[[str], bool],
) -> tuple[ReadRanking, LagHandling]:
    """Rank the endpoints of a read, some of which are expected to refuse it.

    Args:
        rank: ranks the endpoints, those that are passed behind the others.
        lagging: ids of the endpoints that are expected to refuse the read.
        may_try: returns whether a read may try such an endpoint now.

    Returns:
        The endpoints in order of preference, and what became of the one that
        would have been chosen.

    """
    if not lagging:
        return rank(()), ''
    unrestricted = rank(())
    preferred = _first(unrestricted)
    if preferred not in lagging:
        return rank(lagging), ''
    if may_try(preferred):
        return unrestricted, 'tried'
    ranking = rank(lagging)
    return ranking, '' if _first(ranking) in lagging else 'avoided'


def _first(ranking: ReadRanking) -> str:
    """Return the endpoint that is preferred, empty if there is none."""
    return ranking.records[0].endpoint if ranking.records else ''
