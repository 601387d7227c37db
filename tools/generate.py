"""Generate the message and settings classes from the JSON Schema files."""

import sys
from pathlib import Path

from datamodel_code_generator.__main__ import main

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = ROOT / 'trefoilhitch'
SCHEMA_DIRECTORIES = (
    PACKAGE / '_schema',
    PACKAGE / 'platform' / '_schema',
)
OPTIONS = (
    '--input-file-type=jsonschema',
    '--output-model-type=msgspec.Struct',
    '--use-default',
    '--keyword-only',
    '--use-schema-description',
    '--use-annotated',
    '--use-union-operator',
    '--use-standard-collections',
    '--enum-field-as-literal=all',
    '--target-python-version=3.11',
    '--disable-timestamp',
    '--formatters=builtin',
)
STRICT_SCHEMAS = frozenset(('messages', 'options', 'settings'))


def _base_class(stem: str) -> str:
    name = 'StrictMessage' if stem in STRICT_SCHEMAS else 'Message'
    return f'--base-class=trefoilhitch._message.{name}'


def _freeze(module: Path) -> None:
    """Add `frozen=True` again: mypy does not see it on the base class."""
    text = module.read_text()
    frozen_text = text.replace(
        'Message, kw_only', 'Message, frozen=True, kw_only'
    )
    module.write_text(frozen_text)


def generate(schemas: Path, target: Path) -> None:
    """Generate one module per schema file.

    Args:
        schemas: directory that contains the schema files.
        target: directory to write the modules to.

    Raises:
        SystemExit: the generator failed on a schema.

    """
    for schema in sorted(schemas.glob('*.json')):
        module = target / f'{schema.stem}.py'
        paths = [f'--input={schema}', f'--output={module}']
        exit_code = main([*paths, _base_class(schema.stem), *OPTIONS])
        if exit_code:
            sys.exit(exit_code)
        _freeze(module)


def committed(schemas: Path) -> Path:
    """Return the directory of the committed modules of a schema directory.

    Args:
        schemas: directory that contains the schema files.

    Returns:
        Directory that contains the generated modules in git.

    """
    return schemas.parent / '_generated'


if __name__ == '__main__':
    for directory in SCHEMA_DIRECTORIES:
        generate(directory, committed(directory))
