"""Tests of placement and membership."""

from trefoilhitch._generated.peer import GroupChange, MemberBeat
from trefoilhitch._generated.record import PlacementNode
from trefoilhitch.group_changes import CHANGE_TTL_S, GroupChanges
from trefoilhitch.member_table import FAILURE_TIMEOUT_S, MemberTable
from trefoilhitch.placement import choose_monitors, choose_owner, rank_nodes


def _node(
    name: str, data_centre: str = 'a', region: str = 'east'
) -> PlacementNode:
    return PlacementNode(name=name, data_centre=data_centre, region=region)


SAME_DATA_CENTRE = [_node(f'n{number}') for number in range(6)]
SAME_REGION = _node('m', 'b')
OTHER_REGION = _node('f', 'c', 'west')


def test_one_of_the_nearest_nodes_owns_an_endpoint() -> None:
    assert choose_owner(
        _node('e'), [OTHER_REGION, SAME_REGION, *SAME_DATA_CENTRE]
    ) in {node.name for node in SAME_DATA_CENTRE}
    assert choose_owner(_node('e'), [OTHER_REGION, SAME_REGION]) == 'm'
    assert choose_owner(_node('e'), [OTHER_REGION]) == 'f'
    assert choose_owner(_node('e'), []) is None


def test_a_node_that_leaves_moves_only_its_share() -> None:
    endpoints = [_node(f'e{number}') for number in range(200)]
    before = {
        each.name: choose_owner(each, SAME_DATA_CENTRE) for each in endpoints
    }
    after = {
        each.name: choose_owner(each, SAME_DATA_CENTRE[1:])
        for each in endpoints
    }
    moved = [name for name, old in before.items() if after[name] != old]
    assert moved == [name for name, old in before.items() if old == 'n0']
    assert 10 < len(moved) < 70


def test_ranking_names_every_node_once() -> None:
    nodes = [OTHER_REGION, SAME_REGION, *SAME_DATA_CENTRE]
    assert sorted(rank_nodes(_node('e'), nodes)) == sorted(
        each.name for each in nodes
    )
    assert len(set(choose_monitors('orders', SAME_DATA_CENTRE, 2))) == 2


def _beat(
    counter: int, incarnation: int = 1, state: str = 'live'
) -> MemberBeat:
    return MemberBeat(
        node='n',
        address='127.0.0.1:1',
        region='east',
        data_centre='a',
        incarnation=incarnation,
        counter=counter,
        state=state,  # type: ignore[arg-type]
    )


def test_a_node_fails_when_its_heartbeat_stops() -> None:
    members = MemberTable().merge([_beat(1)], 0)
    assert members.live(FAILURE_TIMEOUT_S / 2)
    members = members.merge([_beat(1)], 1)
    assert not members.live(FAILURE_TIMEOUT_S)
    assert (
        MemberTable().merge([_beat(1)], 0).without_expired(10_000).members == {}
    )


def test_an_outdated_heartbeat_does_not_revive_a_node() -> None:
    members = MemberTable().merge([_beat(5, incarnation=2)], 0)
    members = members.merge([_beat(900, incarnation=1), _beat(4, 2)], 3)
    assert not members.live(3)
    assert members.merge([_beat(1, incarnation=3)], 3).live(3)


def test_a_peer_gets_only_newer_heartbeats() -> None:
    members = MemberTable().merge([_beat(5, incarnation=2)], 0)
    assert members.newer_than([], 1) == [_beat(5, 2)]
    assert members.newer_than([_beat(4, 2)], 1) == [_beat(5, 2)]
    assert not members.newer_than([_beat(5, 2)], 1)
    assert not members.newer_than([], FAILURE_TIMEOUT_S)


def test_a_leaving_node_is_reachable_but_gets_no_work() -> None:
    members = MemberTable().merge([_beat(1, state='leaving')], 0)
    assert members.reachable(1)
    assert not members.live(1)


def test_only_changes_of_later_terms_are_newer() -> None:
    change = GroupChange(service='orders', term=3, primary='b')
    older = GroupChange(service='orders', term=2, primary='a')
    changes = GroupChanges().merge([change], 0)
    assert changes.newer_than_known([change, older]) == []
    assert changes.unexpired(1) == [change]
    assert not changes.unexpired(CHANGE_TTL_S)
