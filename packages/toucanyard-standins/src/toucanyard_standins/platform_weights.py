"""Simulate the weight store: permits to load at a limited rate and shared speed."""

from __future__ import annotations

from collections import deque
from typing import Final

import msgspec

_FULL_SPEED_LOADS: Final = 2


class WeightStoreOptions(msgspec.Struct, frozen=True):
    """The settings of the weight store."""

    starts_per_s: float = 4.0
    burst: int = 4
    load_ms: float = 450.0
    """The time for which a started load counts as concurrent."""


class LoadPermit(msgspec.Struct, frozen=True):
    """A permit to start a load, and the factor by which the load is slower."""

    slowdown: float


class WeightStore:
    """Grant permits to load at a limited rate."""

    __slots__ = ("_options", "_refilled_ms", "_started_ms", "_tokens", "starts")

    def __init__(self, options: WeightStoreOptions, now_ms: float) -> None:
        self._options = options
        self._tokens = float(options.burst)
        self._refilled_ms = now_ms
        self._started_ms: deque[float] = deque()
        self.starts = 0

    def request_permit(self, now_ms: float) -> LoadPermit | None:
        """Return a permit, or None if the rate is exceeded."""
        options = self._options
        refill = (now_ms - self._refilled_ms) * options.starts_per_s / 1000
        self._tokens = min(float(options.burst), self._tokens + refill)
        self._refilled_ms = now_ms
        if self._tokens < 1:
            return None
        self._tokens -= 1
        self.starts += 1
        while self._started_ms and self._started_ms[0] < now_ms - options.load_ms:
            self._started_ms.popleft()
        self._started_ms.append(now_ms)
        return LoadPermit(max(1.0, len(self._started_ms) / _FULL_SPEED_LOADS))

    def compute_wait_ms(self) -> int:
        """Return the time until the next permit can be granted."""
        missing = max(0.0, 1 - self._tokens)
        return int(missing * 1000 / self._options.starts_per_s) + 1
