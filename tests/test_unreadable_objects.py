"""One object that cannot be read costs neither a node nor the other objects."""

from functools import partial
from typing import Any

import pytest
from trio import sleep

from tests import test_wire_failover as failover
from tests.odd_objects import FIELDS, KINDS, SPECS
from tests.support import run_virtual
from tests.test_wire_failover import KEY, primary_of
from trefoilhitch.platform.object_store import (
    CONFIG_KIND,
    CONFIG_NAME,
    ENDPOINT_KIND,
)
from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_stack import (
    WireStack,
    make_declaration,
    running_wire_stack,
)

ODD_NAME = 'another-writer'
APPLY_S = 1.5


async def restart_all(stack: WireStack) -> None:
    """Kill all nodes at once and start them again."""
    names = list(stack.nodes)
    for name in names:
        stack.kill_node(name)
    for name in names:
        await stack.start_node(name)
    await stack.wait_until_ready()


async def expect_service(stack: WireStack) -> None:
    """Read and write at every node, and apply a change on all of them."""
    key = add_key(stack)
    await sleep(APPLY_S)
    for name, running in stack.nodes.items():
        assert await failover.write(stack, f'mark-{name}', name) == ''
        async with wire_client(running.address) as client:
            assert await client.start('stock', key) == 'READY I -'
            assert (await client.query('READ mark')).code == ''


def add_key(stack: WireStack) -> str:
    """Declare a new key; return it."""
    of_kind = stack.store_state.objects_by_kind[CONFIG_KIND]
    spec = of_kind[CONFIG_NAME]['spec']
    revision = spec['config_version'] + 1
    key = f'key-{revision}'
    tenants = [{**spec['tenants'][0], 'api_keys': [KEY, key]}]
    changed = make_declaration(revision, tenants=tenants)
    stack.store_state.put(CONFIG_KIND, CONFIG_NAME, changed)
    return key


async def play_object(kind: str, name: str, spec: Any) -> None:
    """Write one object beside the others, on a watch and before a restart."""
    async with running_wire_stack() as stack:
        await expect_service(stack)
        stack.store_state.put(kind, name, spec)
        await sleep(APPLY_S)
        await expect_service(stack)
        await restart_all(stack)
        await expect_service(stack)
        primary_of(stack).crash()
        primary_of(stack).is_primary = False
        await failover.write_until_done(stack, 'after')


@pytest.mark.parametrize('spec', SPECS)
@pytest.mark.parametrize('kind', KINDS)
def test_unreadable_object_ends_no_node_and_hides_no_other(
    kind: str, spec: str
) -> None:
    run_virtual(partial(play_object, kind, ODD_NAME, SPECS[spec]))


@pytest.mark.parametrize('changed', FIELDS)
def test_odd_entry_names_no_endpoint_and_hides_no_other(changed: str) -> None:
    async def play() -> None:
        async with running_wire_stack() as stack:
            entry = stack.endpoint_entry('ledger-2', **FIELDS[changed])
        await play_object(ENDPOINT_KIND, ODD_NAME, entry)

    run_virtual(play)
