"""List the traits of a request by which it may crash replicas.

A trait is the whole request, identified by its fingerprint, or one prompt block that
it shares with other requests. The last block of a prompt belongs to the request alone.
"""

from __future__ import annotations

import hashlib
from typing import Final

from toucanyard.names import Fingerprint
from toucanyard.relay_requests import RelayRequest
from toucanyard.request_fingerprint import DIGEST_BYTES

BLOCK_PREFIX: Final = "block:"
MAX_NAME: Final = 64
"""Maximum number of characters of a block name that is used unchanged."""


def list_traits(request: RelayRequest) -> tuple[Fingerprint, ...]:
    """Return the traits of a request: its fingerprint, then its shared blocks."""
    body = (request.fingerprint,) if request.fingerprint else ()
    return (*body, *list_block_traits(request))


def list_block_traits(request: RelayRequest) -> tuple[Fingerprint, ...]:
    """Return the shared prompt blocks of a request in order, each once."""
    if request.prompt is None:
        return ()
    names = dict.fromkeys(block.name for block in request.prompt.find_shared())
    return tuple(build_block_trait(name) for name in names if name)


def build_block_trait(name: str) -> Fingerprint:
    """Return the trait of a prompt block."""
    if len(name) > MAX_NAME or not (name.isascii() and name.isalnum()):
        # Callers choose the name; traits are keys in the store and labels of metrics.
        digest = hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES)
        name = f"hash-{digest.hexdigest()}"
    return Fingerprint(BLOCK_PREFIX + name)


def is_block(trait: Fingerprint) -> bool:
    """Return whether a trait is a prompt block."""
    return trait.startswith(BLOCK_PREFIX)
