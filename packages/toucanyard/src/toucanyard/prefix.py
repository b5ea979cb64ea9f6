"""Cut a prompt into blocks and name each prefix by a chain of hashes.

The chain starts from the cache identity (customer, model, adapter, weights version),
so equal text under another identity never has an equal hash: blocks of another
customer or of older weights can't be matched.
"""

from __future__ import annotations

from typing import Final

import msgspec
import xxhash

BLOCK_BYTES: Final = 256
"""Size of one block of the prompt's UTF-8 text; a shorter tail is not cached."""


class CacheIdentity(msgspec.Struct, frozen=True):
    """Whose cached blocks, for which model, adapter and weights."""

    customer: str
    model: str
    adapter: str
    weights_version: str


def compute_root(identity: CacheIdentity) -> int:
    """Return the hash that a chain under this identity starts from."""
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(identity))


def compute_chain(identity: CacheIdentity, prompt: bytes) -> tuple[int, ...]:
    """Return the hash of each whole-block prefix of a prompt, shortest first."""
    parent = compute_root(identity)
    chain: list[int] = []
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block = prompt[start : start + BLOCK_BYTES]
        parent = xxhash.xxh3_64_intdigest(parent.to_bytes(8, "big") + block)
        chain.append(parent)
    return tuple(chain)
