"""Estimates how far the log of a replica is behind that of the primary.

Load pattern: a replica stops applying commits for a while or follows seconds
behind, and each read sent there is refused and has to be sent again.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise

from msgspec import structs

from trefoilhitch._generated.messages import LogPosition
from trefoilhitch.pooler.observations import PrimaryObservation
from trefoilhitch.position import at_least

# A shorter lag is usual: network, and times that are known inexactly.
NOTABLE_LAG_S = 0.25
# From this lag on, it is taken into account whether it grows.
GROWING_LAG_S = NOTABLE_LAG_S / 2
# Times are rounded to a millisecond in messages.
TIME_ERROR_S = 0.001
# Shortest time over which the growth of a lag is measured.
GROWTH_TIME_S = 0.2


@dataclass(frozen=True, slots=True)
class Sighting:
    """Position at which the log of an endpoint was observed.

    Args:
        position: end of the log.
        at: when it was observed, in seconds on the clock of the observations
            of primaries.
        refused: whether the endpoint refused a read because of it, so that it
            may have stopped there, or before.

    """

    position: LogPosition
    at: float
    refused: bool = False


def is_expected_at(
    needed: LogPosition,
    seen: Sighting,
    reference: Sighting | None,
    history: Sequence[PrimaryObservation],
    now: float,
) -> bool:
    """Return whether a replica is expected to have reached a position.

    Args:
        needed: the position.
        seen: newest sighting of the replica.
        reference: an earlier sighting, None if there is none.
        history: observations of the primary, in the order of their times.
        now: time at which the replica needs the position.

    Returns:
        True if it was seen there, if its lag allows it or if the lag is
        unknown.

    """
    if at_least(seen.position, needed):
        return True
    if seen.refused:
        return not shows_lag(seen, history)
    lag_s = _lag_at(seen, reference, history, now)
    if lag_s is None or lag_s < NOTABLE_LAG_S:
        return True
    needed_since = _reached_at(history, needed)
    if needed_since is None:
        # The primary itself was not seen there: the newest known time.
        needed_since = history[-1].sent_at
    return needed_since < now - lag_s - TIME_ERROR_S


def observed_lag_s(
    seen: Sighting, history: Sequence[PrimaryObservation]
) -> float | None:
    """Return how long a log had lacked an entry of the primary.

    Args:
        seen: sighting of the log.
        history: observations of the primary, in the order of their times.

    Returns:
        The lag in seconds when the log was seen; 0 if the log was not behind
        what is known of the primary; None if the position is older than the
        history.

    """
    following = structs.replace(
        seen.position, position=seen.position.position + 1
    )
    if not history or not at_least(history[-1].position, following):
        return 0
    missing_since = _reached_at(history, following)
    return None if missing_since is None else max(0, seen.at - missing_since)


def shows_lag(seen: Sighting, history: Sequence[PrimaryObservation]) -> bool:
    """Return whether a log was notably behind when it was seen.

    A replica that refuses a read of a commit of a moment ago keeps up.

    Args:
        seen: sighting of the log.
        history: observations of the primary, in the order of their times.

    """
    lag_s = observed_lag_s(seen, history)
    if lag_s is None:
        return seen.refused
    return lag_s >= NOTABLE_LAG_S


def _lag_at(
    seen: Sighting,
    reference: Sighting | None,
    history: Sequence[PrimaryObservation],
    now: float,
) -> float | None:
    """Extend the change of the lag to the present."""
    lag_s = observed_lag_s(seen, history)
    if lag_s is None:
        return None
    growth = _growth(seen, lag_s, reference, history)
    return lag_s + growth * max(0, now - seen.at)


def _growth(
    seen: Sighting,
    lag_s: float,
    reference: Sighting | None,
    history: Sequence[PrimaryObservation],
) -> float:
    """Return by how much the lag grows each second, from 0 to 1."""
    if lag_s < GROWING_LAG_S:
        return 0
    if reference is None or seen.at - reference.at < GROWTH_TIME_S:
        # Stopped, for all that is known.
        return 1 if lag_s >= NOTABLE_LAG_S else 0
    former_s = observed_lag_s(reference, history)
    if former_s is None:
        return 1
    growth = (lag_s - former_s) / (seen.at - reference.at)
    return min(1, max(0, growth))


def _reached_at(
    history: Sequence[PrimaryObservation], position: LogPosition
) -> float | None:
    """Return when the primary reached a position.

    Between two observations of a term, it is taken to have advanced evenly.

    Returns:
        The time; None if it was reached before the first observation, or not
        by the last one.

    """
    if history and history[0].position == position:
        return history[0].sent_at
    for former, later in pairwise(history):
        if at_least(former.position, position):
            return None
        if at_least(later.position, position):
            return _interpolate(former, later, position)
    return None


def _interpolate(
    former: PrimaryObservation,
    later: PrimaryObservation,
    position: LogPosition,
) -> float:
    terms = {each.position.term for each in (former, later)}
    if terms != {position.term}:
        return later.sent_at
    done = position.position - former.position.position
    entries = later.position.position - former.position.position
    duration_s = later.sent_at - former.sent_at
    return former.sent_at + duration_s * done / entries
