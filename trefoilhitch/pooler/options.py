"""Reads the options of a node, which turn parts of it on or off."""

from collections.abc import Mapping
from configparser import ConfigParser, Error
from pathlib import Path
from types import MappingProxyType

from msgspec import ValidationError, convert

from trefoilhitch._generated.options import PoolerOptions
from trefoilhitch.errors import TrefoilhitchError

_BOOLEANS = MappingProxyType({'yes': True, 'no': False})
# Every section may be left out.
_DEFAULTS: Mapping[str, object] = MappingProxyType(
    {name: {} for name in PoolerOptions.__annotations__}
)


class OptionsFileError(TrefoilhitchError):
    """The options file is missing or invalid."""


def default_options() -> PoolerOptions:
    """Return the options of a node without an options file."""
    return convert(dict(_DEFAULTS), PoolerOptions)


def load_options(path: Path) -> PoolerOptions:
    """Read an options file.

    Args:
        path: the INI file; what it leaves out has its default.

    Returns:
        The options.

    Raises:
        OptionsFileError: the file is missing, or holds an unknown section, an
            unknown key or another text than `yes` and `no`.

    """
    parser = ConfigParser(interpolation=None, default_section='')
    try:
        parser.read_string(path.read_text(), str(path))
    except (OSError, UnicodeError, Error) as exc:
        raise OptionsFileError(f'{path}: {exc}') from exc
    sections = {
        name: {key: _BOOLEANS.get(text, text) for key, text in fields.items()}
        for name, fields in parser.items()
        if name
    }
    try:
        return convert({**_DEFAULTS, **sections}, PoolerOptions)
    except ValidationError as exc:
        raise OptionsFileError(f'{path}: {exc}') from exc
