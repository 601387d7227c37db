"""What operators declare, as the pooler uses it."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Freshness(Enum):
    """How recent the data of a read has to be."""

    LATEST = 'latest'
    BOUNDED_STALENESS = 'bounded'
    READ_YOUR_WRITES = 'own_writes'


@dataclass(frozen=True, slots=True)
class Route:
    """How the statements of one database are served.

    Args:
        database: name that clients connect to.
        service: database group that serves it.
        freshness: how recent reads have to be.
        max_age_s: oldest data in seconds that a read may see; 0 for LATEST.
        timeout_s: longest time for one statement in seconds.
        target_latency_s: time in which an operation should end, in seconds.
        priority: 0 is the highest.
        public: whether clients need no key.

    """

    database: str
    service: str
    freshness: Freshness
    max_age_s: float
    timeout_s: float
    target_latency_s: float
    priority: int = 0
    public: bool = False


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation and its rate.

    Args:
        name: its name.
        rate_per_s: operations a second over all nodes.
        burst: operations that may come at once, over all nodes.

    """

    name: str
    rate_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class Service:
    """A database group.

    Args:
        name: its name.
        max_connections: connections that an endpoint accepts from everyone.
        sync_replicas: replicas that hold a commit before it is acknowledged.

    """

    name: str
    max_connections: int
    sync_replicas: int


@dataclass(frozen=True, slots=True)
class SessionLimits:
    """Bounds on clients' sessions.

    Args:
        message_read_s: longest time from the first byte of a message to its
            last, in seconds.
        transaction_idle_s: longest pause inside a transaction, in seconds.

    """

    message_read_s: float = 3
    transaction_idle_s: float = 3


@dataclass(frozen=True, slots=True)
class Catalogue:
    """One revision of everything that is declared.

    Args:
        revision: rises with each change.
        routes: by database name.
        services: by name.
        organisations: by name.
        keys: name of the organisation by key.
        limits: bounds on sessions.

    """

    revision: int
    routes: Mapping[str, Route] = field(default_factory=dict)
    services: Mapping[str, Service] = field(default_factory=dict)
    organisations: Mapping[str, Organisation] = field(default_factory=dict)
    keys: Mapping[str, str] = field(default_factory=dict)
    limits: SessionLimits = field(default_factory=SessionLimits)
