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
STRICT_SCHEMAS = frozenset(('messages', 'settings'))


def _base_class(stem: str) -> str:
    name = 'StrictMessage' if stem in STRICT_SCHEMAS else 'Message'
    return f'--base-class=trefoilhitch._message.{name}'


def _freeze(module: Path) -> None:
    """Repeat the base class option, because mypy reads only the class."""
    text = module.read_text()
    frozen_text = text.replace(
        'Message, kw_only', 'Message, frozen=True, kw_only'
    )
    module.write_text(frozen_text)


def generate(schemas: Path, target: Path) -> None:
    """Write one module for each schema file.

    Args:
        schemas: directory of the schema files.
        target: directory that receives the modules.

    Raises:
        SystemExit: the generator refused a schema.

    """
    for schema in sorted(schemas.glob('*.json')):
        module = target / f'{schema.stem}.py'
        paths = [f'--input={schema}', f'--output={module}']
        exit_code = main([*paths, _base_class(schema.stem), *OPTIONS])
        if exit_code:
            sys.exit(exit_code)
        _freeze(module)


def committed(schemas: Path) -> Path:
    """Return where the modules of a directory of schemas are kept.

    Args:
        schemas: directory of the schema files.

    Returns:
        Directory of the committed modules.

    """
    return schemas.parent / '_generated'


if __name__ == '__main__':
    for directory in SCHEMA_DIRECTORIES:
        generate(directory, committed(directory))
