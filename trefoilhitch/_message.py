"""Base classes of the generated message classes."""

from msgspec import Struct


class Message(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A frozen data class that msgspec encodes, decodes and validates.

    Unknown fields are ignored, so that nodes of adjacent versions can
    communicate.
    """


class StrictMessage(
    Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    forbid_unknown_fields=True,
):
    """A frozen data class for input from people: unknown fields are errors."""
