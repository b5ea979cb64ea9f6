"""Split a prompt into blocks and identify each prefix by a chain of hashes.

The chain starts from the cache identity (customer, model, adapter, weights version), so
equal text under another identity never has an equal hash: blocks of other customers or
of older weights can't match.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final, Protocol

import msgspec
import xxhash

DEPTHS: Final = (1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192, 256, 512)
"""Depths in blocks at which recurring prefixes are counted."""
BLOCK_BYTES: Final = 256
"""Bytes of the prompt's UTF-8 text in one block; a shorter tail is not cached."""


class CacheIdentity(msgspec.Struct, frozen=True):
    """Customer, model, adapter and weights version that cached blocks belong to."""

    customer: str
    model: str
    adapter: str
    weights_version: str


class ChainSource(Protocol):
    """Computes the chain of one prompt under any weights version."""

    def find_chain(self, weights_version: str) -> tuple[int, ...]:
        """Return the prompt's chain under these weights."""
        ...


class PromptChains:
    """Chains of one prompt, computed on demand for each weights version."""

    __slots__ = ("_chains", "_identity", "_prompt")

    def __init__(self, identity: CacheIdentity, prompt: bytes) -> None:
        self._identity = identity
        self._prompt = prompt
        self._chains: dict[str, tuple[int, ...]] = {}

    def find_chain(self, weights_version: str) -> tuple[int, ...]:
        """Return the prompt's chain under these weights."""
        chain = self._chains.get(weights_version)
        if chain is None:
            identity = msgspec.structs.replace(
                self._identity, weights_version=weights_version
            )
            chain = self._chains[weights_version] = compute_chain(
                identity, self._prompt
            )
        return chain

    def compute_affinity_keys(self) -> tuple[int, ...]:
        """Return keys of the prefixes at `DEPTHS`, the same under all weights."""
        identity = msgspec.structs.replace(self._identity, weights_version="")
        digest = xxhash.xxh3_64(msgspec.msgpack.encode(identity))
        keys: list[int] = []
        begin = 0
        for depth in DEPTHS:
            end = depth * BLOCK_BYTES
            if end > len(self._prompt):
                break
            digest.update(self._prompt[begin:end])
            keys.append(digest.intdigest())
            begin = end
        return tuple(keys)


def sample_chain(chain: Sequence[int]) -> tuple[int, ...]:
    """Return the hashes of a chain at `DEPTHS`."""
    return tuple(chain[depth - 1] for depth in DEPTHS if depth <= len(chain))


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
