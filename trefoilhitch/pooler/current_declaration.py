"""The declaration in force on this node; its revision never decreases."""

from collections.abc import Callable
from dataclasses import dataclass

from trefoilhitch.pooler.catalogue import Catalogue, SessionLimits

Listener = Callable[[Catalogue], None]


@dataclass(frozen=True, slots=True)
class Declaration:
    """A catalogue with the text that it was read from.

    Args:
        catalogue: the parsed declaration.
        document: the text, as it is sent to other nodes.

    """

    catalogue: Catalogue
    document: str


class CurrentDeclaration:
    """Holds the newest declaration that this node has received."""

    def __init__(self) -> None:
        """Create a holder without a declaration."""
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

    @property
    def limits(self) -> SessionLimits:
        """Limits on sessions that are in force."""
        catalogue = self.catalogue
        return catalogue.limits if catalogue else SessionLimits()

    def add_listener(self, listener: Listener) -> None:
        """Add a listener for new catalogues.

        Args:
            listener: called with each new catalogue.

        """
        self._listeners.append(listener)

    def apply_if_newer(self, declaration: Declaration) -> bool:
        """Put a declaration in force if it is newer than the present one.

        Args:
            declaration: declaration with its revision.

        Returns:
            True if the declaration was put in force.

        """
        if declaration.catalogue.revision <= self.revision:
            return False
        self._declaration = declaration
        for listener in self._listeners:
            listener(declaration.catalogue)
        return True
