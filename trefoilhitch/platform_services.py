"""Clients of the platform's services, each behind one protocol."""

from dataclasses import dataclass
from typing import Self

from trefoilhitch._generated.settings import Settings
from trefoilhitch.endpoint_client import (
    EndpointConnector,
    HttpEndpointConnector,
)
from trefoilhitch.store import (
    HttpObjectStore,
    HttpVmDirectory,
    ObjectStore,
    VmDirectory,
)


@dataclass(frozen=True, slots=True)
class PlatformServices:
    """Clients of the platform's services.

    Args:
        store: client of the object API.
        vm_directory: client of the VM list.
        endpoints: opens connections to database endpoints.

    """

    store: ObjectStore
    vm_directory: VmDirectory
    endpoints: EndpointConnector

    @classmethod
    def from_settings(cls, cfg: Settings) -> Self:
        """Build clients that use HTTP.

        Args:
            cfg: settings of the node.

        Returns:
            The clients.

        """
        return cls(
            HttpObjectStore(cfg.platform.store),
            HttpVmDirectory(cfg.platform.vm_list),
            HttpEndpointConnector(cfg.node.name),
        )
