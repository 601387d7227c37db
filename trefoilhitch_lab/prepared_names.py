"""Prepared statements that an emulated endpoint holds for a connection."""

from dataclasses import dataclass

Shape = tuple[str, str]


@dataclass(slots=True)
class HeldPeak:
    """Most that the endpoints of a group held for any one connection.

    Args:
        names: number of prepared names.
        shape_bytes: size of the prepared shapes together.

    """

    names: int = 0
    shape_bytes: int = 0


class PreparedNames:
    """Shapes by name, as one connection prepared them.

    Args:
        peak: raised to what the connection holds.

    """

    def __init__(self, peak: HeldPeak) -> None:
        """Start without names."""
        self._peak = peak
        self._shapes: dict[str, Shape] = {}
        self._shape_bytes = 0

    def prepare(self, name: str, shape: Shape) -> None:
        """Hold a shape, in place of the one that the name had before.

        Args:
            name: the prepared name.
            shape: access and body.

        """
        self.drop(name)
        self._shapes[name] = shape
        self._shape_bytes += len(shape[1])
        peak = self._peak
        peak.names = max(peak.names, len(self._shapes))
        peak.shape_bytes = max(peak.shape_bytes, self._shape_bytes)

    def find(self, name: str) -> Shape | None:
        """Return the shape of a name, None if it is not prepared."""
        return self._shapes.get(name)

    def drop(self, name: str) -> bool:
        """Drop a name.

        Args:
            name: the prepared name.

        Returns:
            Whether it was prepared.

        """
        shape = self._shapes.pop(name, None)
        if shape is None:
            return False
        self._shape_bytes -= len(shape[1])
        return True

    def clear(self) -> None:
        """Drop all names."""
        self._shapes.clear()
        self._shape_bytes = 0
