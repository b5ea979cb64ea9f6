"""Decide how much of a bucket is kept for calls that are more urgent.

Answers the load in which a customer sends many times its limit: long prompts of low
priority then take the credit that short urgent ones need, and these wait for it beyond
their target although they are a small part of the limit.
"""

from __future__ import annotations

import math
from typing import Final

HALF_LIFE_S: Final = 1.0
"""Half-life of demand: a customer's load changes within seconds."""
RESERVED_S: Final = 0.5
"""Time for which credit is kept for urgent calls: until the rate has made up for what
one node asks for at once."""
MAX_RESERVED_SHARE: Final = 0.5
"""Share of the bucket's capacity that may be kept."""
MIN_RESERVED_SHARE: Final = 0.01
"""Share of the capacity below which nothing is kept: the demand has ended."""
MIN_GRANTED_SHARE: Final = 0.1
"""Share of the granted credit below which less urgent calls are not held back."""


class UrgentDemand:
    """Demand and grants of one bucket by rank; time is what has accrued there."""

    __slots__ = ("_decayed_s", "_granted", "_wanted")

    def __init__(self) -> None:
        self._wanted: dict[int, float] = {}
        self._granted: dict[int, float] = {}
        self._decayed_s = 0.0

    def record(self, rank: int, wanted: float, granted: float, now_s: float) -> None:
        """Count what was asked for anew at a rank, and what was granted of it."""
        self._decay(now_s)
        self._wanted[rank] = self._wanted.get(rank, 0.0) + wanted
        self._granted[rank] = self._granted.get(rank, 0.0) + granted

    def compute_reserve(self, rank: int, capacity: float, now_s: float) -> float:
        """Return the credit that a request of a rank has to leave to others."""
        self._decay(now_s)
        urgent = sum(wanted for each, wanted in self._wanted.items() if each < rank)
        if not urgent or self._is_starved(rank):
            return 0.0
        # The decayed sum of a steady demand is its rate times the half-life / ln 2.
        rate_per_s = urgent * math.log(2) / HALF_LIFE_S
        reserve = rate_per_s * RESERVED_S
        if reserve < capacity * MIN_RESERVED_SHARE:
            return 0.0
        return min(reserve, capacity * MAX_RESERVED_SHARE)

    def _is_starved(self, rank: int) -> bool:
        total = sum(self._granted.values())
        own = sum(amount for each, amount in self._granted.items() if each >= rank)
        return own < total * MIN_GRANTED_SHARE

    def _decay(self, now_s: float) -> None:
        kept = 0.5 ** (max(now_s - self._decayed_s, 0.0) / HALF_LIFE_S)
        self._decayed_s = now_s
        for amounts in (self._wanted, self._granted):
            for rank in amounts:
                amounts[rank] *= kept
