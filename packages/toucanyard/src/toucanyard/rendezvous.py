"""Rank endpoints for a key by rendezvous hashing, without shared state.

When an endpoint is added or removed, only its own keys move. Ranking every endpoint of
a large pool costs too much for one decision, so a hash ring first narrows a large pool
to the neighbourhood of the key, and only that is ranked.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence
from typing import Final

import xxhash

from toucanyard.names import EndpointName

NEIGHBOURHOOD: Final = 16
"""Endpoints of a large pool that are ranked for one key."""
MAX_RANKED: Final = 2_048
"""Maximum number of keys with a cached ranking."""
_MASK: Final = (1 << 64) - 1
_MULTIPLIER: Final = 0x9E3779B97F4A7C15


def compute_seed(name: EndpointName) -> int:
    """Return the fixed 64-bit position of an endpoint on the ring."""
    return xxhash.xxh3_64_intdigest(name.encode())


def compute_weight(seed: int, key: int) -> int:
    """Return the 64-bit rendezvous weight of an endpoint for a key."""
    mixed = ((seed ^ key) * _MULTIPLIER) & _MASK
    mixed ^= mixed >> 29
    mixed = (mixed * 0xBF58476D1CE4E5B9) & _MASK
    return mixed ^ (mixed >> 32)


class EndpointRing:
    """Endpoints of one pool in ring order; immutable."""

    __slots__ = ("_points", "_ranked", "names", "seeds")

    def __init__(self, names: Sequence[EndpointName]) -> None:
        self.seeds = {name: compute_seed(name) for name in names}
        ordered = sorted((seed, name) for name, seed in self.seeds.items())
        self._ranked: dict[int, list[EndpointName]] = {}
        self._points = [seed for seed, _ in ordered]
        self.names = [name for _, name in ordered]

    def find_neighbours(self, key: int) -> list[EndpointName]:
        """Return the endpoints that may be ranked for a key."""
        count = len(self.names)
        if count <= NEIGHBOURHOOD:
            return list(self.names)
        point = compute_weight(_MULTIPLIER, key)
        start = bisect_left(self._points, point)
        end = start + NEIGHBOURHOOD
        found = self.names[start:end]
        return found + self.names[: max(0, end - count)]

    def rank_neighbours(self, key: int) -> list[EndpointName]:
        """Return the endpoints for a key by descending weight; don't modify the list.

        Cached for recurring keys: a ring never changes, so its rankings stay valid.
        """
        ranked = self._ranked.get(key)
        if ranked is None:
            if len(self._ranked) >= MAX_RANKED:
                self._ranked.clear()
            ranked = self.rank(self.find_neighbours(key), key)
            self._ranked[key] = ranked
        return ranked

    def rank(self, names: Sequence[EndpointName], key: int) -> list[EndpointName]:
        """Return names of this ring by descending weight for a key."""
        seeds = self.seeds
        return sorted(
            names, key=lambda name: compute_weight(seeds[name], key), reverse=True
        )
