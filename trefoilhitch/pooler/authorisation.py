"""Decides who a session's caller is, and which route its statements take.

These are two questions. The key, as it is declared now, tells who the caller
is. The route is the one that an open transaction began with, else the one that
is declared now. An answer to the one never stands for an answer to the other.
"""

from dataclasses import dataclass

from trefoilhitch.pooler.catalogue import Catalogue, Route
from trefoilhitch.pooler.response import Refusal
from trefoilhitch.pooler.statement import SessionStart

PUBLIC_ORGANISATION = 'public'


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
    catalogue: Catalogue, start: SessionStart, begun: Route | None = None
) -> Access | Refusal:
    """Decide whether the client of a session may run a statement.

    Args:
        catalogue: the declared catalogue.
        start: first message of the session.
        begun: route that its open transaction began with, None if none is
            open.

    Returns:
        The route and the organisation, or the reason for refusal.

    """
    route = begun or catalogue.routes.get(start.database)
    if route is None:
        return Refusal.UNKNOWN_DATABASE
    # A client without a key is nobody, even if an empty key is declared.
    organisation = catalogue.keys.get(start.key) if start.key else None
    if organisation is not None:
        declared = catalogue.organisations.get(organisation)
        if declared is not None and not declared.is_nameable:
            return Refusal.MALFORMED
        return Access(route, organisation)
    if route.public:
        return Access(route, PUBLIC_ORGANISATION)
    return Refusal.UNAUTHORISED
