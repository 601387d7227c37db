"""The operators' declaration in the form that the pooler uses."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Freshness(Enum):
    """Required freshness of the data that a read returns."""

    LATEST = 'latest'
    BOUNDED_STALENESS = 'bounded'
    READ_YOUR_WRITES = 'own_writes'


@dataclass(frozen=True, slots=True)
class Route:
    """How the statements of one database are served.

    Args:
        database: name that clients connect to.
        service: database group that serves it.
        freshness: required freshness of reads.
        max_age_s: maximum age of the data that a read returns, in seconds;
            0 for LATEST.
        timeout_s: time limit of one statement in seconds.
        target_latency_s: target latency of an operation in seconds.
        priority: priority, of which 0 is the highest.
        public: whether clients may connect without a key.

    """

    database: str
    service: str
    freshness: Freshness
    max_age_s: float
    timeout_s: float
    target_latency_s: float
    priority: int = 0
    public: bool = False

    @property
    def statement_priority(self) -> int:
        """Priority of its statements; a negative one counts as the highest."""
        return max(0, self.priority)


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation and its rate limit.

    Args:
        name: name of the organisation.
        rate_per_s: operations per second, over all nodes.
        burst: additional operations in a burst, over all nodes.
        is_nameable: whether endpoints can be told its name.

    """

    name: str
    rate_per_s: float
    burst: float
    is_nameable: bool = True


@dataclass(frozen=True, slots=True)
class Service:
    """A database group.

    Args:
        name: name of the service.
        max_connections: connections that one endpoint accepts from all nodes
            together.
        sync_replicas: replicas that hold a commit before it is acknowledged.

    """

    name: str
    max_connections: int
    sync_replicas: int


@dataclass(frozen=True, slots=True)
class SessionLimits:
    """Time limits of client sessions.

    Args:
        message_read_s: time limit from the first byte of a message to its
            last, in seconds.
        transaction_idle_s: time limit between two statements of a
            transaction, in seconds.

    """

    message_read_s: float = 3
    transaction_idle_s: float = 3


@dataclass(frozen=True, slots=True)
class Catalogue:
    """One revision of the declared configuration.

    Args:
        revision: number that increases with each change.
        routes: routes by database name.
        services: services by name.
        organisations: organisations by name.
        keys: names of organisations by client key.
        limits: time limits of client sessions.

    """

    revision: int
    routes: Mapping[str, Route] = field(default_factory=dict)
    services: Mapping[str, Service] = field(default_factory=dict)
    organisations: Mapping[str, Organisation] = field(default_factory=dict)
    keys: Mapping[str, str] = field(default_factory=dict)
    limits: SessionLimits = field(default_factory=SessionLimits)
