"""Estimate the rate at which requests end, and so how long a queue takes to drain."""

from __future__ import annotations

import math
from typing import Final

HALF_LIFE_MS: Final = 3_000.0
DEFAULT_MS_PER_REQUEST: Final = 50.0
"""Assumed until the first request has ended."""


class DrainRate:
    """Rate of events with exponential decay, such as requests that end."""

    __slots__ = ("_count", "_counted_ms", "_since_ms")

    def __init__(self) -> None:
        self._count = 0.0
        self._counted_ms = 0.0
        self._since_ms: float | None = None

    def record_event(self, now_ms: float) -> None:
        """Count one event."""
        if self._since_ms is None:
            self._since_ms = now_ms
        self._count = self._compute_count(now_ms) + 1.0
        self._counted_ms = now_ms

    def compute_wait(self, ahead: int, now_ms: float) -> float:
        """Return the estimated time until this many requests have ended, in ms."""
        if self._since_ms is None or self._compute_count(now_ms) < 1.0:
            return ahead * DEFAULT_MS_PER_REQUEST
        return float(ahead / self._compute_per_ms(self._since_ms, now_ms))

    def compute_rate(self, now_ms: float) -> float:
        """Return the number of events per second."""
        if self._since_ms is None:
            return 0.0
        return self._compute_per_ms(self._since_ms, now_ms) * 1_000

    def _compute_per_ms(self, since_ms: float, now_ms: float) -> float:
        # Shortly after the first event, the decayed count covers only the time since.
        covered = 1.0 - 0.5 ** (max(now_ms - since_ms, 100.0) / HALF_LIFE_MS)
        count = self._compute_count(now_ms)
        return float(count * math.log(2) / (HALF_LIFE_MS * covered))

    def _compute_count(self, now_ms: float) -> float:
        age_ms = max(now_ms - self._counted_ms, 0.0)
        return float(self._count * 0.5 ** (age_ms / HALF_LIFE_MS))
