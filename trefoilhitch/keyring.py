"""API keys of clients: creation, salted hashes and authentication."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from hashlib import sha256
from hmac import compare_digest
from typing import Self

from trefoilhitch._generated.store import Key
from trefoilhitch.errors import UnauthorisedError

_PREFIX = 'th'
_SEPARATOR = '_'
_PART_COUNT = 3


@dataclass(frozen=True, slots=True)
class NewKey:
    """A newly created key.

    Args:
        text: API key that the client presents; it is not stored anywhere.
        key: declared form of the key, with the hash only.

    """

    text: str
    key: Key


def create_key(
    organisation: str, *, name: str, secret: str, salt: str
) -> NewKey:
    """Create a key from random text.

    Args:
        organisation: name of the organisation that the key belongs to.
        name: public name of the key.
        secret: random text of at least 128 bits.
        salt: random hexadecimal text.

    Returns:
        The text for the client and the hash for the declaration.

    """
    key = Key(
        name=name,
        organisation=organisation,
        salt=salt,
        digest=_hash(salt, secret),
    )
    return NewKey(_SEPARATOR.join((_PREFIX, name, secret)), key)


@dataclass(frozen=True, slots=True)
class KeyRing:
    """The keys in force.

    Args:
        keys: declared keys by name.

    """

    keys: Mapping[str, Key]

    @classmethod
    def from_keys(cls, keys: Iterable[Key]) -> Self:
        """Build a key ring.

        Args:
            keys: declared keys.

        Returns:
            The key ring.

        """
        return cls({key.name: key for key in keys})

    def authenticate(self, presented: str) -> Key:
        """Return the declared key that a client presents.

        Args:
            presented: API key from the client.

        Returns:
            The declared key, with the name of its organisation.

        Raises:
            UnauthorisedError: the key is malformed, unknown or wrong.

        """
        parts = presented.split(_SEPARATOR)
        if len(parts) != _PART_COUNT or parts[0] != _PREFIX:
            raise UnauthorisedError('a key has the form th_NAME_SECRET')
        key = self.keys.get(parts[1])
        if key is None or not compare_digest(
            _hash(key.salt, parts[2]), key.digest
        ):
            raise UnauthorisedError('the key is unknown, wrong or withdrawn')
        return key

    def is_in_force(self, name: str, organisation: str) -> bool:
        """Return whether a key that was authenticated earlier is in force.

        Args:
            name: public name of the key.
            organisation: name of the organisation that it belonged to.

        Returns:
            True if the key is still declared for that organisation.

        """
        key = self.keys.get(name)
        return key is not None and key.organisation == organisation


def _hash(salt: str, secret: str) -> str:
    return sha256(f'{salt}:{secret}'.encode()).hexdigest()
