"""Creates the adapters to the users' platform."""

from trefoilhitch.platform.endpoint_connection import WireConnector
from trefoilhitch.platform.group_store import PlatformGroupStore
from trefoilhitch.platform.lease_store import (
    PlatformLeaseStore,
    PlatformNodeRegistry,
)
from trefoilhitch.platform.object_store import ObjectStoreClient
from trefoilhitch.platform.promotion_client import PromotionClient
from trefoilhitch.platform.sources import (
    DeclarationSource,
    EndpointSource,
    EvacuationSource,
    read_declaration,
)
from trefoilhitch.platform.unreadable_reporter import UnreadableReporter
from trefoilhitch.pooler.node_environment import ExternalServices, NodeRuntime
from trefoilhitch.pooler.settings import PoolerSettings
from trefoilhitch.pooler.store_era import StoreEra


def make_external_services(
    cfg: PoolerSettings, runtime: NodeRuntime
) -> ExternalServices:
    """Create the adapters to the platform.

    Args:
        cfg: settings of the node.
        runtime: records what cannot be decoded, and the store's era.

    Returns:
        The adapters that a node uses.

    """
    era = StoreEra(clock=runtime.clock, log=runtime.log)
    unreadable = UnreadableReporter(runtime.log, runtime.metrics)
    store = ObjectStoreClient(cfg.store_address, era)
    return ExternalServices(
        era=era,
        make_connector=WireConnector,
        leases=PlatformLeaseStore(store, unreadable),
        groups=PlatformGroupStore(store, unreadable),
        promoter=PromotionClient(cfg.promotion_address, cfg.node),
        registry=PlatformNodeRegistry(store, unreadable),
        declarations=DeclarationSource(store, unreadable),
        endpoints=EndpointSource(store, unreadable),
        evacuations=EvacuationSource(store, unreadable),
        read_declaration=read_declaration,
    )
