"""Split a stream into complete server-sent events without decoding them."""

from __future__ import annotations

import re
from typing import Final

from toucanyard.byte_limits import ByteLimits
from toucanyard_node.held_bytes import ByteBound, ByteBoundError

_EVENT_END: Final = re.compile(rb"\n(?:\n|(?<=\r\n)\r\n)")
"""Two line ends of one kind. It begins with a literal, which is found much faster than
an alternative."""
_OVERLAP_BYTES: Final = 3
"""Bytes of an end that may have come before the rest of it."""
_ID_FIELD: Final = b"id:"
_DATA_FIELD: Final = re.compile(rb"(?:\A(?:\xef\xbb\xbf)?|[\r\n])data(?=[:\r\n])")
"""Field of an event; readers dispatch no block without one."""
_UNSENDABLE: Final = re.compile(r"[\x00-\x1f\x7f]")
"""Characters that no header can carry."""
MAX_EVENT_BYTES: Final = ByteLimits().max_event_bytes


class BlockBuffer:
    """Buffer the block of lines that is still incomplete.

    Each byte is copied and searched a bounded number of times, however it arrives.
    """

    __slots__ = ("_end", "partial", "searched_bytes")

    def __init__(self, end: re.Pattern[bytes] = _EVENT_END) -> None:
        self._end = end
        self.partial = bytearray()
        self.searched_bytes = 0
        """Bytes searched so far for the end of a block."""

    def push(self, data: bytes) -> bytes:
        """Append bytes and return the blocks that they complete."""
        begin = max(len(self.partial) - _OVERLAP_BYTES, 0)
        self.partial += data
        self.searched_bytes += len(self.partial) - begin
        end = 0
        for found in self._end.finditer(self.partial, begin):
            end = found.end()
        complete = bytes(self.partial[:end])
        del self.partial[:end]
        return complete


class EventSplitter:
    """Buffer the event that is still incomplete.

    A stream that breaks inside an event can then continue on another connection without
    the caller receiving a partial event. Invariant: returned data ends with a complete
    event, or a block of lines without data such as a comment.
    """

    __slots__ = (
        "_buffer",
        "_max_event_bytes",
        "_unfinished_bytes",
        "has_event",
        "last_id",
    )

    def __init__(self, last_id: str, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._buffer = BlockBuffer()
        self._max_event_bytes = max_event_bytes
        self._unfinished_bytes = 0
        """Bytes since the last event, blocks without data among them."""
        self.last_id = last_id
        """Id of the last complete block that has one."""
        self.has_event = False
        """Whether the last data that was returned has a block with data."""

    @property
    def searched_bytes(self) -> int:
        """Return how many bytes were searched so far for the end of an event."""
        return self._buffer.searched_bytes

    @property
    def partial_bytes(self) -> int:
        """Return the size of the incomplete event that is buffered."""
        return len(self._buffer.partial)

    def push(self, data: bytes, work_bytes: int = 0) -> bytes:
        """Append bytes and return the events and comments that they complete.

        `work_bytes` is what the bytes count as if it is more than their number. Raise
        ByteBoundError if no event is complete within the bound.
        """
        complete = self._buffer.push(data)
        self.has_event = _DATA_FIELD.search(complete) is not None
        self._record_id(complete)
        if self.has_event:
            self._unfinished_bytes = len(self._buffer.partial)
        else:
            self._unfinished_bytes += max(len(data), work_bytes)
        if self._unfinished_bytes > self._max_event_bytes:
            raise ByteBoundError(ByteBound.EVENT, self._unfinished_bytes)
        return complete

    def _record_id(self, complete: bytes) -> None:
        start = max(complete.rfind(b"\n" + _ID_FIELD) + 1, 0)
        if not complete.startswith(_ID_FIELD, start):
            return
        line = complete[start + len(_ID_FIELD) : complete.index(b"\n", start)]
        last_id = line.strip().decode("latin-1")
        if not _UNSENDABLE.search(last_id):
            self.last_id = last_id

    def discard_partial_event(self) -> None:
        """Discard a truncated event; the resumed stream sends it again."""
        self._buffer.partial.clear()

    def has_partial_event(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._buffer.partial.strip())
