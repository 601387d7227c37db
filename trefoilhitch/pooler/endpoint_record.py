"""The entry of an endpoint in the directory."""

from dataclasses import dataclass
from typing import Literal

Role = Literal['primary', 'replica']


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """An endpoint as the directory lists it.

    Args:
        endpoint: endpoint id.
        service: database group that it belongs to.
        address: `ADDRESS:PORT`.
        data_centre: data centre in which it runs.
        started_at_ms: Unix time of its start in ms; it differs after a
            restart.
        leaving: whether it is shutting down.
        role: role that it reports.
        slots: number of statements that it runs concurrently.

    """

    endpoint: str
    service: str
    address: str
    data_centre: str
    started_at_ms: int
    leaving: bool
    role: Role
    slots: int
