"""Limit the rate of log lines about an event that may repeat indefinitely."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from toucanyard.log_entries import LogEntry

MAX_ENTRIES: Final = 20
"""Maximum lines per event and window; enough to see which keys are affected."""
WINDOW_MS: Final = 10_000.0


class LogRateLimit:
    """Log entries of one event. Invariant: at most MAX_ENTRIES per window."""

    __slots__ = ("_count", "_event", "_since_ms", "_suppressed")

    def __init__(self, event: str) -> None:
        self._event = event
        self._since_ms = float("-inf")
        self._count = 0
        self._suppressed = 0

    def log(self, fields: dict[str, object], now_ms: float) -> Iterator[LogEntry]:
        """Yield an entry unless there were too many; it counts the suppressed ones."""
        if now_ms - self._since_ms >= WINDOW_MS:
            self._since_ms = now_ms
            self._count = 0
        if self._count >= MAX_ENTRIES:
            self._suppressed += 1
            return
        self._count += 1
        suppressed, self._suppressed = self._suppressed, 0
        yield LogEntry(self._event, fields | {"suppressed": suppressed})
