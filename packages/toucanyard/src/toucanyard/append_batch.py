"""Batch the log records of one node, at a limited rate of appends.

The log service accepts several hundred appends a second from all nodes together, so
the claims of a node share appends: the first record of a batch waits `gather_ms` for
others, and longer while the node has used up its rate.
"""

from __future__ import annotations

from typing import Final

import msgspec

from toucanyard.core_events import AppendToLog
from toucanyard.options import ClaimLimits

_MAX_RECORDS: Final = 500
_MAX_BYTES: Final = 400_000
_IDLE_GATHER_MS: Final = 250
"""Batching delay of records that no caller waits for."""


class AppendBatch(msgspec.Struct, frozen=True):
    """The records of one append."""

    record_ids: tuple[str, ...]
    texts: tuple[str, ...]


class AppendBatcher:
    """Records waiting to be appended.

    Invariants: at most one batch is due each `1000 / max_appends_per_s` ms; records
    are appended in the order in which they were added.
    """

    __slots__ = (
        "_due_ms",
        "_interval_ms",
        "_gather_ms",
        "_next_allowed_ms",
        "_waiting",
    )

    def __init__(self, limits: ClaimLimits) -> None:
        self._gather_ms = limits.gather_ms
        self._interval_ms = 1_000 / limits.max_appends_per_s
        self._waiting: list[AppendToLog] = []
        self._due_ms = float("inf")
        self._next_allowed_ms = float("-inf")

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, record: AppendToLog, now_ms: float) -> None:
        """Queue a record for the next append."""
        gather_ms = self._gather_ms if record.is_urgent else _IDLE_GATHER_MS
        self._waiting.append(record)
        self._due_ms = min(self._due_ms, now_ms + gather_ms)

    def find_due_ms(self) -> float:
        """Return when the next batch is due; infinity if the queue is empty."""
        return max(self._due_ms, self._next_allowed_ms)

    def pop_due(self, now_ms: float) -> AppendBatch | None:
        """Remove and return the batch that is due, if any."""
        if not self._waiting or now_ms < self.find_due_ms():
            return None
        count = self._count_fitting()
        taken, self._waiting = self._waiting[:count], self._waiting[count:]
        self._next_allowed_ms = now_ms + self._interval_ms
        self._due_ms = now_ms if self._waiting else float("inf")
        return AppendBatch(
            tuple(each.record_id for each in taken),
            tuple(each.text for each in taken),
        )

    def _count_fitting(self) -> int:
        size_bytes = 0
        for count, record in enumerate(self._waiting[:_MAX_RECORDS]):
            size_bytes += len(record.text)
            if size_bytes > _MAX_BYTES and count > 0:
                return count
        return min(len(self._waiting), _MAX_RECORDS)
