"""The platform's settings file as the pooler's settings."""

from pathlib import Path

from msgspec import DecodeError, ValidationError
from msgspec.json import decode

from trefoilhitch.errors import TrefoilhitchError
from trefoilhitch.platform._generated.platform import ProcessSettings
from trefoilhitch.pooler.rate_limit import RateRule
from trefoilhitch.pooler.settings import PoolerSettings

# Descriptors that the platform sets apart for files.
_FILE_DESCRIPTORS = 200


class SettingsFileError(TrefoilhitchError):
    """The settings file cannot be read."""


def load_settings(path: Path) -> PoolerSettings:
    """Read the settings file of a process.

    Args:
        path: the file.

    Returns:
        The settings.

    Raises:
        SettingsFileError: the file is missing or has faults.

    """
    try:
        found = decode(path.read_bytes(), type=ProcessSettings)
    except (OSError, DecodeError, ValidationError) as exc:
        raise SettingsFileError(f'{path}: {exc}') from exc
    return PoolerSettings(
        node=found.node_name,
        region=found.region,
        data_centre=found.zone,
        regions=found.zones,
        client_address=found.listen_addrs.front,
        health_address=found.listen_addrs.ready,
        peer_address=found.listen_addrs.control,
        seeds=tuple(found.seed_nodes),
        store_address=found.platform.address,
        promotion_address=found.cloud_api.address,
        shutdown_timeout_s=found.bounds.grace_period_s,
        max_sockets=found.limits.max_fds - _FILE_DESCRIPTORS,
        rate_rule=RateRule(
            window_s=found.bounds.quota_window_s,
            overage=found.bounds.quota_overage,
            slack=found.bounds.quota_slack,
        ),
    )
