"""Declarations of services, endpoints, organisations and keys in INI files."""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any, TypeAlias

from msgspec import convert
from msgspec.json import encode

from trefoilhitch._generated.store import Bundle
from trefoilhitch.ini import IniFile, check_fields
from trefoilhitch.schema import load_schema
from trefoilhitch.setting_error import SettingError, SettingErrorGroup

Declared: TypeAlias = dict[str, list[dict[str, Any]]]
MAX_BUNDLE_BYTES = 1_000_000
_BUNDLE_FIELDS = MappingProxyType(
    {
        'service': 'services',
        'endpoint': 'endpoints',
        'organisation': 'organisations',
        'key': 'keys',
    }
)
_SCHEMA_DEFINITIONS = MappingProxyType(
    {
        'service': 'Service',
        'endpoint': 'Endpoint',
        'organisation': 'Organisation',
        'key': 'Key',
    }
)
_REFERENCES = (
    ('endpoint', 'service', 'service'),
    ('key', 'organisation', 'organisation'),
)


@dataclass(frozen=True, slots=True)
class Change:
    """A difference between two configurations.

    Args:
        action: `add`, `remove` or `change`.
        kind: `service`, `endpoint`, `organisation` or `key`.
        name: name of the declared object.
        before: fields before the change; None if it was not declared.
        after: fields after the change; None if it is no longer declared.

    """

    action: str
    kind: str
    name: str
    before: Mapping[str, Any] | None
    after: Mapping[str, Any] | None


def read_declaration(ini: IniFile) -> Bundle:
    """Read a whole declaration.

    Args:
        ini: parsed file with sections named `KIND NAME`.

    Returns:
        The declared bundle.

    Raises:
        SettingErrorGroup: the file has errors; the group holds all of them.

    """
    errors = list(ini.errors)
    declared: Declared = {kind: [] for kind in _SCHEMA_DEFINITIONS}
    for section in ini.sections:
        errors.extend(_read_section(ini, section, declared))
    errors.extend(_find_dangling_references(ini, declared))
    errors.extend(_check_size(ini, declared))
    if errors:
        raise SettingErrorGroup.from_errors(errors)
    lists = {_BUNDLE_FIELDS[kind]: each for kind, each in declared.items()}
    return convert(lists, Bundle)


def diff_bundles(before: Bundle, after: Bundle) -> list[Change]:
    """Return the differences between two configurations.

    Args:
        before: configuration in force.
        after: declared configuration.

    Returns:
        The changes, ordered by kind and name.

    """
    changes: list[Change] = []
    for kind, field in _BUNDLE_FIELDS.items():
        old = _fields_by_name(getattr(before, field))
        new = _fields_by_name(getattr(after, field))
        for name in sorted(old.keys() | new.keys()):
            if old.get(name) != new.get(name):
                changes.append(
                    _create_change(kind, name, old.get(name), new.get(name))
                )
    return changes


def _read_section(
    ini: IniFile,
    section: str,
    declared: Declared,
) -> list[SettingError]:
    kind, _, name = section.partition(' ')
    if kind not in _SCHEMA_DEFINITIONS or not name:
        return [_unknown_section(ini, section)]
    schema = load_schema('store').definition(_SCHEMA_DEFINITIONS[kind])
    fields = {'name': name, **ini.sections[section]}
    checked = check_fields(ini, section, fields, schema)
    declared[kind].append(checked.fields)
    return checked.errors


def _create_change(
    kind: str,
    name: str,
    before: Mapping[str, Any] | None,
    after: Mapping[str, Any] | None,
) -> Change:
    if before is None:
        return Change('add', kind, name, before, after)
    action = 'remove' if after is None else 'change'
    return Change(action, kind, name, before, after)


def _fields_by_name(entries: list[Any]) -> dict[str, dict[str, Any]]:
    return {
        each.name: {
            field: getattr(each, field) for field in each.__struct_fields__
        }
        for each in entries
    }


def _unknown_section(ini: IniFile, section: str) -> SettingError:
    kinds = ', '.join(_SCHEMA_DEFINITIONS)
    return SettingError(
        source=ini.source,
        section=section,
        key='',
        found=section,
        allowed=f'a section named KIND NAME; kinds are {kinds}',
    )


def _find_dangling_references(
    ini: IniFile,
    declared: Declared,
) -> list[SettingError]:
    return [
        SettingError(
            source=ini.source,
            section=f'{kind} {each["name"]}',
            key=key,
            found=str(each[key]),
            allowed=f'the name of a declared {target}',
        )
        for kind, key, target in _REFERENCES
        for each in declared[kind]
        if key in each
        and each[key] not in {other['name'] for other in declared[target]}
    ]


def _check_size(
    ini: IniFile,
    declared: Declared,
) -> list[SettingError]:
    size = len(encode(declared))
    if size <= MAX_BUNDLE_BYTES:
        return []
    return [
        SettingError(
            source=ini.source,
            section='',
            key='',
            found=f'{size} bytes',
            allowed=f'at most {MAX_BUNDLE_BYTES} bytes in all',
        ),
    ]
