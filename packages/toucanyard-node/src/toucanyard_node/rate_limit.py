"""Limit the rate at which messages of one peer are read."""

from __future__ import annotations


class RateLimit:
    """Two token buckets, for messages and for bytes, whose level may become negative.

    The reader waits until the deficit is refilled before it reads the next message, so
    that the sending peer blocks. Nothing is dropped and nothing is buffered.
    """

    __slots__ = (
        "_burst_bytes",
        "_bytes",
        "_bytes_per_s",
        "_messages",
        "_per_s",
        "_updated_s",
    )

    def __init__(self, per_s: float, bytes_per_s: float, burst_bytes: float) -> None:
        self._per_s = per_s
        self._bytes_per_s = bytes_per_s
        self._burst_bytes = burst_bytes
        self._messages = per_s
        self._bytes = burst_bytes
        self._updated_s: float | None = None

    def spend(self, size_bytes: int, now_s: float) -> float:
        """Charge one message; return the time to wait before the next, in seconds."""
        elapsed_s = 0.0 if self._updated_s is None else now_s - self._updated_s
        self._updated_s = now_s
        refilled = self._messages + elapsed_s * self._per_s
        self._messages = min(self._per_s, refilled) - 1
        refilled_bytes = self._bytes + elapsed_s * self._bytes_per_s
        self._bytes = min(self._burst_bytes, refilled_bytes) - size_bytes
        return max(0.0, -self._messages / self._per_s, -self._bytes / self._bytes_per_s)
