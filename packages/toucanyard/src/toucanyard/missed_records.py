"""Buffer patches while records before them are missing."""

from __future__ import annotations

from collections import deque
from typing import Final

import msgspec

from toucanyard.configuration_records import PatchRecord

_MAX_BUFFERED: Final = 1_024


class BufferedPatch(msgspec.Struct, frozen=True):
    """A patch that can't be applied yet, with its offset and time in the log."""

    offset: int
    at_ms: float
    record: PatchRecord


class MissedRecords:
    """The range of missed records, and the patches read since.

    Invariant: while records are missing, every patch from `_missed_until` on is
    buffered.
    """

    __slots__ = ("_buffered", "_missed_until")

    def __init__(self) -> None:
        self._missed_until: int | None = None
        self._buffered: deque[BufferedPatch] = deque()

    def has_missed_records(self) -> bool:
        """Return whether records are missing that no checkpoint has covered yet."""
        return self._missed_until is not None

    def is_covered_by(self, next_offset: int) -> bool:
        """Return whether a state up to an offset and the buffer leave no gap.

        If a record after the offset were missing, a patch could be lost, and this node
        would number versions differently.
        """
        return self._missed_until is None or next_offset >= self._missed_until

    def start(self, until: int) -> None:
        """Record that some records before an offset are missing."""
        self._missed_until = until
        self._buffered.clear()

    def end(self) -> None:
        """Record that no records are missing any more."""
        self._missed_until = None
        self._buffered.clear()

    def buffer_patch(self, patch: BufferedPatch) -> None:
        """Buffer a patch; if the buffer is full, the oldest one becomes missing."""
        self._buffered.append(patch)
        if len(self._buffered) > _MAX_BUFFERED:
            self._missed_until = self._buffered.popleft().offset + 1

    def take_buffered_from(self, next_offset: int) -> list[BufferedPatch]:
        """Return the buffered patches from an offset on, and end the gap."""
        buffered = [each for each in self._buffered if each.offset >= next_offset]
        self.end()
        return buffered
