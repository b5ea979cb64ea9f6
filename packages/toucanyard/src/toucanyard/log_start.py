"""Find the offset at which a starting node begins to read the log.

Claims and leases are relevant for one window only, and a checkpoint replaces older
patches, so a node need not read the whole log, which may hold an hour of records. It
reads the records of a limited time span, whose start is found by binary search.
"""

from __future__ import annotations

from typing import Final

from toucanyard.options import ClaimLimits, ConfigurationTimings
from toucanyard.platform_log import LogRecord

_WINDOWS: Final = 2.0
"""Claims are retained for 1.25 windows. The margin tolerates a forward jump of the
log's clock: records then look older than they are, and a skipped claim would let its
key run again."""
_CHECKPOINT_INTERVALS: Final = 1.5
"""A checkpoint is appended after 1.25 intervals at the latest, and covers the records
up to shortly before its own offset."""
_MAX_REMAINING: Final = 1_000
"""The search ends when no more records than this, one page, are between the bounds."""


def compute_span_ms(claims: ClaimLimits, timings: ConfigurationTimings) -> float:
    """Return how far back a starting node reads."""
    return max(
        _WINDOWS * claims.window_ms,
        _CHECKPOINT_INTERVALS * timings.checkpoint_after_ms,
    )


class StartSearch:
    """Binary search for the latest offset that is old enough to start at.

    Invariant: `start` is the oldest retained record, or one that the log accepted more
    than the span before its newest. So every younger record comes after it, even if
    the log's clock went backwards.
    """

    __slots__ = ("_cutoff_ms", "_high", "start")

    def __init__(self, oldest: int, newest: LogRecord, span_ms: float) -> None:
        self._cutoff_ms = newest.at_ms - span_ms
        self._high = newest.offset
        self.start = oldest

    def find_probe(self) -> int | None:
        """Return the offset of the record to read next; None if the search is done."""
        if self._high - self.start <= _MAX_REMAINING:
            return None
        return (self.start + self._high) // 2

    def apply_probe(self, probe: int, at_ms: float | None) -> None:
        """Apply the time of the record at a probe; None if there is no record."""
        if at_ms is not None and at_ms < self._cutoff_ms:
            self.start = probe
        else:
            self._high = probe

    def raise_oldest(self, oldest: int) -> None:
        """Raise the lower bound after the log has expired records."""
        self.start = max(self.start, oldest)
