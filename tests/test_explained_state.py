"""What explanations read of a node's rates and connections stays as it is."""

from dataclasses import dataclass
from random import Random

from trio import current_time

from tests.fingerprint import fingerprint
from tests.support import with_virtual_clock
from tests.test_connection_guard import beat
from tests.test_read_target_finder import SERVICE, make_cluster
from trefoilhitch.pooler.catalogue import Catalogue, Organisation, Service
from trefoilhitch.pooler.connection_caps import ConnectionCaps
from trefoilhitch.pooler.current_declaration import (
    CurrentDeclaration,
    Declaration,
)
from trefoilhitch.pooler.gateway_directory import GatewayDirectory
from trefoilhitch.pooler.held_rates import HeldRates
from trefoilhitch.pooler.membership_view import MembershipView
from trefoilhitch.pooler.rate_limit import RateRule
from trefoilhitch.pooler.rate_shares import RateShares

CATALOGUE = Catalogue(
    1,
    services={SERVICE: Service(SERVICE, 30, 1)},
    organisations={'himal': Organisation('himal', 10, 10)},
)


@dataclass(frozen=True)
class Node:
    """What a node without gateways knows of others."""

    declaration: CurrentDeclaration
    membership: MembershipView
    directory: GatewayDirectory


def make_node() -> Node:
    """Return a node that has listed all nodes."""
    declaration = CurrentDeclaration()
    declaration.apply_if_newer(Declaration(CATALOGUE, ''))
    membership = MembershipView(
        heartbeat=beat('10.0.0.1:1'), random=Random(1), clock=current_time
    )
    membership.nodes_listed = True
    directory = GatewayDirectory(
        membership=membership,
        declaration=declaration,
        data_centres=('dc',),
        window_s=5,
        clock=current_time,
    )
    return Node(declaration, membership, directory)


@with_virtual_clock
async def test_slots_do_not_start_the_wait_for_a_primary() -> None:
    # Guards against an explanation from which a statement would conclude that
    # the service has had no primary for a while.
    node = make_node()
    cluster = make_cluster()
    cluster.record_not_primary(SERVICE, 'a', 'test')
    caps = ConnectionCaps(
        declaration=node.declaration,
        cluster=cluster,
        membership=node.membership,
        directory=node.directory,
    )
    before = fingerprint(cluster)
    assert caps.slot_bounds('a').connections > 1
    assert fingerprint(cluster) == before


@with_virtual_clock
async def test_the_current_share_is_that_of_the_members_so_far() -> None:
    # Guards against an explanation that applies a change of the members to
    # all rates.
    node = make_node()
    shares = RateShares(RateRule(), current_time())
    rates = HeldRates(
        shares=shares,
        membership=node.membership,
        directory=node.directory,
        clock=current_time,
    )
    rates.apply_catalogue(CATALOGUE)
    rates.refresh()
    node.membership.merge([beat('10.0.0.2:1')])
    before = fingerprint(shares)
    assert rates.current('himal') is shares.share('himal')
    assert rates.current('unknown') is None
    assert fingerprint(shares) == before
    assert rates.share('himal') is shares.share('himal')
    assert fingerprint(shares) != before
