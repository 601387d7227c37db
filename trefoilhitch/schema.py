"""Loads the JSON Schema files of the package."""

from dataclasses import dataclass
from functools import cache
from importlib.resources import files
from typing import Any

from trefoilhitch.json_decoding import decode_json


@dataclass(frozen=True)
class Schema:
    """A schema file.

    Args:
        document: the parsed file.

    """

    document: dict[str, Any]

    def definition(self, name: str) -> dict[str, Any]:
        """Return a definition of the schema.

        Args:
            name: name of the definition.

        Returns:
            The definition.

        """
        definition: dict[str, Any] = self.document['$defs'][name]
        return definition


@cache
def load_schema(name: str) -> Schema:
    """Read a schema file.

    Args:
        name: name of the file without its extension.

    Returns:
        The schema.

    """
    path = files('trefoilhitch') / '_schema' / f'{name}.json'
    return Schema(decode_json(path.read_bytes(), dict[str, Any]))
