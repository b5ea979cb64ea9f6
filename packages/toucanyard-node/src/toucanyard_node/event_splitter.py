"""Cut a stream of events into whole ones without decoding them."""

from __future__ import annotations

from typing import Final

_ENDS: Final = (b"\n\n", b"\r\n\r\n")
_ID: Final = b"id:"


class EventSplitter:
    """Hold back the event that is not whole yet.

    A stream that breaks off inside an event can then go on elsewhere: the caller never
    sees half of one. Invariant: what was returned ends with a whole event.
    """

    __slots__ = ("_rest", "last_id")

    def __init__(self, last_id: str) -> None:
        self._rest = b""
        self.last_id = last_id
        """Id of the last whole event."""

    def push(self, data: bytes) -> bytes:
        """Take in bytes and return the whole events that they complete."""
        data = self._rest + data
        ends = [data.rfind(mark) + len(mark) for mark in _ENDS if mark in data]
        end = max(ends, default=0)
        self._rest = data[end:]
        whole = data[:end]
        begin = max(whole.rfind(b"\n" + _ID) + 1, 0)
        if whole.startswith(_ID, begin):
            line = whole[begin:].split(b"\n", 1)[0]
            self.last_id = line[len(_ID) :].strip().decode("latin-1")
        return whole

    def drop_rest(self) -> None:
        """Drop the event that was cut; whoever goes on sends it whole."""
        self._rest = b""

    def has_rest(self) -> bool:
        """Tell whether an event has begun and not ended."""
        return bool(self._rest.strip())
