"""Keep patches back while records before them were not seen."""

from __future__ import annotations

from collections import deque
from typing import Final

import msgspec

from toucanyard.configuration_records import PatchRecord

_MAX_BUFFERED: Final = 1_024


class BufferedPatch(msgspec.Struct, frozen=True):
    """A patch that can't be judged yet, and where and when it stands in the log."""

    offset: int
    at_ms: float
    record: PatchRecord


class MissedRecords:
    """Which records were missed, and the patches read since.

    Invariant: while records are missing, every patch from `_until` on is kept back.
    """

    __slots__ = ("_buffered", "_missed_until")

    def __init__(self) -> None:
        self._missed_until: int | None = None
        self._buffered: deque[BufferedPatch] = deque()

    def has_missed_records(self) -> bool:
        """Return whether records were missed that nothing has covered yet."""
        return self._missed_until is not None

    def is_covered_by(self, next_offset: int) -> bool:
        """Return whether a state up to an offset and what was kept leave no gap.

        Every record from there on must have been seen, or a patch between would be
        lost and this node would number versions differently.
        """
        return self._missed_until is None or next_offset >= self._missed_until

    def start(self, until: int) -> None:
        """Take in that some records before an offset were not seen."""
        self._missed_until = until
        self._buffered.clear()

    def end(self) -> None:
        """Take in that nothing is missing any more."""
        self._missed_until = None
        self._buffered.clear()

    def buffer_patch(self, patch: BufferedPatch) -> None:
        """Keep a patch; without room the oldest one is missing as well."""
        self._buffered.append(patch)
        if len(self._buffered) > _MAX_BUFFERED:
            self._missed_until = self._buffered.popleft().offset + 1

    def take_buffered_from(self, next_offset: int) -> list[BufferedPatch]:
        """Return the patches from an offset on; nothing is missing any more."""
        buffered = [each for each in self._buffered if each.offset >= next_offset]
        self.end()
        return buffered
