"""Endpoints that join and leave a group while it runs."""

from trio import Nursery, sleep

from trefoilhitch_lab.wire_endpoint import WireEndpoint
from trefoilhitch_lab.wire_stack import WireStack


async def join(
    stack: WireStack, nursery: Nursery, name: str, *, listed_after_s: float = 0
) -> WireEndpoint:
    """Start a further endpoint, which receives commits before it is listed.

    Args:
        stack: the running stack.
        nursery: runs the endpoint, and writes its entry.
        name: id of the endpoint.
        listed_after_s: how long after its start its entry is in the store, in
            seconds.

    Returns:
        The endpoint.

    """
    joining = WireEndpoint(stack.group, name, 'patan')
    await joining.start(nursery)
    stack.group.endpoints[name] = joining
    stack.group.catch_up(joining)
    nursery.start_soon(_list_later, stack, name, listed_after_s)
    return joining


def leave(stack: WireStack, name: str) -> None:
    """End an endpoint; its log is gone with it, and so is its entry.

    Args:
        stack: the running stack.
        name: id of the endpoint.

    """
    leaving = stack.group.endpoints.pop(name)
    leaving.crash()
    stack.store_state.remove('servers', name)


async def _list_later(stack: WireStack, name: str, delay_s: float) -> None:
    await sleep(delay_s)
    stack.store_state.put('servers', name, stack.endpoint_entry(name))
