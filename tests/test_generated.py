"""The committed classes are what the schema gives."""

import filecmp
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent


def test_committed_code_is_what_the_schema_gives(tmp_path: Path) -> None:
    pytest.importorskip('datamodel_code_generator', reason='no generator here')
    sys.path.insert(0, str(ROOT / 'tools'))
    from generate import GENERATED_DIRECTORY, generate  # noqa: PLC0415

    generate(tmp_path)
    names = [path.name for path in tmp_path.glob('*.py')]
    _, different, missing = filecmp.cmpfiles(
        tmp_path,
        GENERATED_DIRECTORY,
        names,
        shallow=False,
    )
    assert names
    assert not different
    assert not missing
