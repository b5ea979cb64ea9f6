"""Find where a starting node begins to read the log: not at an hour's first record.

Claims and leases matter for a window only, and a checkpoint stands in for older
patches. So a node reads what the log took within a span, found by halving offsets.
"""

from __future__ import annotations

from typing import Final

from toucanyard.options import ClaimLimits, ConfigurationTimings
from toucanyard.platform_log import LogRecord

_WINDOWS: Final = 2.0
"""Claims are remembered for 1.25 windows. The rest is for a clock of the log that
jumped ahead: records then look older than they are, and a claim passed over for it
would let its key run again."""
_CHECKPOINT_INTERVALS: Final = 1.5
"""A checkpoint comes after 1.25 intervals at the latest; it covers up to a moment
before its own place."""
_MAX_REMAINING: Final = 1_000
"""Records between the bounds at which the search ends: one page."""


def compute_span_ms(claims: ClaimLimits, timings: ConfigurationTimings) -> float:
    """Return how far back a starting node reads."""
    return max(
        _WINDOWS * claims.window_ms,
        _CHECKPOINT_INTERVALS * timings.checkpoint_after_ms,
    )


class StartSearch:
    """Halve the offsets between one that is old enough to start at and one that isn't.

    Invariant: `start` is the oldest record kept, or one that the log took more than
    the span before its newest; so every younger record stands behind it, also where
    the log's clock went back.
    """

    __slots__ = ("_cutoff_ms", "_high", "start")

    def __init__(self, oldest: int, newest: LogRecord, span_ms: float) -> None:
        self._cutoff_ms = newest.at_ms - span_ms
        self._high = newest.offset
        self.start = oldest

    def find_probe(self) -> int | None:
        """Return the offset of the record to look at next; None at the end."""
        if self._high - self.start <= _MAX_REMAINING:
            return None
        return (self.start + self._high) // 2

    def apply_probe(self, probe: int, at_ms: float | None) -> None:
        """Take in when the log took the record at a probe; None where it has none."""
        if at_ms is not None and at_ms < self._cutoff_ms:
            self.start = probe
        else:
            self._high = probe

    def raise_oldest(self, oldest: int) -> None:
        """Take in that the log dropped records meanwhile."""
        self.start = max(self.start, oldest)
