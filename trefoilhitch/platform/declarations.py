"""Decodes the operators' desired state into the pooler's catalogue."""

from types import MappingProxyType

from trefoilhitch.errors import TrefoilhitchError
from trefoilhitch.json_decoding import UnreadableJsonError, decode_json
from trefoilhitch.platform._generated.platform import (
    DesiredRoute,
    DesiredState,
    DesiredTenant,
)
from trefoilhitch.platform.wire_names import fits_one_field
from trefoilhitch.pooler.catalogue import (
    Catalogue,
    Freshness,
    Organisation,
    Route,
    Service,
    SessionLimits,
)

_MS_PER_S = 1000
_UNLIMITED_RATE_PER_S = 1e9
_FRESHNESS_BY_TYPE = MappingProxyType(
    {
        'primary': Freshness.LATEST,
        'bounded_staleness': Freshness.BOUNDED_STALENESS,
        'read_your_writes': Freshness.READ_YOUR_WRITES,
    },
)


class UnreadableDeclarationError(TrefoilhitchError):
    """The declaration cannot be decoded by this version."""


def decode_declaration(document: bytes | str) -> Catalogue:
    """Decode a desired state.

    Args:
        document: JSON as the operator wrote it.

    Returns:
        The catalogue.

    Raises:
        UnreadableDeclarationError: document is not a valid desired state.

    """
    try:
        desired = decode_json(document, DesiredState)
    except UnreadableJsonError as exc:
        raise UnreadableDeclarationError(str(exc)) from exc
    return Catalogue(
        revision=desired.config_version,
        routes={each.host: _route(each) for each in desired.routes},
        services={
            each.name: Service(
                each.name, each.max_connections, each.sync_replicas
            )
            for each in desired.services
        },
        organisations={
            each.name: _organisation(each) for each in desired.tenants
        },
        keys={
            key: each.name for each in desired.tenants for key in each.api_keys
        },
        limits=SessionLimits(
            message_read_s=desired.limits.header_timeout_ms / _MS_PER_S,
            transaction_idle_s=desired.limits.tx_idle_ms / _MS_PER_S,
        ),
    )


def _route(desired: DesiredRoute) -> Route:
    freshness = _FRESHNESS_BY_TYPE[desired.type]
    max_age_ms = desired.max_staleness_ms
    return Route(
        database=desired.host,
        service=desired.service,
        freshness=freshness,
        max_age_s=0
        if freshness == Freshness.LATEST
        else max_age_ms / _MS_PER_S,
        timeout_s=desired.timeout_ms / _MS_PER_S,
        target_latency_s=desired.target_latency_ms / _MS_PER_S,
        priority=desired.priority,
        public=desired.public,
    )


def _organisation(desired: DesiredTenant) -> Organisation:
    rate = (
        _UNLIMITED_RATE_PER_S
        if desired.rate_per_s is None
        else desired.rate_per_s
    )
    burst = rate if desired.burst is None else desired.burst
    return Organisation(
        desired.name, rate, burst, is_nameable=fits_one_field(desired.name)
    )
