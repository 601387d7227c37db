"""INI files, checked field by field against a JSON Schema."""

from collections.abc import Callable, Mapping
from configparser import ConfigParser, Error
from dataclasses import dataclass, field
from typing import Any, Self

from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError

from trefoilhitch.setting_error import SettingError

_BOOLEANS = {
    'yes': True,
    'true': True,
    'on': True,
    'no': False,
    'false': False,
    'off': False,
}
_UNLIMITED = 'anything'


@dataclass(frozen=True, slots=True)
class IniFile:
    """A parsed INI file.

    Args:
        source: name of the file.
        sections: texts by section and key.
        errors: faults of the form.

    """

    source: str
    sections: Mapping[str, Mapping[str, str]] = field(default_factory=dict)
    errors: tuple[SettingError, ...] = ()

    @classmethod
    def from_text(cls, source: str, text: str) -> Self:
        """Parse a file.

        Args:
            source: name of the file.
            text: all of it.

        Returns:
            The file; its faults of form are kept with it.

        """
        parser = ConfigParser(interpolation=None, default_section='')
        try:
            parser.read_string(text, source)
        except Error as exc:
            return cls(source, errors=(_form_error(source, exc),))
        return cls(
            source,
            {name: dict(parser[name]) for name in parser.sections()},
        )


@dataclass(frozen=True, slots=True)
class CheckedFields:
    """The fields of a section after the check.

    Args:
        fields: typed fields, defaults filled in.
        errors: faults found.

    """

    fields: dict[str, Any]
    errors: list[SettingError]


def check_fields(
    ini: IniFile,
    section: str,
    fields: Mapping[str, str],
    schema: Mapping[str, Any],
) -> CheckedFields:
    """Check the fields of a section.

    Args:
        ini: the file.
        section: name of the section.
        fields: texts by key.
        schema: JSON Schema of an object.

    Returns:
        The typed fields and every fault.

    """
    properties = schema['properties']
    typed = _defaults(properties)
    typed.update(
        {
            key: _typed(text, properties.get(key, {}))
            for key, text in fields.items()
        }
    )
    validator = Draft202012Validator({**schema, 'additionalProperties': False})
    errors = [
        fault
        for error in sorted(validator.iter_errors(typed), key=_sort_key)
        for fault in _faults(ini, section, error, properties)
    ]
    return CheckedFields(typed, errors)


def describe(schema: Mapping[str, Any]) -> str:
    """Say what a schema allows.

    Args:
        schema: JSON Schema of a field.

    Returns:
        A phrase for a person.

    """
    phrases = [
        phrase(schema[key]) for key, phrase in _PHRASES.items() if key in schema
    ]
    return ', '.join(phrases) or _UNLIMITED


_PHRASES: Mapping[str, Callable[[Any], str]] = {
    'enum': lambda allowed: 'one of ' + ', '.join(map(str, allowed)),
    'type': '{0}'.format,
    'minimum': 'at least {0}'.format,
    'exclusiveMinimum': 'more than {0}'.format,
    'maximum': 'at most {0}'.format,
    'minLength': 'at least {0} characters'.format,
    'maxLength': 'at most {0} characters'.format,
    'pattern': 'of the form {0}'.format,
}


def _defaults(properties: Mapping[str, Any]) -> dict[str, Any]:
    return {
        key: schema['default']
        for key, schema in properties.items()
        if 'default' in schema
    }


def _typed(text: str, schema: Mapping[str, Any]) -> Any:
    """Return the text as the type that the schema names, or as it is."""
    kind = schema.get('type')
    try:
        if kind == 'integer':
            return int(text)
        if kind == 'number':
            return float(text)
    except ValueError:
        return text
    if kind == 'boolean':
        return _BOOLEANS.get(text.lower(), text)
    return text


def _faults(
    ini: IniFile,
    section: str,
    error: ValidationError,
    properties: Mapping[str, Any],
) -> list[SettingError]:
    if error.validator == 'required':
        missing = [
            key for key in error.validator_value if key not in error.instance
        ]
        return [
            _fault(ini, section, key, 'nothing', properties[key])
            for key in missing
        ]
    if error.validator == 'additionalProperties':
        unknown = [key for key in error.instance if key not in properties]
        return [
            SettingError(
                ini.source,
                section,
                key,
                str(error.instance[key]),
                'no such key; known are ' + ', '.join(properties),
            )
            for key in unknown
        ]
    key = str(error.path[0])
    return [_fault(ini, section, key, str(error.instance), properties[key])]


def _fault(
    ini: IniFile,
    section: str,
    key: str,
    found: str,
    schema: Mapping[str, Any],
) -> SettingError:
    return SettingError(ini.source, section, key, found, describe(schema))


def _sort_key(error: ValidationError) -> tuple[str, str]:
    return str(error.validator), str(list(error.path))


def _form_error(source: str, exc: Error) -> SettingError:
    return SettingError(
        source=source,
        section=str(getattr(exc, 'section', '')),
        key=str(getattr(exc, 'option', '')),
        found=exc.message.replace('\n', ' '),
        allowed='INI: [sections] with lines KEY = VALUE, each name once',
    )
