"""Cut a stream of events into whole ones without decoding them."""

from __future__ import annotations

from typing import Final

_EVENT_ENDS: Final = (b"\n\n", b"\r\n\r\n")
_ID_FIELD: Final = b"id:"


class EventSplitter:
    """Hold back the event that is not whole yet.

    A stream that breaks off inside an event can then go on elsewhere: the caller never
    sees half of one. Invariant: what was returned ends with a whole event.
    """

    __slots__ = ("_partial_event", "last_id")

    def __init__(self, last_id: str) -> None:
        self._partial_event = b""
        self.last_id = last_id
        """Id of the last whole event."""

    def push(self, data: bytes) -> bytes:
        """Take in bytes and return the whole events that they complete."""
        data = self._partial_event + data
        ends = [data.rfind(mark) + len(mark) for mark in _EVENT_ENDS if mark in data]
        end = max(ends, default=0)
        self._partial_event = data[end:]
        whole = data[:end]
        begin = max(whole.rfind(b"\n" + _ID_FIELD) + 1, 0)
        if whole.startswith(_ID_FIELD, begin):
            line = whole[begin:].split(b"\n", 1)[0]
            self.last_id = line[len(_ID_FIELD) :].strip().decode("latin-1")
        return whole

    def discard_partial_event(self) -> None:
        """Drop the event that was cut; whoever goes on sends it whole."""
        self._partial_event = b""

    def has_partial_event(self) -> bool:
        """Tell whether an event has begun and not ended."""
        return bool(self._partial_event.strip())
