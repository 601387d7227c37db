"""Which nodes hold connections and rates."""

from collections import Counter
from collections.abc import Callable
from random import Random

import pytest
from msgspec.structs import replace as replace_message

from trefoilhitch._generated.peer import MemberBeat
from trefoilhitch.pooler.catalogue import Catalogue, Organisation, Service
from trefoilhitch.pooler.control.capacity_ranking import rank_weighted
from trefoilhitch.pooler.control.status_relays import rank_relays
from trefoilhitch.pooler.current_declaration import (
    CurrentDeclaration,
    Declaration,
)
from trefoilhitch.pooler.gateway_directory import GatewayDirectory
from trefoilhitch.pooler.gateway_placement import (
    BACKUP_CONNECTIONS,
    RESERVED_CONTROL_CONNECTIONS,
    Capacity,
    choose_gateways,
    choose_strong_gateways,
    gateway_count,
    gateway_share,
    rank_by_name,
    uses_gateways,
)
from trefoilhitch.pooler.gateway_selection import TRANSITION_S
from trefoilhitch.pooler.membership_view import MembershipView

DATA_CENTRES = tuple(f'dc-{number}' for number in range(6))
ORGANISATIONS = tuple(f'org-{number}' for number in range(140))


def nodes(count: int) -> list[MemberBeat]:
    """Return nodes in all data centres."""
    return [
        MemberBeat(
            node=f'edge-{number}',
            address=f'10.0.0.{number}:1',
            region=f'region-{number % 3}',
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            incarnation=1,
            counter=1,
            state='live',
        )
        for number in range(count)
    ]


@pytest.mark.parametrize(
    ('connections', 'operations', 'node_count', 'expected'),
    [
        (33, 150, 7, False),
        (43, 150, 8, False),
        (16, 150, 6, False),
        (75, 40, 63, True),
        # Connections suffice, but a rate cannot be divided that far.
        (292, 40, 89, True),
        (180, 30, 195, True),
        (33, 150, 15, True),
    ],
)
def test_gateways_are_used_where_parts_become_too_small(
    connections: int, operations: float, node_count: int, expected: bool
) -> None:
    assert uses_gateways(Capacity(connections, operations), node_count) is (
        expected
    )


@pytest.mark.parametrize('connections', [16, 42, 75, 180, 292, 1000])
@pytest.mark.parametrize('node_count', [1, 3, 15, 33, 71])
def test_gateways_of_an_endpoint_stay_below_its_limit(
    connections: int, node_count: int
) -> None:
    gateways = gateway_count(connections, node_count)
    assert 1 <= gateways <= node_count
    assert gateways * gateway_share(connections, gateways) <= connections


def test_lost_gateway_moves_only_its_organisations() -> None:
    before = nodes(195)
    gateways = choose_gateways('dc-0', before, 180).gateways
    lost = gateways[0]
    after = [node for node in before if node != lost]
    remaining = choose_gateways('dc-0', after, 180).gateways
    assert set(gateways) - set(remaining) == {lost}
    moved = [
        name
        for name in ORGANISATIONS
        if rank_by_name(name, gateways)[0] != lost
        and rank_by_name(name, gateways)[0] != rank_by_name(name, remaining)[0]
    ]
    new = set(remaining) - set(gateways)
    assert all(rank_by_name(name, remaining)[0] in new for name in moved)


def directory_of(
    own: MemberBeat,
    known: list[MemberBeat],
    clock: Callable[[], float] = float,
) -> GatewayDirectory:
    """Return the directory of one node."""
    membership = MembershipView(heartbeat=own, random=Random(0), clock=float)
    membership.merge(known)
    return directory_on(membership, clock)


def directory_on(
    membership: MembershipView, clock: Callable[[], float] = float
) -> GatewayDirectory:
    """Return a directory of the members that a view holds."""
    declaration = CurrentDeclaration()
    catalogue = Catalogue(
        revision=1,
        services={'ledger': Service('ledger', 180, 1)},
        organisations={
            name: Organisation(name, 5, 5) for name in ORGANISATIONS
        },
    )
    declaration.apply_if_newer(Declaration(catalogue, ''))
    return GatewayDirectory(
        membership=membership,
        declaration=declaration,
        data_centres=DATA_CENTRES,
        window_s=5,
        clock=clock,
    )


def test_each_rate_has_one_holder_in_each_data_centre() -> None:
    members = nodes(195)
    directories = [directory_of(own, members) for own in members]
    for name in ORGANISATIONS[:10]:
        holders = [
            own.data_centre
            for own, directory in zip(members, directories, strict=True)
            if directory.holds_rate(name)
        ]
        assert sorted(holders) == sorted(DATA_CENTRES)


def test_parts_of_a_rate_do_not_grow_when_nodes_are_lost() -> None:
    members = nodes(195)
    failed = [
        MemberBeat(
            node=node.node,
            address=node.address,
            region=node.region,
            data_centre=node.data_centre,
            incarnation=1,
            counter=1,
            state='failed',
        )
        for node in members
        if node.data_centre != 'dc-0'
    ]
    directory = directory_of(members[0], [*members, *failed])
    assert directory.rate_holder_count() == len(DATA_CENTRES)


def test_all_gateways_together_stay_below_the_limit() -> None:
    members = nodes(195)
    caps = [
        directory_of(own, members).connection_cap('dc-3', 180)
        for own in members
    ]
    assert 100 < sum(caps) <= 180


def beat(number: int, capacity: int, data_centre: str = 'dc-0') -> MemberBeat:
    """Return the state of a node with a capacity."""
    return MemberBeat(
        node=f'edge-{data_centre}-{number}',
        address=f'10.0.0.{number}:1',
        region='region-0',
        data_centre=data_centre,
        incarnation=1,
        counter=1,
        state='live',
        capacity=capacity,
    )


def unequal(count: int = 20, data_centre: str = 'dc-0') -> list[MemberBeat]:
    """Return nodes of which two are strong, as in a real data centre."""
    weak = (360, 520)
    return [
        beat(number, 2150 if number < 2 else weak[number % 2], data_centre)
        for number in range(count)
    ]


@pytest.mark.parametrize('capacity', [0, 500])
def test_equal_capacities_change_no_choice(capacity: int) -> None:
    before = nodes(195)
    equal = [replace_message(each, capacity=capacity) for each in before]
    for name in DATA_CENTRES:
        chosen = choose_strong_gateways(name, equal, 180)
        expected = choose_gateways(name, equal, 180)
        assert chosen == expected
        assert [chosen.rank(each) for each in ORGANISATIONS] == [
            expected.rank(each) for each in ORGANISATIONS
        ]


@pytest.mark.parametrize('connections', [24, 42, 70, 132, 1000])
def test_strong_nodes_are_the_gateways(connections: int) -> None:
    members = unequal()
    chosen = choose_strong_gateways('dc-0', members, connections)
    today = choose_gateways('dc-0', members, connections)
    assert len(chosen.gateways) <= len(today.gateways)
    assert len(chosen.gateways) == min(2, len(today.gateways))
    assert {each.capacity for each in chosen.gateways} == {2150}


def test_gateways_by_capacity_stay_below_the_limit() -> None:
    members = unequal()
    for connections in (16, 42, 70, 132, 1000):
        chosen = choose_strong_gateways('dc-0', members, connections)
        caps = [
            chosen.connection_cap(each.node, connections) for each in members
        ]
        assert sum(caps) <= connections


@pytest.mark.parametrize('connections', [70, 132])
def test_few_strong_gateways_have_several_stand_ins(connections: int) -> None:
    # A partition separates a node from two gateways more often than from
    # four or more nodes.
    chosen = choose_strong_gateways('dc-0', unequal(), connections)
    before = choose_gateways('dc-0', nodes(20), connections)
    ranked = chosen.rank('himal')
    assert len(ranked) >= max(5, len(before.rank('himal')))
    caps = [chosen.connection_cap(each.node, connections) for each in ranked]
    assert sum(caps) <= connections - RESERVED_CONTROL_CONNECTIONS
    assert min(caps) >= BACKUP_CONNECTIONS


def test_stand_ins_share_the_organisations() -> None:
    chosen = choose_strong_gateways('dc-0', unequal(), 132)
    first = {chosen.rank(f'org-{number}')[2].node for number in range(50)}
    assert len(first) > 1


def test_single_strong_node_shares_with_another() -> None:
    members = [each for each in unequal() if not each.node.endswith('-1')]
    chosen = choose_strong_gateways('dc-0', members, 70)
    assert len(chosen.gateways) == 2
    assert chosen.gateways[0].capacity == 2150
    weaker = chosen.gateways[1]
    held = sum(
        chosen.rank(name)[0].node == weaker.node for name in ORGANISATIONS
    )
    share = weaker.capacity / (weaker.capacity + 2150)
    assert held < 2 * share * len(ORGANISATIONS)


def test_organisations_are_divided_by_capacity() -> None:
    members = [beat(1, 1000), beat(2, 2000), beat(3, 1500)]
    names = [f'org-{number}' for number in range(3000)]
    first = Counter(rank_weighted(name, members)[0].capacity for name in names)
    assert first[1000] == pytest.approx(3000 * 10 / 45, rel=0.1)
    assert first[2000] == pytest.approx(3000 * 20 / 45, rel=0.1)


def test_node_that_joins_or_leaves_moves_only_its_organisations() -> None:
    members = [beat(number, 1000 + 100 * number) for number in range(8)]
    joined = beat(9, 1700)
    for name in ORGANISATIONS:
        before = rank_weighted(name, members)[0]
        after = rank_weighted(name, [*members, joined])[0]
        assert after in {before, joined}
    moved = sum(
        rank_weighted(name, [*members, joined])[0] is joined
        for name in ORGANISATIONS
    )
    assert 0 < moved < len(ORGANISATIONS) / 4


def test_weak_node_that_joins_or_leaves_moves_nothing() -> None:
    members = unequal()
    before = choose_strong_gateways('dc-0', members, 132)
    for changed in ([*members, beat(30, 520)], members[:-1]):
        after = choose_strong_gateways('dc-0', changed, 132)
        assert [after.rank(name)[:2] for name in ORGANISATIONS] == [
            before.rank(name)[:2] for name in ORGANISATIONS
        ]


def test_lost_strong_node_moves_only_its_organisations() -> None:
    members = unequal()
    before = choose_strong_gateways('dc-0', members, 132)
    lost = before.gateways[0]
    after = choose_strong_gateways(
        'dc-0', [each for each in members if each != lost], 132
    )
    new = set(after.gateways) - set(before.gateways)
    for name in ORGANISATIONS:
        first = before.rank(name)[0]
        if first != lost:
            assert after.rank(name)[0] in {first, *new}


def members_of_all() -> list[MemberBeat]:
    """Return unequal nodes of all data centres."""
    return [each for name in DATA_CENTRES for each in unequal(20, name)]


def test_each_rate_has_one_holder_by_capacity() -> None:
    members = members_of_all()
    directories = [directory_of(own, members) for own in members]
    for name in ORGANISATIONS[:10]:
        holders = [
            own
            for own, directory in zip(members, directories, strict=True)
            if directory.holds_rate(name)
        ]
        assert sorted(each.data_centre for each in holders) == sorted(
            DATA_CENTRES
        )
        assert {each.capacity for each in holders} == {2150}
    caps = [each.connection_cap('dc-3', 180) for each in directories]
    assert 100 < sum(caps) <= 180


def test_one_node_without_capacity_keeps_all_to_the_same_choice() -> None:
    # A node of an earlier release, or one whose operator turned the choice by
    # capacity off, chooses without capacities; the others have to agree.
    members = members_of_all()
    unknown = replace_message(members[-1], capacity=0)
    mixed = [*members[:-1], unknown]
    without = [replace_message(each, capacity=0) for each in members]
    expected = directory_of(without[0], without)
    for own in mixed[::7]:
        directory = directory_of(own, mixed)
        for name in ORGANISATIONS[:10]:
            chosen = [each.node for each in directory.rank('dc-2', name)]
            assert chosen == [each.node for each in expected.rank('dc-2', name)]


def test_relays_are_strong_nodes_of_the_same_data_centre() -> None:
    members = members_of_all()
    ranked = rank_relays('ledger-1', members[5], members)
    assert {each.data_centre for each in ranked} == {members[5].data_centre}
    assert [each.capacity for each in ranked[:2]] == [2150, 2150]
    first = Counter(
        rank_relays(f'ledger-{number}', members[5], members)[0].node
        for number in range(200)
    )
    assert len(first) == 2
    assert min(first.values()) > 60


class SteppedClock:
    """A clock that a test moves on."""

    def __init__(self) -> None:
        """Start at zero."""
        self.now: float = 0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


def test_changed_way_to_choose_exceeds_neither_limit_nor_rate() -> None:
    # A node without a known capacity joins, and half of the nodes know.
    members = members_of_all()
    unknown = beat(99, 0, 'dc-5')
    clock = SteppedClock()
    views = []
    for own in members:
        view = MembershipView(heartbeat=own, random=Random(0), clock=clock)
        view.merge(members)
        views.append(view)
    directories = [directory_on(view, clock) for view in views]
    assert all(each.is_active for each in directories)
    for view in views[::2]:
        view.merge([unknown])
    for connections in (70, 132, 180):
        caps = [
            each.connection_cap('dc-3', connections) for each in directories
        ]
        assert sum(caps) <= connections
    for name in ORGANISATIONS:
        holders = [each for each in directories if each.holds_rate(name)]
        assert len(holders) <= len(DATA_CENTRES)
    for view in views[1::2]:
        view.merge([unknown])
    assert all(each.is_in_transition for each in directories)
    clock.now += TRANSITION_S
    assert not any(each.is_in_transition for each in directories)
    for name in ORGANISATIONS:
        holders = [each for each in directories if each.holds_rate(name)]
        # The node that joined may hold the part of its data centre.
        assert len(holders) >= len(DATA_CENTRES) - 1
