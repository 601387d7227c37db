"""Reads the settings of a node from an INI file and checks them."""

from types import MappingProxyType

from msgspec import convert

from trefoilhitch._generated.settings import Settings
from trefoilhitch.ini import IniFile, check_fields
from trefoilhitch.schema import load_schema
from trefoilhitch.setting_error import SettingError, SettingErrorGroup

_SECTIONS = MappingProxyType(
    {
        'node': 'NodeSettings',
        'platform': 'PlatformSettings',
        'fleet': 'FleetSettings',
        'limits': 'LimitSettings',
        'log': 'LogSettings',
    }
)


def read_settings(ini: IniFile) -> Settings:
    """Read the settings of a node.

    Args:
        ini: the parsed file.

    Returns:
        The settings.

    Raises:
        SettingErrorGroup: the file is invalid; holds all its errors.

    """
    schema = load_schema('settings')
    errors = [*ini.errors, *_unknown_sections(ini)]
    checked = {}
    for section, definition in _SECTIONS.items():
        fields = ini.sections.get(section, {})
        checked_fields = check_fields(
            ini, section, fields, schema.definition(definition)
        )
        errors.extend(checked_fields.errors)
        checked[section] = checked_fields.fields
    if errors:
        raise SettingErrorGroup.from_errors(errors)
    return convert(checked, Settings)


def _unknown_sections(ini: IniFile) -> list[SettingError]:
    known = ', '.join(_SECTIONS)
    return [
        SettingError(
            source=ini.source,
            section=section,
            key='',
            found=section,
            allowed=f'one of the sections {known}',
        )
        for section in ini.sections
        if section not in _SECTIONS
    ]
