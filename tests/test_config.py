"""Tests of configuration: atomic updates, races and lost responses."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from trio import open_nursery, sleep

from tests.support import with_virtual_clock
from trefoilhitch._generated.peer import Caller
from trefoilhitch._generated.store import Bundle, Service
from trefoilhitch.config import Config, ConfigHolder
from trefoilhitch.decision_log import NullLog
from trefoilhitch.errors import StoreTooLargeError
from trefoilhitch.http_server import HttpServer, SharedHandlerFactory
from trefoilhitch.publisher import (
    OutcomeUnknownError,
    Publisher,
    RevisionConflictError,
)
from trefoilhitch.store import HttpObjectStore
from trefoilhitch_lab.deployment import SMALL
from trefoilhitch_lab.limits import PLATFORM_LIMITS
from trefoilhitch_lab.object_api import ObjectApi
from trefoilhitch_lab.stack import Stack, running_stack

PROPAGATION_BOUND_S = 18


def _bundle(*names: str) -> Bundle:
    return Bundle(services=[Service(name=name) for name in names])


@asynccontextmanager
async def _store() -> AsyncIterator[tuple[ObjectApi, Publisher]]:
    api = ObjectApi()
    async with open_nursery() as nursery:
        server = HttpServer(
            factory=SharedHandlerFactory(api),
            reporter=NullLog(),
            limits=PLATFORM_LIMITS,
        )
        port = await server.listen(nursery, '127.0.0.1', 0)
        yield api, Publisher(HttpObjectStore(f'127.0.0.1:{port}'))
        nursery.cancel_scope.cancel()


@with_virtual_clock
async def test_the_applied_bundle_is_returned() -> None:
    async with _store() as (_, publisher):
        assert (await publisher.current()).head.revision == 0
        await publisher.apply(_bundle('a'), base=0, operator='one')
        published = await publisher.current()
        assert (published.head.revision, published.bundle) == (1, _bundle('a'))


@with_virtual_clock
async def test_one_of_two_concurrent_operators_wins() -> None:
    """Both operators base their change on revision 0."""
    async with _store() as (_, publisher):
        outcomes: dict[str, str] = {}
        async with open_nursery() as nursery:
            for name in ('one', 'two'):
                nursery.start_soon(_apply, publisher, name, outcomes)
        assert sorted(outcomes.values()) == ['conflict 1', 'done']
        winner = next(
            name for name, outcome in outcomes.items() if outcome == 'done'
        )
        published = await publisher.current()
        assert (published.head.operator, published.bundle) == (
            winner,
            _bundle(winner),
        )


async def _apply(
    publisher: Publisher,
    name: str,
    outcomes: dict[str, str],
) -> None:
    try:
        await publisher.apply(_bundle(name), base=0, operator=name)
    except RevisionConflictError as exc:
        outcomes[name] = f'conflict {exc.current}'
    else:
        outcomes[name] = 'done'


@with_virtual_clock
async def test_a_lost_response_is_resolved_by_the_head() -> None:
    """The update took effect, but its response was lost and it is retried."""
    async with _store() as (api, publisher):
        for lost in (1, 2, 3, 4):
            api.faults.drop_responses = lost
            base = (await publisher.current()).head.revision
            try:
                await publisher.apply(
                    _bundle(f'r{lost}'), base=base, operator='o'
                )
            except OutcomeUnknownError:
                api.faults.drop_responses = 0
            published = await publisher.current()
            assert published.head.revision in {base, base + 1}
            if published.head.revision > base:
                assert published.bundle == _bundle(f'r{lost}')


@with_virtual_clock
async def test_an_outage_leaves_the_outcome_unknown() -> None:
    async with _store() as (api, publisher):
        api.faults.outage = True
        with pytest.raises(OutcomeUnknownError):
            await publisher.apply(_bundle('a'), base=0, operator='o')
        api.faults.outage = False
        assert (await publisher.current()).head.revision == 0


@with_virtual_clock
async def test_a_bundle_above_one_megabyte_changes_nothing() -> None:
    async with _store() as (_, publisher):
        large = _bundle(*(f'service-{number:08d}' for number in range(50_000)))
        with pytest.raises(StoreTooLargeError):
            await publisher.apply(large, base=0, operator='o')
        assert (await publisher.current()).head.revision == 0


def test_a_node_never_reverts_to_an_earlier_revision() -> None:
    holder = ConfigHolder()
    assert holder.apply_if_newer(
        Config.from_body(2, '{"services":[{"name":"a"}]}')
    )
    assert not holder.apply_if_newer(Config.from_body(1, '{}'))
    assert not holder.apply_if_newer(Config.from_body(2, '{}'))
    assert holder.current.revision == 2
    assert 'a' in holder.current.services


@pytest.mark.parametrize(
    ('key', 'revision', 'allowed'),
    [('', 1, True), ('k1', 1, False), ('k1', 2, False), ('k1', 3, True)],
)
def test_a_key_from_a_later_revision_is_trusted(
    key: str,
    revision: int,
    allowed: bool,
) -> None:
    caller = Caller(organisation='himal', key=key, revision=revision)
    assert Config.from_body(2, '{}').allows(caller) is allowed


async def _add_services(stack: Stack, *services: str) -> None:
    bundle = stack.bundle()
    changed = Bundle(
        services=[*bundle.services, *(Service(name=name) for name in services)],
        endpoints=bundle.endpoints,
        organisations=bundle.organisations,
        keys=bundle.keys,
    )
    cfg = stack.nodes['n1'].ctx.cfg
    publisher = Publisher(HttpObjectStore(cfg.platform.store))
    base = (await publisher.current()).head.revision
    await publisher.apply(changed, base=base, operator='test')


def _revisions(stack: Stack) -> set[int]:
    return {
        running.ctx.config.current.revision for running in stack.nodes.values()
    }


@with_virtual_clock
async def test_a_change_is_in_force_everywhere_within_the_bound() -> None:
    async with running_stack(SMALL) as stack:
        await _add_services(stack, 'new')
        await sleep(PROPAGATION_BOUND_S)
        assert _revisions(stack) == {2}


@with_virtual_clock
async def test_a_node_cut_off_from_the_store_follows_its_peers() -> None:
    async with running_stack(SMALL) as stack:
        stack.network.cut(['n1', 'n2'], ['store'])
        await _add_services(stack, 'new')
        await sleep(PROPAGATION_BOUND_S)
        assert _revisions(stack) == {2}


@with_virtual_clock
async def test_a_node_that_starts_in_an_outage_gets_the_newest_revision() -> (
    None
):
    """The store is down when a node starts."""
    async with running_stack(SMALL) as stack:
        await _add_services(stack, 'new')
        await sleep(5)
        stack.store.faults.outage = True
        stack.kill_node('n2')
        running = stack.start_node('n2')
        await running.node.started.wait()
        await sleep(2)
        assert running.node.is_ready()
        assert _revisions(stack) == {2}


@with_virtual_clock
async def test_idle_nodes_rarely_call_the_store() -> None:
    async with running_stack(SMALL) as stack:
        await sleep(30)
        stack.store.request_counts.clear()
        await sleep(60)
        calls = sum(stack.store.request_counts.values())
        assert calls <= 60 / 20 * len(stack.nodes) + len(stack.nodes)
