"""Configurations of nodes whose object API was restored from an older copy."""

from trio import sleep

from tests.support import with_virtual_clock
from tests.test_config import PROPAGATION_BOUND_S
from trefoilhitch._generated.store import Bundle, Head, Service
from trefoilhitch.config import Config
from trefoilhitch.head_repair import HeadState, bundle_digest, compare_head
from trefoilhitch.publisher import Publisher
from trefoilhitch.store import HttpObjectStore
from trefoilhitch_lab.deployment import SMALL
from trefoilhitch_lab.stack import Stack, running_stack

BODY = '{"services":[{"name":"a"}]}'
SOON_S = 5.0


def publisher_of(stack: Stack) -> Publisher:
    """Return the operators' access to the store."""
    cfg = stack.nodes['n1'].ctx.cfg
    return Publisher(HttpObjectStore(cfg.platform.store))


async def add_service(stack: Stack, name: str) -> int:
    """Apply a configuration with a further service; return its revision."""
    bundle = stack.bundle()
    changed = Bundle(
        services=[*bundle.services, Service(name=name)],
        endpoints=bundle.endpoints,
        organisations=bundle.organisations,
        keys=bundle.keys,
    )
    publisher = publisher_of(stack)
    base = (await publisher.current()).head.revision
    return (await publisher.apply(changed, base=base, operator='test')).revision


def nodes_with(stack: Stack, service: str) -> set[str]:
    """Return the nodes that have a service in force."""
    return {
        name
        for name, running in stack.nodes.items()
        if service in running.ctx.config.current.services
    }


@with_virtual_clock
async def test_change_after_a_restoration_is_ignored() -> None:
    async with running_stack(SMALL) as stack:
        copy = stack.store.copy()
        assert await add_service(stack, 'lost') == 2
        await sleep(PROPAGATION_BOUND_S)
        # The next change comes before any node reads the restored store.
        stack.network.cut(list(stack.nodes), ['store'])
        stack.store.restore(copy)
        assert await add_service(stack, 'later') == 2
        stack.network.heal()
        await sleep(PROPAGATION_BOUND_S)
        assert nodes_with(stack, 'later') == set(stack.nodes)


@with_virtual_clock
async def test_confirmed_change_stays_lost_in_the_store() -> None:
    async with running_stack(SMALL) as stack:
        copy = stack.store.copy()
        await add_service(stack, 'lost')
        await sleep(PROPAGATION_BOUND_S)
        stack.store.restore(copy)
        await sleep(SOON_S)
        published = await publisher_of(stack).current()
        names = {service.name for service in published.bundle.services}
        assert published.head.revision == 2
        assert 'lost' in names
        # The next change is based on it.
        assert await add_service(stack, 'later') == 3
        await sleep(PROPAGATION_BOUND_S)
        assert nodes_with(stack, 'later') == set(stack.nodes)


def test_head_of_another_history_counts_as_the_current_one() -> None:
    current = Config.from_body(2, BODY)
    digest = bundle_digest(BODY)
    states = {
        (1, digest): HeadState.LOST,
        (2, digest): HeadState.CURRENT,
        (2, bundle_digest('{}')): HeadState.REPLACED,
        (3, digest): HeadState.NEWER,
    }
    for (revision, bundle), expected in states.items():
        head = Head(revision=revision, bundle=bundle)
        assert compare_head(head, current) == expected
    empty = Head(revision=0, bundle='')
    assert compare_head(empty, Config()) == HeadState.CURRENT
