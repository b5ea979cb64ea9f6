"""Keep patches back while records before them were not seen."""

from __future__ import annotations

from collections import deque
from typing import Final

import msgspec

from toucanyard.configuration_records import PatchRecord

_MAX_KEPT: Final = 1_024


class KeptBack(msgspec.Struct, frozen=True):
    """A patch that can't be judged yet, and where and when it stands in the log."""

    offset: int
    at_ms: float
    record: PatchRecord


class MissedRecords:
    """Which records were missed, and the patches read since.

    Invariant: while records are missing, every patch from `_until` on is kept back.
    """

    __slots__ = ("_kept", "_until")

    def __init__(self) -> None:
        self._until: int | None = None
        self._kept: deque[KeptBack] = deque()

    def is_any(self) -> bool:
        """Tell whether records were missed that nothing has covered yet."""
        return self._until is not None

    def is_covered_by(self, next_offset: int) -> bool:
        """Tell whether a state up to an offset and what was kept leave no gap.

        Every record from there on must have been seen, or a patch between would be
        lost and this node would number versions differently.
        """
        return self._until is None or next_offset >= self._until

    def start(self, until: int) -> None:
        """Take in that some records before an offset were not seen."""
        self._until = until
        self._kept.clear()

    def end(self) -> None:
        """Take in that nothing is missing any more."""
        self._until = None
        self._kept.clear()

    def keep_back(self, patch: KeptBack) -> None:
        """Keep a patch; without room the oldest one is missing as well."""
        self._kept.append(patch)
        if len(self._kept) > _MAX_KEPT:
            self._until = self._kept.popleft().offset + 1

    def take_from(self, next_offset: int) -> list[KeptBack]:
        """Return the patches from an offset on; nothing is missing any more."""
        kept = [each for each in self._kept if each.offset >= next_offset]
        self.end()
        return kept
