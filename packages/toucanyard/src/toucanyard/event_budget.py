"""Bound the bytes a second of cache events and lists of blocks that a node takes in.

A large fleet publishes more than a node may spend on control. What is over the bound is
left out, not caught up with: the views turn doubtful, and hashing goes on to place.
"""

from __future__ import annotations

from typing import Final

BURST_MS: Final = 10_000.0
"""How long the rate may be saved up for."""
MAX_LAG_MS: Final = 1_000.0
"""Longest wait after which reading goes on where it stopped."""
ANSWER_BYTES: Final = 4_096
"""Set aside for an answer while it is under way; its size is known at its end."""
MIN_ANSWER_BYTES: Final = 16_384
"""Largest answer that any rate lets through; whole answers can't be cut."""


class EventBudget:
    """Count what is taken in against a rate that is saved up for `BURST_MS`.

    Invariant: over any time, no more is taken in than the rate gives, `BURST_MS` of it
    and the answers that were under way together.
    """

    __slots__ = ("_at_ms", "_bytes_per_s", "_left_bytes")

    def __init__(self, bytes_per_s: float, now_ms: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._left_bytes = self.burst_bytes
        self._at_ms = now_ms

    @property
    def burst_bytes(self) -> float:
        """Return the most that can be saved up."""
        return self._bytes_per_s * BURST_MS / 1_000

    def change_rate(self, bytes_per_s: float, now_ms: float) -> None:
        """Go on at another rate."""
        self._refill(now_ms)
        self._bytes_per_s = bytes_per_s
        self._left_bytes = min(self._left_bytes, self.burst_bytes)

    def spend(self, size_bytes: float, now_ms: float) -> None:
        """Count bytes that were taken in; a negative size gives some back."""
        self._refill(now_ms)
        self._left_bytes = min(self._left_bytes - size_bytes, self.burst_bytes)

    def compute_left_bytes(self, now_ms: float) -> float:
        """Return what may be taken in now; below zero where too much was."""
        passed_ms = max(now_ms - self._at_ms, 0.0)
        gained_bytes = passed_ms * self._bytes_per_s / 1_000
        return min(self._left_bytes + gained_bytes, self.burst_bytes)

    def compute_wait_ms(self, now_ms: float) -> float:
        """Return the time until something may be taken in again."""
        left_bytes = self.compute_left_bytes(now_ms)
        return max(-left_bytes, 0.0) * 1_000 / self._bytes_per_s

    def _refill(self, now_ms: float) -> None:
        self._left_bytes = self.compute_left_bytes(now_ms)
        self._at_ms = max(now_ms, self._at_ms)


class DumpSizes:
    """Remember how large lists of blocks were at the least, to ask for none in vain.

    A list that is over what is left is given up half way, and its first part was taken
    in for nothing; asked for again each second, it would use the rate up alone.
    """

    __slots__ = ("_least_bytes",)

    def __init__(self) -> None:
        self._least_bytes: dict[str, float] = {}

    def is_affordable(self, endpoint: str, left_bytes: float) -> bool:
        """Tell whether a list of this endpoint may fit into what is left."""
        return left_bytes >= max(self._least_bytes.get(endpoint, 0.0), ANSWER_BYTES)

    def record_complete(self, endpoint: str, size_bytes: float) -> None:
        """Take in the size of a list that came whole."""
        self._least_bytes[endpoint] = size_bytes

    def record_truncated(self, endpoint: str, read_bytes: float) -> None:
        """Take in that a list was longer than what was read of it."""
        self._least_bytes[endpoint] = 2 * read_bytes

    def keep(self, endpoints: set[str]) -> None:
        """Forget all other endpoints."""
        for gone in self._least_bytes.keys() - endpoints:
            del self._least_bytes[gone]
