"""Typical times of round trips between data centres."""

from types import MappingProxyType

from trefoilhitch.pooler.endpoint_selection import (
    OTHER_REGION,
    SAME_DATA_CENTRE,
    SAME_REGION,
    EndpointSelector,
)

# Inside a data centre, between two of a region, and between regions. Twice the
# typical one-way latencies; only their order of magnitude matters.
ROUND_TRIP_S = MappingProxyType(
    {
        SAME_DATA_CENTRE: 0.0005,
        SAME_REGION: 0.005,
        OTHER_REGION: 0.04,
    }
)


def round_trip_s(selector: EndpointSelector, data_centre: str) -> float:
    """Return how long a round trip to a data centre takes.

    Args:
        selector: knows the distance of data centres.
        data_centre: name of the data centre.

    Returns:
        Typical time in seconds.

    """
    return ROUND_TRIP_S[selector.distance(data_centre)]
