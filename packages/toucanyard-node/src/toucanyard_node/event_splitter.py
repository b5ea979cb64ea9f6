"""Split a stream into complete server-sent events without decoding them."""

from __future__ import annotations

from typing import Final

_EVENT_ENDS: Final = (b"\n\n", b"\r\n\r\n")
_ID_FIELD: Final = b"id:"


class EventSplitter:
    """Buffer the event that is still incomplete.

    A stream that breaks inside an event can then continue on another connection without
    the caller receiving a partial event. Invariant: returned data ends with a complete
    event.
    """

    __slots__ = ("_partial_event", "last_id")

    def __init__(self, last_id: str) -> None:
        self._partial_event = b""
        self.last_id = last_id
        """Id of the last complete event."""

    def push(self, data: bytes) -> bytes:
        """Append bytes and return the events that they complete."""
        data = self._partial_event + data
        ends = [data.rfind(mark) + len(mark) for mark in _EVENT_ENDS if mark in data]
        end = max(ends, default=0)
        self._partial_event = data[end:]
        complete = data[:end]
        start = max(complete.rfind(b"\n" + _ID_FIELD) + 1, 0)
        if complete.startswith(_ID_FIELD, start):
            line = complete[start:].split(b"\n", 1)[0]
            self.last_id = line[len(_ID_FIELD) :].strip().decode("latin-1")
        return complete

    def discard_partial_event(self) -> None:
        """Discard a truncated event; the resumed stream sends it again."""
        self._partial_event = b""

    def has_partial_event(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._partial_event.strip())
