"""Divides reads among endpoints by distance and load.

Load pattern: many nodes choose at the same moment with the same outdated
information. If each chose the least loaded endpoint, all would choose the same
one, and endpoints would be overrun in turns. So each endpoint gets a share of
the reads, and a node draws one by these shares.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import accumulate

# Shorter delays count as this one.
MIN_DELAY_S = 0.002
# Smallest weight of an endpoint, as a part of the largest one at its distance,
# so that its recovery is noticed.
MIN_WEIGHT = 0.01
# Largest part of the reads that goes farther away, for the same reason.
MAX_LEAVING = 0.97
# Weight of a primary: statements that only it can run need its slots.
PRIMARY_WEIGHT = 0.5


@dataclass(frozen=True, slots=True)
class ReadCandidate:
    """An endpoint that may run a read.

    Args:
        endpoint: endpoint id.
        distance_s: time of a round trip to it, in seconds.
        delay_s: expected wait and response time, in seconds.
        slots: number of statements that it runs concurrently.
        is_primary: whether it is the primary.

    """

    endpoint: str
    distance_s: float
    delay_s: float
    slots: int
    is_primary: bool = False

    @property
    def cost_s(self) -> float:
        """Time until a response is expected, in seconds."""
        return self.distance_s + self.delay_s


def read_shares(candidates: Sequence[ReadCandidate]) -> dict[str, float]:
    """Return which part of the reads each endpoint gets.

    A farther endpoint gets reads only while the expected delay of the nearer
    ones exceeds its own by more than the additional distance.

    Args:
        candidates: the endpoints.

    Returns:
        Parts by endpoint id, 1 together; empty without candidates.

    """
    shares: dict[str, float] = {}
    remaining: float = 1
    for distance_s in sorted({each.distance_s for each in candidates}):
        group = [each for each in candidates if each.distance_s == distance_s]
        farther = [each for each in candidates if each.distance_s > distance_s]
        leaving = _leaving_part(group, farther)
        shares.update(_divide(group, remaining * (1 - leaving)))
        remaining *= leaving
    return shares


def draw_endpoint(shares: dict[str, float], drawn: float) -> str:
    """Return the endpoint that a random number stands for.

    Args:
        shares: parts by endpoint id, not empty.
        drawn: random number from 0 to 1.

    Returns:
        Endpoint id.

    """
    limits = zip(shares, accumulate(shares.values()), strict=True)
    return next(
        (endpoint for endpoint, limit in limits if drawn < limit),
        max(shares, key=lambda endpoint: shares[endpoint]),
    )


def most_likely_draw(shares: Mapping[str, float]) -> float:
    """Return a number that stands for the endpoint with the largest part.

    Args:
        shares: parts by endpoint id, not empty.

    Returns:
        Number from 0 to 1 for `draw_endpoint`, in the middle of that part.

    """
    largest = max(shares, key=lambda endpoint: shares[endpoint])
    limits = dict(zip(shares, accumulate(shares.values()), strict=True))
    return limits[largest] - shares[largest] / 2


def _leaving_part(
    group: Sequence[ReadCandidate], farther: Sequence[ReadCandidate]
) -> float:
    """Return the part of the reads that goes beyond a group.

    It grows gradually with the gain, so that reads do not all leave at once
    and return at once.
    """
    if not farther:
        return 0
    nearest = min(group, key=lambda each: each.cost_s)
    best = min(farther, key=lambda each: each.cost_s)
    gain_s = nearest.cost_s - best.cost_s
    if gain_s <= 0:
        return 0
    additional_s = best.distance_s - nearest.distance_s
    return min(MAX_LEAVING, 1 - math.exp(-gain_s / additional_s))


def _divide(group: Sequence[ReadCandidate], part: float) -> dict[str, float]:
    weights = {each.endpoint: _weight(each) for each in group}
    smallest = max(weights.values()) * MIN_WEIGHT
    raised = {
        endpoint: max(weight, smallest) for endpoint, weight in weights.items()
    }
    total = sum(raised.values())
    return {
        endpoint: part * weight / total for endpoint, weight in raised.items()
    }


def _weight(candidate: ReadCandidate) -> float:
    delay_s = max(MIN_DELAY_S, candidate.delay_s)
    # In proportion to 1 / delay: its square makes reads swing to and fro.
    weight = max(1, candidate.slots) / delay_s
    return weight * PRIMARY_WEIGHT if candidate.is_primary else weight
