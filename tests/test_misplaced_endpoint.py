"""An endpoint's entry that names an undeclared service again and again."""

import pytest
from trio import Nursery, sleep

from tests import test_unreadable_objects as unreadable
from tests import test_wire_failover as failover
from tests.support import run_virtual
from tests.test_overwritten_entries import PRIMARY, REPLICA, overwrite
from tests.test_wire_failover import GAP_BOUND_S, primary_of
from trefoilhitch_lab.wire_group import WireGroup
from trefoilhitch_lab.wire_stack import running_wire_stack

# Longer than an entry may be missing before its endpoint is lost.
LOST_AFTER_S = 3.5
SOON_S = 0.5


def test_entry_written_twice_for_another_service_loses_a_commit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    start = WireGroup.start

    async def start_four(
        group: WireGroup, nursery: Nursery, data_centres: tuple[str, ...]
    ) -> None:
        await start(group, nursery, (*data_centres, data_centres[-1]))

    monkeypatch.setattr(WireGroup, 'start', start_four)

    async def play() -> None:
        async with running_wire_stack() as stack:
            await unreadable.expect_service(stack)
            endpoints = stack.group.endpoints
            others = endpoints.keys() - {PRIMARY, REPLICA}
            for name in others:
                endpoints[name].faults.cut_from_group = True
            assert await failover.write(stack, 'only-in-one') == ''
            overwrite(stack, REPLICA, {'service': 'none', 'capacity': 7})
            await sleep(LOST_AFTER_S)
            overwrite(stack, REPLICA, {'service': 'none', 'capacity': 8})
            await sleep(SOON_S)
            for name in others:
                endpoints[name].faults.cut_from_group = False
            primary_of(stack).crash()
            await sleep(GAP_BOUND_S)
            assert stack.group.lost_entries == []

    run_virtual(play)
