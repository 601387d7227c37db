"""INI files, checked field by field against a JSON Schema."""

from collections.abc import Callable, Iterable, Mapping
from configparser import ConfigParser, Error
from dataclasses import dataclass, field
from math import isfinite
from types import MappingProxyType
from typing import Any, Self

from jsonschema import Draft202012Validator

from trefoilhitch.setting_error import SettingError

_BOOLEANS = MappingProxyType(
    {
        'yes': True,
        'true': True,
        'on': True,
        'no': False,
        'false': False,
        'off': False,
    }
)
_NO_CONSTRAINT = 'anything'


@dataclass(frozen=True, slots=True)
class IniFile:
    """A parsed INI file.

    Args:
        source: name of the file.
        sections: texts by section and key.
        errors: syntax errors.

    """

    source: str
    sections: Mapping[str, Mapping[str, str]] = field(default_factory=dict)
    errors: tuple[SettingError, ...] = ()

    @classmethod
    def from_text(cls, source: str, text: str) -> Self:
        """Parse a file.

        Args:
            source: name of the file.
            text: content of the file.

        Returns:
            The parsed file, or one that holds only its syntax error.

        """
        parser = ConfigParser(interpolation=None, default_section='')
        try:
            parser.read_string(text, source)
        except Error as exc:
            return cls(source, errors=(_syntax_error(source, exc),))
        return cls(
            source,
            {name: dict(parser[name]) for name in parser.sections()},
        )


@dataclass(frozen=True, slots=True)
class CheckedFields:
    """The fields of a section after the check.

    Args:
        fields: typed fields, including defaults.
        errors: errors that were found.

    """

    fields: dict[str, Any]
    errors: list[SettingError]


@dataclass(frozen=True, slots=True)
class _Violation:
    key: str
    found: str
    allowed: str


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
        The typed fields and every error.

    """
    properties = schema['properties']
    typed = _default_fields(properties)
    typed.update(
        {
            key: _convert_text(text, properties.get(key, {}))
            for key, text in fields.items()
        }
    )
    violations = [
        *_missing_keys(schema, typed),
        *_unknown_keys(properties, typed),
        *_invalid_fields(schema, typed),
    ]
    order = [*properties, *typed]
    violations.sort(key=lambda each: order.index(each.key))
    errors = [
        SettingError(ini.source, section, each.key, each.found, each.allowed)
        for each in violations
    ]
    return CheckedFields(typed, errors)


def describe_schema(schema: Mapping[str, Any]) -> str:
    """Describe what a schema allows.

    Args:
        schema: JSON Schema of a field.

    Returns:
        A human-readable phrase.

    """
    phrases = [
        phrase(schema[key]) for key, phrase in _PHRASES.items() if key in schema
    ]
    return ', '.join(phrases) or _NO_CONSTRAINT


_PHRASES: Mapping[str, Callable[[Any], str]] = MappingProxyType(
    {
        'enum': lambda allowed: f'one of {_join(allowed)}',
        'type': '{0}'.format,
        'minimum': 'at least {0}'.format,
        'exclusiveMinimum': 'more than {0}'.format,
        'maximum': 'at most {0}'.format,
        'minLength': 'at least {0} characters'.format,
        'maxLength': 'at most {0} characters'.format,
        'pattern': 'of the form {0}'.format,
    }
)


def _join(allowed: Iterable[Any]) -> str:
    return ', '.join(map(str, allowed))


def _default_fields(properties: Mapping[str, Any]) -> dict[str, Any]:
    return {
        key: schema['default']
        for key, schema in properties.items()
        if 'default' in schema
    }


def _convert_text(text: str, schema: Mapping[str, Any]) -> Any:
    """Convert a text to the schema's type; return it as is if that fails."""
    type_name = schema.get('type')
    try:
        if type_name == 'integer':
            return int(text)
        if type_name == 'number':
            return _finite(text)
    except ValueError:
        return text
    if type_name == 'boolean':
        return _BOOLEANS.get(text.lower(), text)
    return text


def _finite(text: str) -> float:
    """Convert a text; JSON has no other numbers than finite ones."""
    number = float(text)
    if not isfinite(number):
        raise ValueError(text)
    return number


def _missing_keys(
    schema: Mapping[str, Any],
    typed: Mapping[str, Any],
) -> list[_Violation]:
    return [
        _Violation(key, 'nothing', describe_schema(schema['properties'][key]))
        for key in schema['required']
        if key not in typed
    ]


def _unknown_keys(
    properties: Mapping[str, Any],
    typed: Mapping[str, Any],
) -> list[_Violation]:
    allowed = f'no such key; known are {_join(properties)}'
    return [
        _Violation(key, str(found), allowed)
        for key, found in typed.items()
        if key not in properties
    ]


def _invalid_fields(
    schema: Mapping[str, Any],
    typed: Mapping[str, Any],
) -> list[_Violation]:
    properties = schema['properties']
    validator = Draft202012Validator({'properties': properties})
    invalid_keys = {
        str(error.path[0]) for error in validator.iter_errors(typed)
    }
    violations = []
    for key in invalid_keys:
        allowed = describe_schema(properties[key])
        violations.append(_Violation(key, str(typed[key]), allowed))
    return violations


def _syntax_error(source: str, exc: Error) -> SettingError:
    return SettingError(
        source=source,
        section=str(getattr(exc, 'section', '')),
        key=str(getattr(exc, 'option', '')),
        found=exc.message.replace('\n', ' '),
        allowed='INI: [sections] with lines KEY = VALUE, each name once',
    )
