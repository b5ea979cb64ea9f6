"""Run scheduled calls in virtual time."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class VirtualClock:
    """A scheduler in virtual time; ties run in the order of scheduling."""

    __slots__ = ("_calls", "_order", "now_ms")

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._order = 0
        self._calls: list[tuple[float, int, Callable[[], None]]] = []

    def call_after(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Schedule a call after a delay."""
        self._order += 1
        heapq.heappush(self._calls, (self.now_ms + delay_ms, self._order, call))

    def run_until(self, end_ms: float) -> None:
        """Run all calls that are due up to a time, and advance the clock to it."""
        while self._calls and self._calls[0][0] <= end_ms:
            self.now_ms, _, call = heapq.heappop(self._calls)
            call()
        self.now_ms = end_ms
