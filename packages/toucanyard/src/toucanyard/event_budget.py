"""Limit the bytes per second of cache events and dumps that a node receives.

A large fleet publishes more than a node may spend on control traffic. What exceeds the
limit is skipped, not caught up with: the views become doubtful, and placement relies on
hashing.
"""

from __future__ import annotations

from typing import Final

BURST_MS: Final = 10_000.0
"""Time over which an unused rate accumulates."""
MAX_LAG_MS: Final = 1_000.0
"""Longest wait after which reading resumes where it stopped."""
ANSWER_BYTES: Final = 4_096
"""Bytes reserved for a response in progress, whose size is known only at its end."""
MIN_ANSWER_BYTES: Final = 16_384
"""Minimum size limit of a response at any rate, since responses can't be split."""


class EventBudget:
    """Token bucket of received bytes that holds up to `BURST_MS` of the rate.

    Invariant: over any period, no more is received than the rate allows plus `BURST_MS`
    of it and the responses that were in progress together.
    """

    __slots__ = ("_at_ms", "_bytes_per_s", "_left_bytes")

    def __init__(self, bytes_per_s: float, now_ms: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._left_bytes = self.burst_bytes
        self._at_ms = now_ms

    @property
    def burst_bytes(self) -> float:
        """Return the capacity of the bucket."""
        return self._bytes_per_s * BURST_MS / 1_000

    def change_rate(self, bytes_per_s: float, now_ms: float) -> None:
        """Continue at another rate."""
        self._refill(now_ms)
        self._bytes_per_s = bytes_per_s
        self._left_bytes = min(self._left_bytes, self.burst_bytes)

    def spend(self, size_bytes: float, now_ms: float) -> None:
        """Count received bytes; a negative size returns some."""
        self._refill(now_ms)
        self._left_bytes = min(self._left_bytes - size_bytes, self.burst_bytes)

    def compute_left_bytes(self, now_ms: float) -> float:
        """Return how many bytes may be received now; negative if overspent."""
        passed_ms = max(now_ms - self._at_ms, 0.0)
        gained_bytes = passed_ms * self._bytes_per_s / 1_000
        return min(self._left_bytes + gained_bytes, self.burst_bytes)

    def compute_wait_ms(self, now_ms: float) -> float:
        """Return the time until anything may be received again."""
        left_bytes = self.compute_left_bytes(now_ms)
        return max(-left_bytes, 0.0) * 1_000 / self._bytes_per_s

    def _refill(self, now_ms: float) -> None:
        self._left_bytes = self.compute_left_bytes(now_ms)
        self._at_ms = max(now_ms, self._at_ms)


class DumpSizes:
    """Minimum known sizes of cache dumps, to avoid requesting any that won't fit.

    A dump that exceeds the remaining budget is aborted half way, and the part read so
    far is wasted. Requested again each second, it would exhaust the rate alone.
    """

    __slots__ = ("_least_bytes",)

    def __init__(self) -> None:
        self._least_bytes: dict[str, float] = {}

    def is_affordable(self, endpoint: str, left_bytes: float) -> bool:
        """Return whether a dump of this endpoint may fit into the remaining budget."""
        return left_bytes >= max(self._least_bytes.get(endpoint, 0.0), ANSWER_BYTES)

    def record_complete(self, endpoint: str, size_bytes: float) -> None:
        """Record the size of a dump that was read completely."""
        self._least_bytes[endpoint] = size_bytes

    def record_truncated(self, endpoint: str, read_bytes: float) -> None:
        """Record that a dump was longer than what was read of it."""
        self._least_bytes[endpoint] = 2 * read_bytes

    def keep(self, endpoints: set[str]) -> None:
        """Forget all other endpoints."""
        for gone in self._least_bytes.keys() - endpoints:
            del self._least_bytes[gone]
