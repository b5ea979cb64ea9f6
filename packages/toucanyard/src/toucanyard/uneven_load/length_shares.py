"""Decide which share of a service's replicas short prompts prefer.

Answers the load in which one kind of prompt surges, or is most of the work all day: a
fixed share then leaves one group of replicas idle while the other is full. Each group
gets replicas for the work that its prompts have been lately in the whole fleet: time to
read them, or time for which they occupied slots, whichever needs more replicas.
"""

from __future__ import annotations

from typing import Final

import msgspec

from toucanyard.candidates import SHORT_SHARE

HALF_LIFE_MS: Final = 5_000.0
"""Half-life of a call's work: a surge lasts several seconds."""
MIN_CALLS: Final = 30.0
"""Calls that have to have ended lately before the share departs from the default."""
MIN_SHARE: Final = 0.15
MAX_SHARE: Final = 0.5
STEP: Final = 0.05
"""Granularity of the share, so that nodes that know of different calls agree."""
HEADROOM: Final = 1.5
"""Replicas of short prompts per replica that their work needs: their streams last
longest, so each interruption by another prompt delays more events."""


class GroupWork(msgspec.Struct):
    """Work of the prompts of one length group."""

    calls: float = 0.0
    read_ms: float = 0.0
    """Time that replicas take to read them."""
    slot_ms: float = 0.0
    """Time for which they occupied a slot."""

    def add(self, other: GroupWork) -> None:
        """Add other work."""
        self.calls += other.calls
        self.read_ms += other.read_ms
        self.slot_ms += other.slot_ms

    def decay(self, kept: float) -> None:
        """Reduce the work to a share of it."""
        self.calls *= kept
        self.read_ms *= kept
        self.slot_ms *= kept

    def compute_needed(self, slots: int) -> float:
        """Return the time of whole replicas that the work takes, in ms."""
        return max(self.read_ms, self.slot_ms / max(slots, 1))


class LengthShares:
    """The share of one service's replicas for short prompts."""

    __slots__ = ("_decayed_ms", "_long", "_short", "share")

    def __init__(self) -> None:
        self._short = GroupWork()
        self._long = GroupWork()
        self._decayed_ms = 0.0
        self.share = SHORT_SHARE

    def record(
        self, work: GroupWork, slots: int, now_ms: float, *, is_short: bool
    ) -> None:
        """Count work that has ended and update the share."""
        kept = 0.5 ** (max(now_ms - self._decayed_ms, 0.0) / HALF_LIFE_MS)
        self._decayed_ms = now_ms
        self._short.decay(kept)
        self._long.decay(kept)
        (self._short if is_short else self._long).add(work)
        if self._short.calls + self._long.calls >= MIN_CALLS:
            self.share = self._compute_share(slots)

    def _compute_share(self, slots: int) -> float:
        short = self._short.compute_needed(slots) * HEADROOM
        needed = short + self._long.compute_needed(slots)
        if needed <= 0.0:
            return self.share
        wanted = min(max(short / needed, MIN_SHARE), MAX_SHARE)
        if abs(wanted - self.share) <= STEP:
            return self.share
        return round(wanted / STEP) * STEP
