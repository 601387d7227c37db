"""Converts the platform's settings file to the pooler's settings."""

from pathlib import Path

from trefoilhitch.errors import TrefoilhitchError
from trefoilhitch.json_decoding import UnreadableJsonError, decode_json
from trefoilhitch.platform._generated.platform import (
    ProcessSettings,
    ResourceLimits,
)
from trefoilhitch.pooler.options import (
    OptionsFileError,
    default_options,
    load_options,
)
from trefoilhitch.pooler.rate_limit import RateRule
from trefoilhitch.pooler.settings import PoolerSettings

# Descriptors that the platform reserves for open files.
_RESERVED_DESCRIPTORS = 200

_MS_PER_S = 1000
_MILLICORES_PER_CORE = 1000
# Statements that a gateway forwards take as much of a narrow link as of a core.
_MILLICORES_PER_MBPS = 10


class SettingsFileError(TrefoilhitchError):
    """The settings file is missing or invalid."""


def load_settings(
    path: Path, options_path: Path | None = None
) -> PoolerSettings:
    """Read the settings file of a process.

    Args:
        path: the file.
        options_path: the file of the operators' options, None for the
            defaults.

    Returns:
        The settings.

    Raises:
        SettingsFileError: a file is missing or invalid.

    """
    try:
        parsed = decode_json(path.read_bytes(), ProcessSettings)
    except (OSError, ValueError, UnreadableJsonError) as exc:
        raise SettingsFileError(f'{path}: {exc}') from exc
    try:
        options = (
            load_options(options_path) if options_path else default_options()
        )
    except OptionsFileError as exc:
        raise SettingsFileError(str(exc)) from exc
    evacuate_ms = parsed.bounds.evacuate_ms
    return PoolerSettings(
        node=parsed.node_name,
        region=parsed.region,
        data_centre=parsed.zone,
        regions=parsed.zones,
        client_address=parsed.listen_addrs.front,
        health_address=parsed.listen_addrs.ready,
        peer_address=parsed.listen_addrs.control,
        seeds=tuple(parsed.seed_nodes),
        store_address=parsed.platform.address,
        promotion_address=parsed.cloud_api.address,
        shutdown_timeout_s=parsed.bounds.grace_period_s,
        drain_timeout_s=parsed.bounds.drain_timeout_ms / _MS_PER_S,
        max_sockets=parsed.limits.max_fds - _RESERVED_DESCRIPTORS,
        rate_rule=RateRule(
            window_s=parsed.bounds.quota_window_s,
            overage=parsed.bounds.quota_overage,
            slack=parsed.bounds.quota_slack,
        ),
        capacity=_capacity(parsed.limits),
        evacuation_timeout_s=(
            None if evacuate_ms is None else evacuate_ms / _MS_PER_S
        ),
        options=options,
    )


def _capacity(limits: ResourceLimits) -> int:
    """Return what a VM can carry, in thousandths of a core."""
    cores = int(limits.cpu_share * limits.cpu_cores * _MILLICORES_PER_CORE)
    link = int(limits.network_mbps * _MILLICORES_PER_MBPS)
    return min(cores, link) if link else cores
