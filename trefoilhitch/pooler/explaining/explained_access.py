"""Finds out for which route and organisation a request is explained."""

from trefoilhitch.errors import (
    NotFoundError,
    NotReadyError,
    RefusalError,
    UnauthorisedError,
)
from trefoilhitch.pooler.authorisation import (
    PUBLIC_ORGANISATION,
    Access,
    authorise,
)
from trefoilhitch.pooler.catalogue import Catalogue
from trefoilhitch.pooler.response import Refusal
from trefoilhitch.pooler.statement import SessionStart


def find_access(
    catalogue: Catalogue | None, database: str, organisation: str
) -> Access:
    """Return the access that an organisation has to a database.

    Args:
        catalogue: the declared catalogue, None if the node has none yet.
        database: name of the database.
        organisation: name of the organisation, empty for a client without a
            key.

    Returns:
        The route and the organisation.

    Raises:
        NotReadyError: the node has no declaration yet.
        NotFoundError: the database or the organisation is not declared.
        UnauthorisedError: the organisation may not use the database.

    """
    if catalogue is None:
        raise NotReadyError('the node has no declaration yet')
    key = _any_key(catalogue, organisation)
    access = authorise(catalogue, SessionStart(database, key))
    if isinstance(access, Refusal):
        raise _refusal_error(access, database, organisation)
    return access


def _is_known(catalogue: Catalogue, organisation: str) -> bool:
    return (
        organisation in {'', PUBLIC_ORGANISATION}
        or organisation in catalogue.organisations
        or organisation in catalogue.keys.values()
    )


def _any_key(catalogue: Catalogue, organisation: str) -> str:
    """Return a key of an organisation, empty if it has none.

    Raises:
        NotFoundError: the organisation is not declared.

    """
    if not _is_known(catalogue, organisation):
        raise NotFoundError(f'no organisation {organisation!r} is declared')
    keys = (
        key for key, owner in catalogue.keys.items() if owner == organisation
    )
    return next(keys, '')


def _refusal_error(
    refusal: Refusal, database: str, organisation: str
) -> RefusalError:
    if refusal is Refusal.UNKNOWN_DATABASE:
        return NotFoundError(f'no database {database!r} is declared')
    if refusal is Refusal.MALFORMED:
        return UnauthorisedError(
            f'endpoints cannot be told the name {organisation!r}'
        )
    if not organisation:
        return UnauthorisedError(
            f'database {database!r} is not public: name an organisation'
        )
    return UnauthorisedError(
        f'organisation {organisation!r} may not use database {database!r}: '
        'it has no key, and the database is not public'
    )
