"""Detect idle connections with a single task for all streams.

A cancel scope around each read would have the same effect, but at a cost per token
event. Here a reader only records when it began to wait, and closing its connection
wakes it.
"""

from __future__ import annotations

from typing import Final

import trio

from toucanyard_node.http_client import HttpConnection

_CHECK_INTERVAL_S: Final = 0.05


class IdleTimer:
    """Records when a reader began to wait for bytes; infinity while it doesn't wait.

    Invariant: `has_expired` is set before the connection is closed by the watch, so
    that its reader can distinguish a timeout from a broken connection.
    """

    __slots__ = ("connection", "has_expired", "timeout_s", "waiting_since_s")

    def __init__(self, connection: HttpConnection, timeout_ms: float) -> None:
        self.connection = connection
        self.timeout_s = timeout_ms / 1000
        self.waiting_since_s = float("inf")
        self.has_expired = False

    def is_expired(self, now_s: float) -> bool:
        """Return whether the reader has waited too long."""
        return now_s - self.waiting_since_s >= self.timeout_s


class IdleWatch:
    """Closes connections whose reader has waited too long."""

    __slots__ = ("_timers",)

    def __init__(self) -> None:
        self._timers: set[IdleTimer] = set()

    def add(self, timer: IdleTimer) -> None:
        """Start watching a reader."""
        self._timers.add(timer)

    def discard(self, timer: IdleTimer) -> None:
        """Stop watching a reader."""
        self._timers.discard(timer)

    async def run(self) -> None:
        """Check all readers periodically until cancelled."""
        while True:
            await trio.sleep(_CHECK_INTERVAL_S)
            for timer in self._find_expired(trio.current_time()):
                # While another connection was being closed, this reader may have
                # received data. Its stream continues, or it ended and returned the
                # connection to the pool, whose next request would then fail.
                if timer in self._timers and timer.is_expired(trio.current_time()):
                    timer.has_expired = True
                    self._timers.discard(timer)
                    await timer.connection.close()

    def _find_expired(self, now_s: float) -> list[IdleTimer]:
        return [timer for timer in self._timers if timer.is_expired(now_s)]
