"""Faults in INI files, all reported together."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Self

from trefoilhitch.errors import TrefoilhitchError


@dataclass(eq=False)
class SettingError(TrefoilhitchError):
    """One fault.

    Args:
        source: name of the file.
        section: section in it; empty for the whole file.
        key: key in the section; empty for the whole section.
        found: what stands there.
        allowed: what may stand there.

    """

    source: str
    section: str
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Return one line for a person."""
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
    """Every fault of a file."""

    @classmethod
    def from_errors(cls, errors: Sequence[SettingError]) -> Self:
        """Group faults.

        Args:
            errors: at least one fault.

        Returns:
            The group.

        """
        return cls(f'{len(errors)} faults', errors)
