"""Bound the cost of reading from senders whose messages exceed a bound.

Each such sender is read again after a growing delay. The next reads of all of them are
planned one after another, so that together they receive a bounded number of bytes per
second, whatever their number.
"""

from __future__ import annotations

from typing import Final

MIN_DELAY_MS: Final = 500.0
MAX_DELAY_MS: Final = 8_000.0
"""Delay of a single sender; its return to sound messages is noticed within it."""
MAX_BYTES_PER_S: Final = 1_000_000
"""Bytes per second that all next reads of such senders together may receive."""
MAX_SENDERS: Final = 4_096
_MAX_DOUBLINGS: Final = 4


class OversizedReadPace:
    """When each sender that exceeded a bound is read again.

    Invariant: the reads planned for any interval receive at most `max_bytes_per_s` in
    it, beyond one message, if each receives what its sender's last one did.
    """

    __slots__ = (
        "_failures",
        "_free_ms",
        "_max_bytes_per_s",
        "_max_delay_ms",
        "_next_ms",
    )

    def __init__(
        self,
        max_delay_ms: float = MAX_DELAY_MS,
        max_bytes_per_s: int = MAX_BYTES_PER_S,
    ) -> None:
        self._max_delay_ms = max_delay_ms
        self._max_bytes_per_s = max_bytes_per_s
        self._failures: dict[str, int] = {}
        self._next_ms: dict[str, float] = {}
        self._free_ms = float("-inf")
        """When the bytes of the last planned read will have been received."""

    def is_paced(self, sender: str) -> bool:
        """Return whether the last message of a sender exceeded a bound."""
        return sender in self._failures

    def compute_wait(self, sender: str, now_ms: float) -> float:
        """Return the time in ms before the next read of a sender."""
        return max(self._next_ms.get(sender, now_ms) - now_ms, 0.0)

    def record_oversized(self, sender: str, size_bytes: int, now_ms: float) -> float:
        """Record a message that exceeded a bound; return the time before the next."""
        failures = self._failures.pop(sender, 0)
        self._failures[sender] = failures + 1
        factor = 1 << min(failures, _MAX_DOUBLINGS)
        delay_ms = min(MIN_DELAY_MS * factor, self._max_delay_ms)
        next_ms = max(now_ms + delay_ms, self._free_ms)
        self._next_ms[sender] = next_ms
        self._free_ms = next_ms + size_bytes * 1_000 / self._max_bytes_per_s
        if len(self._failures) > MAX_SENDERS:
            self.record_sound(next(iter(self._failures)))
        return next_ms - now_ms

    def record_sound(self, sender: str) -> None:
        """Record a message within all bounds."""
        self._failures.pop(sender, None)
        self._next_ms.pop(sender, None)
