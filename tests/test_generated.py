"""The committed classes match the JSON Schema files."""

import filecmp
import sys
from importlib import import_module
from pathlib import Path
from tempfile import TemporaryDirectory

import pytest

ROOT = Path(__file__).resolve().parent.parent


sys.path.insert(0, str(ROOT / 'tools'))


@pytest.mark.parametrize(
    'schemas', import_module('generate').SCHEMA_DIRECTORIES
)
def test_committed_classes_match_the_schema(schemas: Path) -> None:
    pytest.importorskip('datamodel_code_generator', reason='no generator here')
    generator = import_module('generate')
    # The generator reads the line length from the project that contains its
    # target directory.
    build = ROOT / 'build'
    build.mkdir(exist_ok=True)
    with TemporaryDirectory(dir=build) as target:
        generator.generate(schemas, Path(target))
        names = [path.name for path in Path(target).glob('*.py')]
        _, different, missing = filecmp.cmpfiles(
            target,
            generator.committed(schemas),
            names,
            shallow=False,
        )
    assert names
    assert not different
    assert not missing
