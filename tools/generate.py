"""Generate the message and settings classes from the JSON Schema files."""

import sys
from pathlib import Path

from datamodel_code_generator.__main__ import main

ROOT = Path(__file__).resolve().parent.parent
SCHEMA_DIRECTORY = ROOT / 'trefoilhitch' / '_schema'
GENERATED_DIRECTORY = ROOT / 'trefoilhitch' / '_generated'
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
    frozen = text.replace('Message, kw_only', 'Message, frozen=True, kw_only')
    module.write_text(frozen)


def generate(target: Path) -> None:
    """Write one module for each schema file.

    Args:
        target: directory that receives the modules.

    Raises:
        SystemExit: the generator refused a schema.

    """
    for schema in sorted(SCHEMA_DIRECTORY.glob('*.json')):
        module = target / f'{schema.stem}.py'
        paths = [f'--input={schema}', f'--output={module}']
        code = main([*paths, _base_class(schema.stem), *OPTIONS])
        if code:
            sys.exit(code)
        _freeze(module)


if __name__ == '__main__':
    targets = [Path(argument) for argument in sys.argv[1:]]
    generate(targets[0] if targets else GENERATED_DIRECTORY)
