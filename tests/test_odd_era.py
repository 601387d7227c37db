"""An era of the store that only another node names."""

from typing import Any

import pytest
from msgspec.json import encode
from trio import sleep

from tests.support import run_virtual
from tests.test_odd_peer_messages import BEAT, EXCHANGES_S, NODES, post
from tests.test_unreadable_objects import expect_service
from trefoilhitch_lab.wire_stack import running_wire_stack

# Far above any that the store has begun.
ODD_ERA = 2**40


@pytest.mark.parametrize(
    'fields',
    [
        {'store_era': ODD_ERA},
        {'entries_era': ODD_ERA, 'entries_revision': 1},
        {'store_era': ODD_ERA, 'entries_era': ODD_ERA},
    ],
    ids=('store', 'entries', 'both'),
)
def test_era_that_only_a_node_names_keeps_no_node_from_the_store(
    fields: dict[str, Any],
) -> None:
    async def play() -> None:
        async with running_wire_stack(nodes=NODES) as stack:
            await expect_service(stack)
            message = {'beats': [{**BEAT, 'state': 'leaving'}], **fields}
            await post(stack, 'node-0', 'exchange', encode(message))
            await sleep(EXCHANGES_S)
            await expect_service(stack)

    run_virtual(play)
