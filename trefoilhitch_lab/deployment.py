"""Deployments of the lab: two of the sizes of users, and a small one."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from trefoilhitch_lab.network import Latency, Location


@dataclass(frozen=True, slots=True)
class Tenant:
    """An organisation with its rate limit across all nodes.

    Args:
        name: organisation name.
        rate: statements per second.
        burst: size of the token bucket in statements.

    """

    name: str
    rate: float
    burst: int


@dataclass(frozen=True, slots=True)
class Deployment:
    """Nodes, services and network of a stack.

    Args:
        name: deployment name.
        regions: region by data centre.
        nodes: data centre by node.
        services: service names; each has one endpoint per data centre.
        slots: connection slots of each endpoint.
        client_connections: number of client sessions.
        connect_delay_s: time to open an endpoint connection.
        latency: one-way network latencies.
        tenants: organisations with their rate limits.

    """

    name: str
    regions: Mapping[str, str]
    nodes: Mapping[str, str]
    services: tuple[str, ...]
    slots: int
    client_connections: int
    connect_delay_s: float
    latency: Latency
    tenants: tuple[Tenant, ...] = field(default_factory=tuple)

    def location(self, data_centre: str) -> Location:
        """Return the location of a data centre.

        Args:
            data_centre: data centre name.

        Returns:
            Its location, with the region.

        """
        return Location(self.regions[data_centre], data_centre)


def _assign_data_centres(
    data_centres: Mapping[str, str], count: int
) -> dict[str, str]:
    centres = list(data_centres)
    return {
        f'n{number}': centres[number % len(centres)]
        for number in range(1, count + 1)
    }


def _create_tenants(
    large: tuple[str, ...], small: tuple[str, ...]
) -> tuple[Tenant, ...]:
    return (
        *(Tenant(name, rate=60, burst=60) for name in large),
        *(Tenant(name, rate=15, burst=20) for name in small),
    )


_HIMAL_REGIONS = MappingProxyType(
    {
        'bagmati-patan': 'bagmati',
        'gandaki-lakeside': 'gandaki',
        'koshi-biratnagar': 'koshi',
    }
)
_HANBIT_REGIONS = MappingProxyType(
    {
        'seoul-a': 'seoul',
        'chuncheon-a': 'chuncheon',
        'busan-a': 'busan',
    }
)
HIMAL = Deployment(
    name='himal',
    regions=_HIMAL_REGIONS,
    nodes=_assign_data_centres(_HIMAL_REGIONS, 8),
    services=('strop-ledger-1', 'strop-ledger-2', 'strop-ledger-3'),
    slots=5,
    client_connections=30,
    connect_delay_s=0.01,
    latency=Latency(data_centre_ms=4, region_ms=20),
    tenants=_create_tenants(
        ('barbers-one', 'barbers-two', 'salons'),
        ('rep-east', 'rep-west', 'rep-hill', 'samples', 'office'),
    ),
)
HANBIT = Deployment(
    name='hanbit',
    regions=_HANBIT_REGIONS,
    nodes=_assign_data_centres(_HANBIT_REGIONS, 8),
    services=('boathouse-ledger-1', 'boathouse-ledger-2', 'boathouse-ledger-3'),
    slots=3,
    client_connections=40,
    connect_delay_s=0.03,
    latency=Latency(data_centre_ms=4, region_ms=8),
    tenants=_create_tenants(
        ('han-rowing', 'soyang-rowing'),
        ('club-a', 'club-b', 'club-c', 'club-d', 'club-e', 'club-f'),
    ),
)
SMALL = Deployment(
    name='small',
    regions={'dc-a': 'east', 'dc-b': 'east', 'dc-c': 'west'},
    nodes={'n1': 'dc-a', 'n2': 'dc-b', 'n3': 'dc-c'},
    services=('orders',),
    slots=3,
    client_connections=6,
    connect_delay_s=0.01,
    latency=Latency(data_centre_ms=1, region_ms=3),
    tenants=_create_tenants(('himal',), ('hanbit',)),
)
DEPLOYMENTS: Mapping[str, Deployment] = MappingProxyType(
    {each.name: each for each in (HIMAL, HANBIT, SMALL)}
)
