"""Decides who a session's caller is, and which route its statements take.

These are two questions. The key, as it is declared now, tells who the caller
is. The route is the one that an open transaction began with, else the one that
is declared now. An answer to the one never stands for an answer to the other.
"""

from dataclasses import dataclass

from trefoilhitch.pooler.catalogue import Catalogue, Route
from trefoilhitch.pooler.response import Refusal

PUBLIC_ORGANISATION = 'public'


@dataclass(frozen=True, slots=True)
class Caller:
    """What a session tells of its client.

    Args:
        database: database name that the client connected to.
        key: the client's key, empty if it sent none.

    """

    database: str
    key: str


@dataclass(frozen=True, slots=True)
class Access:
    """Permission to run a statement.

    Args:
        route: route that it takes.
        organisation: organisation that it runs for.

    """

    route: Route
    organisation: str


def authorise(
    catalogue: Catalogue, caller: Caller, begun: Route | None = None
) -> Access | Refusal:
    """Decide whether a caller may run a statement.

    Args:
        catalogue: the declared catalogue.
        caller: the caller.
        begun: route that its open transaction began with, None if none is
            open.

    Returns:
        The route and the organisation, or the reason for refusal.

    """
    route = begun or catalogue.routes.get(caller.database)
    if route is None:
        return Refusal.UNKNOWN_DATABASE
    organisation = identify(catalogue, caller.key, public=route.public)
    if organisation is None:
        return Refusal.UNAUTHORISED
    return Access(route, organisation)


def identify(catalogue: Catalogue, key: str, *, public: bool) -> str | None:
    """Return the organisation that a key stands for.

    Args:
        catalogue: the declared catalogue.
        key: the key, empty for none.
        public: whether the route needs no key.

    Returns:
        The organisation, None if the key is unknown and needed.

    """
    organisation = catalogue.keys.get(key)
    if organisation is None and public:
        return PUBLIC_ORGANISATION
    return organisation
