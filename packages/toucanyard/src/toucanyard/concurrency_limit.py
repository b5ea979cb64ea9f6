"""Limit how many requests a node has at one endpoint, following observed latency.

The limit grows by one over a limit's worth of good answers, and shrinks by a share
when first tokens come later than their own computation explains: what is left then
waits at the node, where it can be ordered, refused and given up, not in the engine.
"""

from __future__ import annotations

from typing import Final

MIN_LIMIT: Final = 1.0
DECREASE_FACTOR: Final = 0.8
GROWTH_MIN_USAGE: Final = 0.75
"""Grow only while this share of the limit is used, or an idle limit would run off."""


class ConcurrencyLimit:
    """The limit of one endpoint, between 1 and `max_limit`, and what uses it."""

    __slots__ = ("_limit", "_reduced_ms", "in_flight", "max_limit", "target_wait_ms")

    def __init__(self, max_limit: int, start: float, target_wait_ms: float) -> None:
        self.max_limit = max_limit
        self.target_wait_ms = target_wait_ms
        self.in_flight = 0
        self._limit = min(max(start, MIN_LIMIT), float(max_limit))
        self._reduced_ms = float("-inf")

    @property
    def limit(self) -> int:
        """Return how many requests may be there at once."""
        return min(int(self._limit), self.max_limit)

    def has_room(self) -> bool:
        """Return whether one more may be sent within the declared limit."""
        return self.in_flight < self.max_limit

    def lower_to(self, start: float) -> None:
        """Begin again from a lower start; nothing changes below it."""
        self._limit = min(self._limit, max(start, MIN_LIMIT))

    def record_wait(self, wait_ms: float, now_ms: float) -> None:
        """Follow the wait before a first token, without its own computation."""
        if wait_ms <= self.target_wait_ms:
            if self.in_flight >= GROWTH_MIN_USAGE * self._limit:
                self._limit = min(
                    self._limit + 1.0 / self._limit, float(self.max_limit)
                )
            return
        self._reduce(now_ms)

    def note_failure(self, now_ms: float) -> None:
        """Take a failed dispatch as a sign of overload."""
        self._reduce(now_ms)

    def _reduce(self, now_ms: float) -> None:
        # One step for each target wait: the answers under way were sent before the
        # reduction and would otherwise each reduce it again, down to the least.
        if now_ms - self._reduced_ms < self.target_wait_ms:
            return
        self._reduced_ms = now_ms
        self._limit = max(self._limit * DECREASE_FACTOR, MIN_LIMIT)
