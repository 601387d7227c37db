"""The JSON Schema files, as shipped with the package."""

from dataclasses import dataclass
from functools import cache
from importlib.resources import files
from typing import Any

from msgspec.json import decode


@dataclass(frozen=True)
class Schema:
    """A schema file.

    Args:
        document: the parsed file.

    """

    document: dict[str, Any]

    def definition(self, name: str) -> dict[str, Any]:
        """Return the schema of one kind.

        Args:
            name: name of the kind.

        Returns:
            Its schema.

        """
        definition: dict[str, Any] = self.document['$defs'][name]
        return definition


@cache
def load_schema(name: str) -> Schema:
    """Read a schema file.

    Args:
        name: its name without the ending.

    Returns:
        The schema.

    """
    path = files('trefoilhitch') / '_schema' / f'{name}.json'
    return Schema(decode(path.read_bytes()))
