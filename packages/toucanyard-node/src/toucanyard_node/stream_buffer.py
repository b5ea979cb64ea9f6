"""Buffer the last events of a stream, so that its caller can resume it."""

from __future__ import annotations

from collections import deque


class StreamBuffer:
    """Rendered events in order; the oldest are evicted above the size limit.

    Invariant: buffered numbers are consecutive and end just before `next_number`.
    """

    __slots__ = ("_events", "_buffered_bytes", "_max_bytes", "next_number")

    def __init__(self, max_bytes: int) -> None:
        self._events: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._max_bytes = max_bytes
        self.next_number = 0

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the buffered events."""
        return self._buffered_bytes

    def append(self, event: bytes) -> None:
        """Append the next event; its number is `next_number`."""
        self._events.append(event)
        self._buffered_bytes += len(event)
        self.next_number += 1
        while self._buffered_bytes > self._max_bytes and len(self._events) > 1:
            self._buffered_bytes -= len(self._events.popleft())

    def has_room(self) -> bool:
        """Return whether another event fits without evicting the oldest."""
        return self._buffered_bytes < self._max_bytes * 3 // 4

    def find_after(self, number: int) -> bytes | None:
        """Return all events after a number, or None when some were evicted."""
        first = self.next_number - len(self._events)
        if number + 1 < first or number >= self.next_number:
            return None
        skipped = number + 1 - first
        return b"".join(list(self._events)[skipped:])
