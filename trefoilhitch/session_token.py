"""Session tokens: signed log positions that a session has seen."""

from base64 import urlsafe_b64decode, urlsafe_b64encode
from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b, sha256
from hmac import compare_digest
from typing import Self

from msgspec.json import Encoder

from trefoilhitch._generated.messages import LogPosition, SessionToken
from trefoilhitch.errors import InvalidSessionError
from trefoilhitch.json_decoding import UnreadableJsonError, decode_json

_SEPARATOR = '.'
_KEY_NAME_LENGTH = 8
_DERIVATION_PREFIX = b'session token'
_SIGNATURE_BYTES = 32
_ENCODER = Encoder()


@dataclass(frozen=True, slots=True)
class SessionTokenSigner:
    """Signs session tokens and verifies tokens that the fleet signed.

    Args:
        current_secret: derived secret that signs new tokens.
        accepted_secrets: derived secrets by key name, including the current
            one.

    """

    current_secret: bytes
    accepted_secrets: Mapping[str, bytes]

    @classmethod
    def from_secrets(cls, current: str, previous: str = '') -> Self:
        """Build a signer from the fleet's secrets.

        Args:
            current: secret that signs new tokens.
            previous: secret whose tokens are still accepted; empty for none.

        Returns:
            The signer.

        """
        secrets = [
            _derive_key(secret) for secret in (current, previous) if secret
        ]
        return cls(
            secrets[0], {_key_name(secret): secret for secret in secrets}
        )

    def sign(self, seen: Mapping[str, LogPosition]) -> str:
        """Return a token for the positions that a session has seen.

        Args:
            seen: latest position by service.

        Returns:
            The token as URL-safe text.

        """
        token = SessionToken(
            key=_key_name(self.current_secret), seen=dict(seen)
        )
        body = urlsafe_b64encode(_ENCODER.encode(token))
        return (
            body.decode() + _SEPARATOR + _signature(self.current_secret, body)
        )

    def verify(self, text: str) -> dict[str, LogPosition]:
        """Verify a token and return the positions that it contains.

        Args:
            text: token; empty for a new session.

        Returns:
            The latest position by service.

        Raises:
            InvalidSessionError: the token is not signed by this fleet.

        """
        if not text:
            return {}
        body, _, signature = text.partition(_SEPARATOR)
        token = _decode(body)
        secret = self.accepted_secrets.get(token.key)
        if secret is None:
            raise InvalidSessionError('signed with an unknown key')
        expected = _signature(secret, body.encode())
        if not compare_digest(expected.encode(), signature.encode()):
            raise InvalidSessionError('the signature does not match')
        return token.seen


def _derive_key(secret: str) -> bytes:
    return sha256(_DERIVATION_PREFIX + secret.encode()).digest()


def _key_name(secret: bytes) -> str:
    return sha256(secret).hexdigest()[:_KEY_NAME_LENGTH]


def _signature(secret: bytes, body: bytes) -> str:
    signed = blake2b(body, key=secret, digest_size=_SIGNATURE_BYTES)
    return signed.hexdigest()


def _decode(body: str) -> SessionToken:
    try:
        document = urlsafe_b64decode(body.encode('ascii'))
        return decode_json(document, SessionToken)
    except (ValueError, UnreadableJsonError) as exc:
        raise InvalidSessionError('not a session token') from exc
