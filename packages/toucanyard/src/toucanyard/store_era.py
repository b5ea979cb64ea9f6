"""Track the era of the platform's store: how often a copy has replaced it."""

from __future__ import annotations

from toucanyard.log_entries import LogEntry


class StoreEra:
    """The highest era that this node knows of. Invariant: it never decreases."""

    __slots__ = ("era", "since_ms")

    def __init__(self) -> None:
        self.era = 0
        self.since_ms = float("-inf")
        """When this node learned of the era."""

    def record(self, era: int, source: str, now_ms: float) -> list[LogEntry]:
        """Record an era that the store or a peer has stated; return what to log."""
        if era <= self.era:
            return []
        before, self.era = self.era, era
        self.since_ms = now_ms
        fields: dict[str, object] = {"era": era, "before": before, "source": source}
        return [LogEntry("store_era_changed", fields)]
