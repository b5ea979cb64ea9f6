"""Limit the requests a node has in flight at one endpoint, by observed latency.

Additive increase, multiplicative decrease: the limit grows by one per limit's worth of
timely first tokens and shrinks by a factor when first tokens are later than their own
computation explains. The excess then waits at the node, where it can be prioritized,
rejected and abandoned, rather than in the engine.
"""

from __future__ import annotations

from typing import Final

MIN_LIMIT: Final = 1.0
DECREASE_FACTOR: Final = 0.8
GROWTH_MIN_USAGE: Final = 0.75
"""Share of the limit that must be in use for it to grow; otherwise the limit of an
idle endpoint would grow without bound."""


class ConcurrencyLimit:
    """The limit of one endpoint, between 1 and `max_limit`, and its usage."""

    __slots__ = ("_limit", "_reduced_ms", "in_flight", "max_limit", "target_wait_ms")

    def __init__(self, max_limit: int, start: float, target_wait_ms: float) -> None:
        self.max_limit = max_limit
        self.target_wait_ms = target_wait_ms
        self.in_flight = 0
        self._limit = min(max(start, MIN_LIMIT), float(max_limit))
        self._reduced_ms = float("-inf")

    @property
    def limit(self) -> int:
        """Return how many requests may be in flight."""
        return min(int(self._limit), self.max_limit)

    def has_room(self) -> bool:
        """Return whether the declared limit allows one more request."""
        return self.in_flight < self.max_limit

    def lower_to(self, start: float) -> None:
        """Lower the limit to `start`; a limit below it is unchanged."""
        self._limit = min(self._limit, max(start, MIN_LIMIT))

    def record_wait(self, wait_ms: float, now_ms: float) -> None:
        """Adjust the limit to a first token's wait, without its computation."""
        if wait_ms <= self.target_wait_ms:
            if self.in_flight >= GROWTH_MIN_USAGE * self._limit:
                self._limit = min(
                    self._limit + 1.0 / self._limit, float(self.max_limit)
                )
            return
        self._reduce(now_ms)

    def record_failure(self, now_ms: float) -> None:
        """Treat a failed dispatch as a sign of overload."""
        self._reduce(now_ms)

    def _reduce(self, now_ms: float) -> None:
        # At most one reduction per target wait: requests in flight were sent before
        # the reduction, and each would lower the limit again, down to its minimum.
        if now_ms - self._reduced_ms < self.target_wait_ms:
            return
        self._reduced_ms = now_ms
        self._limit = max(self._limit * DECREASE_FACTOR, MIN_LIMIT)
