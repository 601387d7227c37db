"""Options files: defaults, and errors that name the file and the key."""

from pathlib import Path

import pytest

from trefoilhitch.cli import main
from trefoilhitch.pooler.options import (
    OptionsFileError,
    default_options,
    load_options,
)

ROOT = Path(__file__).resolve().parent.parent


def _write(directory: Path, text: str) -> Path:
    path = directory / 'node.ini'
    path.write_text(text)
    return path


def test_deployed_options_are_the_defaults() -> None:
    assert load_options(ROOT / 'deploy' / 'node.ini') == default_options()


def test_one_option_is_turned_off(tmp_path: Path) -> None:
    options = load_options(
        _write(tmp_path, '[balancing]\nreads_by_load = no\n')
    )
    assert not options.balancing.reads_by_load
    assert options.retries.with_backoff


@pytest.mark.parametrize(
    ('text', 'named'),
    [
        ('[balancing]\nreads_by_load = perhaps\n', 'reads_by_load'),
        ('[balancing]\nwrites_by_load = no\n', 'writes_by_load'),
        ('[tuning]\nspeed = yes\n', 'tuning'),
        ('reads_by_load = no\n', 'no section headers'),
        ('[balancing]\nreads_by_load = no\nreads_by_load = no\n', 'already'),
    ],
)
def test_invalid_options_are_refused(
    tmp_path: Path, text: str, named: str
) -> None:
    path = _write(tmp_path, text)
    with pytest.raises(OptionsFileError, match=named) as caught:
        load_options(path)
    assert 'node.ini' in str(caught.value)


def test_missing_file_is_refused(tmp_path: Path) -> None:
    with pytest.raises(OptionsFileError, match='absent.ini'):
        load_options(tmp_path / 'absent.ini')


def test_operators_check_an_options_file(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    path = _write(tmp_path, '[gateways]\nby_capacity = no\n')
    monkeypatch.setattr(
        'sys.argv', ['trefoilhitch', 'check', '--options', str(path)]
    )
    main()
    printed = capsys.readouterr().out
    assert 'balancing.reads_by_load' in printed
    assert 'by_capacity' not in printed
