"""Know since when the store has been answering, as far as any node has told.

A node's own failed call says nothing of the store: the node may be cut off. What all
nodes read together does. As long as any of them reads, the store is there, and whatever
leaves a list was taken away. If nobody could, entries may have lapsed for want of a
store to renew them in.
"""

from __future__ import annotations

from typing import Final

import msgspec

from toucanyard.seen_updates import SeenUpdates

RECENT_READS: Final = 16
"""Reads that are told apart from newer ones when they are told again; one comes each
0.4 s, so this spans several times the slowest way through a fleet."""
SAME_MS: Final = 50.0
"""Two accounts of one moment that differ by less differ by the ways they came."""
NEVER: Final = float("-inf")


class AnsweredRead(msgspec.Struct, frozen=True):
    """The store answered a read, and others without a break before it.

    Invariant: since_ms <= asked_ms.
    """

    read_id: int
    """Drawn at random by the node that read."""
    asked_ms: float
    """When that node asked, in the time of whoever holds this."""
    since_ms: float
    """Since when no break is known."""


class StoreOutage(msgspec.Struct, frozen=True):
    """The store answered nobody for a while. Invariant: before_ms < returned_ms."""

    before_ms: float
    """When the last read before was asked."""
    returned_ms: float
    """When the first read after it was asked."""


class StoreAvailability:
    """What is known of the store's answers about one topic.

    Invariants: `asked_ms` never moves on but by another read; a break that a peer's
    reads fill is none.
    """

    __slots__ = ("_before_ms", "_read_id", "_recent", "_since_ms", "asked_ms")

    def __init__(self) -> None:
        self.asked_ms = NEVER
        """When the newest read that was answered was asked."""
        self._read_id = 0
        self._recent = SeenUpdates(RECENT_READS)
        self._since_ms = NEVER
        self._before_ms = NEVER
        """When the last read before the break was asked; NEVER without a break."""

    def find_last_read(self) -> AnsweredRead | None:
        """Return what to tell peers; None before any answer."""
        if self.asked_ms == NEVER:
            return None
        return AnsweredRead(self._read_id, self.asked_ms, self._since_ms)

    def find_outage(self) -> StoreOutage | None:
        """Return when the store was last away for all nodes, if it was."""
        if self._before_ms == NEVER:
            return None
        return StoreOutage(self._before_ms, self._since_ms)

    def record_read(self, answered: AnsweredRead, away_ms: float) -> None:
        """Take in answers; the store was away if none came for `away_ms`."""
        self._extend_period(answered, away_ms)
        if answered.read_id == self._read_id:
            # The same read over another path: the shortest one tells best when it was.
            self.asked_ms = min(self.asked_ms, answered.asked_ms)
            return
        # Each hop drops its own latency from the reported age, so a relayed read looks
        # newer than it is. Accepting it would keep the list fresh on every node, and
        # nobody would poll the store.
        if answered.read_id in self._recent or answered.asked_ms <= self.asked_ms:
            return
        self._recent.add(answered.read_id)
        self._read_id = answered.read_id
        self.asked_ms = answered.asked_ms

    def _extend_period(self, answered: AnsweredRead, away_ms: float) -> None:
        if answered.since_ms > self.asked_ms + away_ms:
            self._before_ms = self.asked_ms
            self._since_ms = answered.since_ms
            return
        is_earlier = answered.since_ms < self._since_ms - SAME_MS
        if is_earlier and answered.asked_ms + away_ms >= self._since_ms:
            self._since_ms = answered.since_ms
            if self._since_ms <= self._before_ms + away_ms:
                self._before_ms = NEVER
