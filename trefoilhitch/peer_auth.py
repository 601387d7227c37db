"""Authentication between nodes: requests signed with a shared secret."""

from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b, sha256
from hmac import compare_digest
from typing import Self

from trefoilhitch.decimal_text import parse_decimal
from trefoilhitch.errors import UnauthorisedError
from trefoilhitch.http_message import HttpRequest

SIGNATURE_HEADER = 'trefoilhitch-signature'
TIME_HEADER = 'trefoilhitch-time'
MAX_CLOCK_SKEW_S = 300
_KEY_PREFIX = b'peer'
_SIGNATURE_BYTES = 32


@dataclass(frozen=True, slots=True)
class PeerAuth:
    """Signs requests between nodes and verifies their signatures.

    Args:
        secrets: accepted signing keys; the first one signs.

    """

    secrets: tuple[bytes, ...]

    @classmethod
    def from_secrets(cls, current: str, previous: str = '') -> Self:
        """Derive the signing keys from the secrets in the settings.

        Args:
            current: secret for signing and verifying.
            previous: secret for verifying only; empty for none.

        Returns:
            The authenticator.

        """
        return cls(
            tuple(
                sha256(_KEY_PREFIX + secret.encode()).digest()
                for secret in (current, previous)
                if secret
            )
        )

    def sign(self, req: HttpRequest, unix_time: float) -> HttpRequest:
        """Return a signed copy of a request.

        Args:
            req: request to sign.
            unix_time: current Unix time in seconds.

        Returns:
            The request with the time and the signature as its headers.

        """
        sent_at = str(int(unix_time))
        signature = _signature(self.secrets[0], req, sent_at)
        headers = {TIME_HEADER: sent_at, SIGNATURE_HEADER: signature}
        return HttpRequest(req.method, req.target, headers, req.body)

    def verify(self, req: HttpRequest, unix_time: float) -> None:
        """Verify the signature of a request.

        Args:
            req: received request.
            unix_time: current Unix time in seconds.

        Raises:
            UnauthorisedError: the signature is missing, wrong or too old.

        """
        sent_at = req.headers.get(TIME_HEADER, '')
        sent_at_s = parse_decimal(sent_at)
        if sent_at_s is None:
            raise UnauthorisedError('not signed')
        if abs(unix_time - sent_at_s) > MAX_CLOCK_SKEW_S:
            raise UnauthorisedError('signed too long ago, or the clocks differ')
        signature = req.headers.get(SIGNATURE_HEADER, '')
        if not _is_valid(self.secrets, req, sent_at, signature):
            raise UnauthorisedError('not signed by a node of this fleet')


def _is_valid(
    secrets: Iterable[bytes],
    req: HttpRequest,
    sent_at: str,
    signature: str,
) -> bool:
    return any(
        compare_digest(
            _signature(secret, req, sent_at).encode(), signature.encode()
        )
        for secret in secrets
    )


def _signature(secret: bytes, req: HttpRequest, sent_at: str) -> str:
    head = f'{req.method} {req.target} {sent_at}\n'.encode()
    signed = blake2b(
        head + req.body,
        key=secret,
        digest_size=_SIGNATURE_BYTES,
    )
    return signed.hexdigest()
