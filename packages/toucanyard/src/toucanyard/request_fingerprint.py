"""Identify repeats of a request, whose request ids differ.

A caller that repeats a request gives it a new id. Method, host, target, customer and
body stay the same, and so does their fingerprint, on every node and after a restart.
"""

from __future__ import annotations

import hashlib
from typing import Final

from toucanyard.names import CustomerName, Fingerprint

DIGEST_BYTES: Final = 12
_LENGTH_BYTES: Final = 4


def compute_fingerprint(
    method: str, host: str, target: str, customer: CustomerName, body: bytes
) -> Fingerprint:
    """Return the fingerprint of a request; `host` may include a port."""
    # A cryptographic hash, so that no request can be forged to collide with another.
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for text in (method, host.partition(":")[0].lower(), target, customer):
        encoded = text.encode()
        digest.update(len(encoded).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(encoded)
    digest.update(body)
    return Fingerprint(digest.hexdigest())
