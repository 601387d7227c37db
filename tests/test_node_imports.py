"""What a starting node imports, since a small VM pays 0.1 s for 30 ms of it."""

import subprocess
import sys

import pytest

# Modules of the command-line tool, of other protocols, and of libraries that
# take milliseconds and megabytes at each start of a node.
UNNEEDED = (
    'asyncio',
    'cappa',
    'certifi',
    'email',
    'fractions',
    'http.client',
    'http.server',
    'importlib.resources',
    'jsonschema',
    'multiprocessing',
    'rich',
    'sqlite3',
    'statistics',
    'trefoilhitch.cli',
    'trefoilhitch.explain_command',
    'trefoilhitch.explain_route_command',
    'trefoilhitch.ini',
    'trefoilhitch.route_text',
    'trefoilhitch.terminal_output',
    'trefoilhitch.terminal_text',
    'trefoilhitch_lab',
    'unittest',
    'xml',
)
PROGRAM = """
import sys
import trefoilhitch.platform.program
print(*sorted(sys.modules))
"""


@pytest.fixture(scope='module')
def loaded_modules() -> frozenset[str]:
    """Return the modules that a process has after importing the program."""
    finished = subprocess.run(
        [sys.executable, '-c', PROGRAM],
        capture_output=True,
        check=True,
        text=True,
    )
    return frozenset(finished.stdout.split())


@pytest.mark.parametrize('name', UNNEEDED)
def test_a_node_does_not_import(
    name: str, loaded_modules: frozenset[str]
) -> None:
    # Guards against an import that slows down the restart of all nodes.
    assert name not in loaded_modules


def test_a_node_imports_its_program(loaded_modules: frozenset[str]) -> None:
    # Guards against a list of modules that is empty for another reason.
    assert 'trefoilhitch.pooler.node' in loaded_modules
