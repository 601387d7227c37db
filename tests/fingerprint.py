"""Describes the whole state of a node, so that tests can compare it."""

from collections import deque
from collections.abc import Iterator, Mapping
from random import Random
from typing import Any

# What is computed again from other state when it is needed.
CACHES = frozenset(('_members_by_service', '_ranked', '_live'))


def fingerprint(root: Any) -> dict[str, str]:
    """Return the state of all objects of the product that one refers to.

    Args:
        root: the object.

    Returns:
        Texts by the path from the object, without caches.

    """
    return dict(_walk('', root, set()))


def _walk(path: str, state: Any, seen: set[int]) -> Iterator[tuple[str, str]]:
    if id(state) in seen:
        return
    children = _children(state)
    if children is None:
        yield path, _describe(state)
        return
    seen.add(id(state))
    yield path, f'{type(state).__name__} of {len(children)}'
    for name, child in children.items():
        yield from _walk(f'{path}/{name}', child, seen)


def _children(state: Any) -> dict[str, Any] | None:
    if isinstance(state, Mapping):
        return {repr(key): child for key, child in state.items()}
    if isinstance(state, (set, frozenset)):
        return dict.fromkeys(sorted(map(repr, state)))
    if isinstance(state, (list, tuple, deque)):
        return {str(number): child for number, child in enumerate(state)}
    if type(state).__module__.startswith('trefoilhitch.'):
        return _attributes(state)
    return None


def _attributes(state: Any) -> dict[str, Any]:
    names = [
        name
        for kind in type(state).__mro__
        for name in getattr(kind, '__slots__', ())
    ]
    names.extend(getattr(state, '__dict__', ()))
    return {
        name: getattr(state, name)
        for name in names
        if name not in CACHES and hasattr(state, name)
    }


def _describe(state: Any) -> str:
    if isinstance(state, Random):
        return str(hash(state.getstate()))
    return repr(state)
