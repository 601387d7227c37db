"""The catalogue in force on this node, which never goes back."""

from collections.abc import Callable
from dataclasses import dataclass

from trefoilhitch.pooler.catalogue import Catalogue

Listener = Callable[[Catalogue], None]


@dataclass(frozen=True, slots=True)
class Declaration:
    """A catalogue with the text that it was read from.

    Args:
        catalogue: what it declares.
        document: the text, as other nodes are given it.

    """

    catalogue: Catalogue
    document: str


class CurrentDeclaration:
    """Keeps the newest declaration that this node has seen."""

    def __init__(self) -> None:
        """Start without any."""
        self._declaration: Declaration | None = None
        self._listeners: list[Listener] = []

    @property
    def revision(self) -> int:
        """Revision in force, 0 if there is none."""
        return self._declaration.catalogue.revision if self._declaration else 0

    @property
    def document(self) -> str:
        """Text in force, empty if there is none."""
        return self._declaration.document if self._declaration else ''

    @property
    def catalogue(self) -> Catalogue | None:
        """Catalogue in force, None if there is none."""
        return self._declaration.catalogue if self._declaration else None

    def add_listener(self, listener: Listener) -> None:
        """Tell someone of each new catalogue.

        Args:
            listener: called with it.

        """
        self._listeners.append(listener)

    def apply_if_newer(self, declaration: Declaration) -> bool:
        """Put a declaration in force unless a newer one is.

        Args:
            declaration: the declaration.

        Returns:
            True if it is in force now and was not before.

        """
        if declaration.catalogue.revision <= self.revision:
            return False
        self._declaration = declaration
        for listener in self._listeners:
            listener(declaration.catalogue)
        return True
