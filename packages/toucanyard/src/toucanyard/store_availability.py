"""Track since when the store has been available, from the reads of all nodes.

A failed read of one node doesn't show that the store is unavailable, since the node
may be partitioned from it. The reads of all nodes together do: as long as any of them
succeeds, the store is available, and an entry that leaves a list was removed. During an
outage for all nodes, entries may have expired because they couldn't be renewed.
"""

from __future__ import annotations

from typing import Final

import msgspec

from toucanyard.seen_updates import SeenUpdates

RECENT_READS: Final = 16
"""Number of reads that are recognized when they are reported again. There is one read
each 0.4 s, so this covers several times the slowest path through a fleet."""
SAME_MS: Final = 50.0
"""Two reported times of one event that differ by less than this differ only by the
latency of the paths on which they were received."""
NEVER: Final = float("-inf")


class AnsweredRead(msgspec.Struct, frozen=True):
    """A read that the store answered, at the end of a period without an outage.

    Invariant: since_ms <= asked_ms.
    """

    read_id: int
    """A random number chosen by the node that read."""
    asked_ms: float
    """When that node sent the read, on the clock of the node that holds this value."""
    since_ms: float
    """Start of the period without a known outage."""


class StoreOutage(msgspec.Struct, frozen=True):
    """A period in which no node got an answer. Invariant: before_ms < returned_ms."""

    before_ms: float
    """When the last answered read before the outage was sent."""
    returned_ms: float
    """When the first answered read after the outage was sent."""


class StoreAvailability:
    """The availability of the store, by the answered reads of one topic.

    Invariants: only a new read increases `asked_ms`; a gap that is covered by a peer's
    reads is not an outage.
    """

    __slots__ = (
        "_before_ms",
        "_read_id",
        "_recent",
        "_restored",
        "_since_ms",
        "asked_ms",
    )

    def __init__(self) -> None:
        self.asked_ms = NEVER
        """When the newest answered read was sent."""
        self._read_id = 0
        self._recent = SeenUpdates(RECENT_READS)
        self._since_ms = NEVER
        self._before_ms = NEVER
        """When the last read before the outage was sent; NEVER without an outage."""
        self._restored: StoreOutage | None = None
        """The outage in which the store was restored from a copy."""

    def find_last_read(self) -> AnsweredRead | None:
        """Return the newest answered read, to report to peers, if there is any."""
        if self.asked_ms == NEVER:
            return None
        return AnsweredRead(self._read_id, self.asked_ms, self._since_ms)

    def find_outage(self) -> StoreOutage | None:
        """Return the last outage of the store for all nodes, if there was one."""
        restored = self._restored
        if self._before_ms == NEVER:
            return restored
        if restored is not None and restored.returned_ms > self._since_ms:
            return restored
        return StoreOutage(self._before_ms, self._since_ms)

    def record_restore(self, returned_ms: float) -> None:
        """Record that the store was restored from a copy, known since `returned_ms`.

        However short the outage was, entries of that time are missing in the copy.
        """
        if self.asked_ms == NEVER:
            return
        before_ms = min(self.asked_ms, returned_ms - SAME_MS)
        self._restored = StoreOutage(before_ms, returned_ms)

    def record_read(self, read: AnsweredRead, away_ms: float) -> None:
        """Record a read; a gap longer than `away_ms` before it was an outage."""
        self._extend_period(read, away_ms)
        if read.read_id == self._read_id:
            # The same read over another path; the shortest path is the most accurate.
            self.asked_ms = min(self.asked_ms, read.asked_ms)
            return
        # Each hop drops its own latency from the reported age, so a relayed read looks
        # newer than it is. Accepting it would keep the list fresh on every node, and
        # nobody would poll the store.
        if read.read_id in self._recent or read.asked_ms <= self.asked_ms:
            return
        self._recent.add(read.read_id)
        self._read_id = read.read_id
        self.asked_ms = read.asked_ms

    def _extend_period(self, read: AnsweredRead, away_ms: float) -> None:
        if read.since_ms > self.asked_ms + away_ms:
            self._before_ms = self.asked_ms
            self._since_ms = read.since_ms
            return
        is_earlier = read.since_ms < self._since_ms - SAME_MS
        if is_earlier and read.asked_ms + away_ms >= self._since_ms:
            self._since_ms = read.since_ms
            if self._since_ms <= self._before_ms + away_ms:
                self._before_ms = NEVER
