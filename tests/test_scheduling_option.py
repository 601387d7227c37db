"""The option that has statements served by priority, on whole nodes."""

from dataclasses import replace

import pytest
from msgspec import structs

from tests.support import run_virtual
from trefoilhitch.pooler.options import default_options
from trefoilhitch.pooler.settings import PoolerSettings
from trefoilhitch_lab.wire_client import wire_client
from trefoilhitch_lab.wire_stack import WireStack, running_wire_stack

KEY = 'key-himal'


async def _metrics_after_statements() -> str:
    """Return the metrics of a node that has run a write and a transaction."""
    async with running_wire_stack() as stack:
        node = stack.nodes['node-1']
        async with wire_client(node.address) as client:
            await client.start('orders', KEY)
            for text in ('WRITE a 1', 'BEGIN', 'WRITE a 2', 'COMMIT', 'READ a'):
                response = await client.query(text)
                assert not response.code, response
        return node.metrics.render()


@pytest.mark.parametrize('is_on', [True, False])
def test_limit_exists_only_with_the_option(
    monkeypatch: pytest.MonkeyPatch, *, is_on: bool
) -> None:
    make_settings = WireStack._settings
    options = default_options()
    scheduling = structs.replace(
        options.scheduling, statements_by_priority=is_on
    )
    changed = structs.replace(options, scheduling=scheduling)

    def settings(stack: WireStack, name: str, store: str) -> PoolerSettings:
        return replace(make_settings(stack, name, store), options=changed)

    monkeypatch.setattr(WireStack, '_settings', settings)
    metrics = run_virtual(_metrics_after_statements)
    assert ('trefoilhitch_concurrency_limit{endpoint=' in metrics) is is_on
