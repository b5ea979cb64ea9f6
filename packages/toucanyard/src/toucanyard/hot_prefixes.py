"""Count how often prefixes recur, to find shared levels and the width of each.

The levels of a prompt (rulebook, template, unique tail) are not declared. They show in
counts at a few depths of the chain: a depth that recurs is shared. Counts decay, and
the table is bounded: the least recently counted prefixes are evicted.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from itertools import islice
from typing import Final

import msgspec

from toucanyard.prefix import DEPTHS

HALF_LIFE_MS: Final = 10_000.0
COUNT_PER_S: Final = math.log(2) * 1_000 / HALF_LIFE_MS
"""Uses per second that keep a decayed count of 1."""
MIN_SHARED_COUNT: Final = 1.2
"""Decayed count from which a prefix is considered shared."""
TRIM_DIVISOR: Final = 16
"""A full table drops its capacity divided by this in one go."""
NARROW_SHARE: Final = 0.7
"""The width is reduced only if the load has fallen to this share of what it carries."""


class PrefixCount(msgspec.Struct):
    """Decayed count and current width of one prefix."""

    count: float
    counted_ms: float
    width: int


class Level(msgspec.Struct, frozen=True):
    """One shared prefix of a prompt: its depth in blocks, hash and rate."""

    depth: int
    key: int
    per_s: float


class HotPrefixes:
    """Decayed counts of at most `max_prefixes` prefixes."""

    __slots__ = ("_counts", "_max_prefixes")

    def __init__(self, max_prefixes: int) -> None:
        self._max_prefixes = max_prefixes
        self._counts: dict[int, PrefixCount] = {}

    def __len__(self) -> int:
        """Return the number of counted prefixes."""
        return len(self._counts)

    def record(self, keys: Sequence[int], now_ms: float) -> None:
        """Count a request's prefixes, given by their keys at `DEPTHS`."""
        for key in keys:
            self._record_one(key, now_ms)
        excess = len(self._counts) - self._max_prefixes
        if excess > 0:
            # Drop many at a time, as in CacheView: one by one would be quadratic.
            drop = excess + self._max_prefixes // TRIM_DIVISOR
            for key in list(islice(self._counts, drop)):
                del self._counts[key]

    def find_levels(self, keys: Sequence[int], now_ms: float) -> list[Level]:
        """Return the shared prefixes of a request, shortest first."""
        levels: list[Level] = []
        for depth, key in zip(DEPTHS, keys, strict=False):
            entry = self._counts.get(key)
            count = 0.0 if entry is None else _compute_count(entry, now_ms)
            if count < MIN_SHARED_COUNT:
                break
            levels.append(Level(depth, key, count * COUNT_PER_S))
        return levels

    def adjust_width(self, key: int, load: float, min_width: int) -> int:
        """Widen a prefix at once to carry `load` replicas' work, and narrow it late.

        The gap between the two thresholds keeps a fluctuating load from moving the
        prefix back and forth, which would recompute it at each move.
        """
        needed = max(min_width, math.ceil(load))
        entry = self._counts.get(key)
        if entry is None:
            return needed
        if needed > entry.width or load < NARROW_SHARE * (entry.width - 1):
            entry.width = needed
        return max(entry.width, min_width)

    def _record_one(self, key: int, now_ms: float) -> None:
        entry = self._counts.pop(key, None)
        if entry is None:
            entry = PrefixCount(0.0, now_ms, 1)
        entry.count = _compute_count(entry, now_ms) + 1.0
        entry.counted_ms = max(now_ms, entry.counted_ms)
        self._counts[key] = entry


def _compute_count(entry: PrefixCount, now_ms: float) -> float:
    age_ms = max(now_ms - entry.counted_ms, 0.0)
    return float(entry.count * 0.5 ** (age_ms / HALF_LIFE_MS))
