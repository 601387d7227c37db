"""Limits of the emulator's HTTP servers."""

from trefoilhitch.http_message import HttpLimits

BODY_BYTES = 16_777_216
PLATFORM_LIMITS = HttpLimits(body_bytes=BODY_BYTES)
