"""Errors in INI files, reported together."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Self

from trefoilhitch.errors import TrefoilhitchError


@dataclass(eq=False)
class SettingError(TrefoilhitchError):
    """An error in an INI file.

    Args:
        source: name of the file.
        section: section in it; empty for the whole file.
        key: key in the section; empty for the whole section.
        found: text that was found.
        allowed: description of what is allowed.

    """

    source: str
    section: str
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Return a one-line description."""
        place = ' '.join(
            part
            for part in (self.section and f'[{self.section}]', self.key)
            if part
        )
        return (
            f'{self.source}: {place}: found {self.found!r}, '
            f'allowed: {self.allowed}'
        )


class SettingErrorGroup(ExceptionGroup[SettingError]):
    """All errors in a file."""

    @classmethod
    def from_errors(cls, errors: Sequence[SettingError]) -> Self:
        """Group errors.

        Args:
            errors: at least one error.

        Returns:
            The group.

        """
        return cls(f'{len(errors)} errors', errors)
