"""The configuration in force, with lookup tables for requests."""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Self

from trefoilhitch._generated.peer import Caller
from trefoilhitch._generated.record import PlacementNode
from trefoilhitch._generated.store import (
    Bundle,
    Endpoint,
    Organisation,
    Service,
)
from trefoilhitch.errors import TrefoilhitchError
from trefoilhitch.json_decoding import UnreadableJsonError, decode_json
from trefoilhitch.keyring import KeyRing


class BundleError(TrefoilhitchError):
    """A stored bundle or head cannot be decoded."""


@dataclass(frozen=True, slots=True)
class Config:
    """A declared configuration.

    Args:
        revision: number of the configuration; 0 before the first.
        body: JSON of the bundle as stored.
        services: services by name.
        endpoints: endpoints by name.
        groups: endpoints by service.
        organisations: organisations by name.
        keyring: API keys in force.

    """

    revision: int = 0
    body: str = '{}'
    services: Mapping[str, Service] = field(default_factory=dict)
    endpoints: Mapping[str, Endpoint] = field(default_factory=dict)
    groups: Mapping[str, Sequence[Endpoint]] = field(default_factory=dict)
    organisations: Mapping[str, Organisation] = field(default_factory=dict)
    keyring: KeyRing = field(default_factory=lambda: KeyRing({}))

    @classmethod
    def from_body(cls, revision: int, body: str) -> Self:
        """Build a configuration from a stored bundle.

        Args:
            revision: number of the configuration.
            body: JSON of the bundle.

        Returns:
            The configuration.

        Raises:
            BundleError: the body cannot be decoded.

        """
        try:
            bundle = decode_json(body, Bundle)
        except UnreadableJsonError as exc:
            raise BundleError(f'revision {revision}: {exc}') from exc
        return cls(
            revision=revision,
            body=body,
            services={service.name: service for service in bundle.services},
            endpoints={
                endpoint.name: endpoint for endpoint in bundle.endpoints
            },
            groups=_group_by_service(bundle.endpoints),
            organisations={each.name: each for each in bundle.organisations},
            keyring=KeyRing.from_keys(bundle.keys),
        )

    def allows(self, caller: Caller) -> bool:
        """Return whether an authenticated client may still run requests.

        Args:
            caller: key name of the client, and the revision in which another
                node authenticated it.

        Returns:
            False if the key was withdrawn. A client authenticated in a later
            revision than this one is trusted.

        """
        if not caller.key or self.revision < caller.revision:
            return True
        return self.keyring.is_in_force(caller.key, caller.organisation)

    def weights(self) -> dict[str, float]:
        """Return the weight of each organisation when slots are contended.

        Returns:
            Rate in statements per second by organisation.

        """
        return {each.name: each.rate for each in self.organisations.values()}


class ConfigHolder:
    """Holds the newest configuration and never reverts to an earlier one."""

    def __init__(self) -> None:
        """Start with the empty configuration."""
        self.current = Config()

    def apply_if_newer(self, offered: Config) -> bool:
        """Apply a configuration if it is newer.

        Args:
            offered: configuration from the store or from a peer.

        Returns:
            True if it is now in force.

        """
        if offered.revision <= self.current.revision:
            return False
        self.current = offered
        return True


def location_of(endpoint: Endpoint) -> PlacementNode:
    """Return the location of an endpoint.

    Args:
        endpoint: declared endpoint.

    Returns:
        Name, region and data centre of the endpoint.

    """
    return PlacementNode(
        name=endpoint.name,
        region=endpoint.region,
        data_centre=endpoint.data_centre,
    )


def _group_by_service(
    endpoints: Sequence[Endpoint],
) -> dict[str, list[Endpoint]]:
    groups: defaultdict[str, list[Endpoint]] = defaultdict(list)
    for endpoint in endpoints:
        groups[endpoint.service].append(endpoint)
    return dict(groups)
