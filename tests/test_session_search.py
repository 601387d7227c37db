"""Seeded search over sessions: what was sent compared with what ran.

A longer search by hand: SESSION_SEEDS=400, and SESSION_FIRST_SEED to go on.
SESSION_CONNECTIONS is the number of connections of an endpoint, 12 by default.
"""

import os
from collections.abc import Callable

import pytest

from tests.session_scripts import (
    ClientScript,
    Script,
    Step,
    draw_script,
)
from tests.session_search import (
    cut_down,
    find_breaks,
    report_breaks,
    run_script,
    sessions_by_connection,
)
from tests.wire_mutations import (
    Mutation,
    cut_at_white_space,
    mutated_lines,
    names_from_shapes,
    no_reset,
    no_trailing_blank,
    one_name_for_all,
    prepared_elsewhere,
)

SEEDS = int(os.environ.get('SESSION_SEEDS', '30'))
FIRST_SEED = int(os.environ.get('SESSION_FIRST_SEED', '0'))
# Seeds that play each mutation; the first ones without faults.
MUTATED_SEEDS = (0, 1, 2, 5, 6)


@pytest.mark.parametrize('seed', range(FIRST_SEED, FIRST_SEED + SEEDS))
def test_endpoints_run_what_clients_sent(seed: int) -> None:
    """Guards against statements, shapes and values that nobody sent."""
    script = draw_script(seed)
    breaks = find_breaks(script)
    assert not breaks, report_breaks(script, breaks)


def _nodes_by_connection(script: Script) -> list[set[str]]:
    nodes = {client.client: client.node for client in script.clients}
    return [
        {nodes[session.partition('.')[0]] for session in sessions}
        for sessions in sessions_by_connection(run_script(script)).values()
    ]


def test_search_covers_shared_connections_and_gateways() -> None:
    """Guards against scripts in which no two sessions ever meet."""
    sessions = sessions_by_connection(run_script(draw_script(0))).values()
    assert sum(len(names) > 1 for names in sessions) >= 5
    # Only gateways run statements of other nodes' clients.
    assert max(map(len, _nodes_by_connection(draw_script(0)))) == 1
    assert max(map(len, _nodes_by_connection(draw_script(2)))) > 1


CHANGED_TEXT = ('UNASKED', 'changed text')
OTHER_VALUES = ('PINNED', 'values')
OTHER_SHAPE = ('PINNED', 'ran a shape')
UNKNOWN_NAME = ('PINNED', 'unknown though acknowledged')


@pytest.mark.parametrize(
    ('mutation', 'expected'),
    [
        (names_from_shapes, {CHANGED_TEXT, OTHER_SHAPE}),
        (cut_at_white_space, {CHANGED_TEXT, OTHER_VALUES, OTHER_SHAPE}),
        (no_trailing_blank, {CHANGED_TEXT, OTHER_VALUES, OTHER_SHAPE}),
        (no_reset, {OTHER_VALUES}),
        (prepared_elsewhere, {UNKNOWN_NAME}),
        (one_name_for_all, {OTHER_SHAPE}),
    ],
)
def test_checker_detects_faulty_lines(
    mutation: Callable[[], Mutation], expected: set[tuple[str, str]]
) -> None:
    """Guards against a checker that passes over a fault of this kind."""
    found: set[tuple[str, str]] = set()
    for seed in MUTATED_SEEDS:
        with mutated_lines(mutation()):
            found |= {each.kind for each in find_breaks(draw_script(seed))}
    assert expected <= found


def test_failed_script_is_cut_down_to_what_it_needs() -> None:
    """Guards against reports in which the cause is hard to find."""
    script = draw_script(3)
    needed = {script.clients[1].steps[7], script.clients[4].steps[20]}

    def still_breaks(smaller: Script) -> bool:
        left = {step for client in smaller.clients for step in client.steps}
        return needed <= left

    smallest = cut_down(script, still_breaks)
    assert [len(client.steps) for client in smallest.clients] == [1, 1]
    assert still_breaks(smallest)
    assert len(smallest.faults) == 1


def _many_shapes(count: int, size: int) -> Script:
    texts = [
        text
        for number in range(count)
        for text in (
            b'PREPARE s1 WRITE %d %s' % (number, b'x' * size),
            b'EXECUTE s1 a b',
        )
    ]
    steps = tuple(
        Step(text, f'c0-{number}'.encode(), 0)
        for number, text in enumerate(texts)
    )
    return Script(1, (ClientScript('c0', 'node-0', 'himal', 'orders', steps),))


@pytest.mark.parametrize(('count', 'size'), [(300, 0), (7, 900000)])
def test_connection_holds_bounded_names(count: int, size: int) -> None:
    """Guards against shapes of one client that fill an endpoint's memory."""
    breaks = find_breaks(_many_shapes(count, size))
    assert not breaks, '\n'.join(map(str, breaks))
