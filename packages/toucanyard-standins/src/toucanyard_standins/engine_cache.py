"""Cache prefix blocks up to a capacity and publish stored and evicted ones."""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Iterable
from typing import Final, Literal

import msgspec

_KEPT_EVENTS: Final = 4_096


class CacheChange(msgspec.Struct, frozen=True):
    """Blocks that were stored, and those evicted to make room."""

    stored: tuple[int, ...]
    evicted: tuple[int, ...]


class PrefixCache:
    """An LRU cache of blocks, which are identified by their chain hashes.

    Invariant: the cache holds at most `capacity_blocks` blocks.
    """

    __slots__ = ("_blocks", "capacity_blocks")

    def __init__(self, capacity_blocks: int) -> None:
        self.capacity_blocks = capacity_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._blocks)

    def find_hashes(self) -> tuple[int, ...]:
        """Return the hashes of all blocks, least recently used first."""
        return tuple(self._blocks)

    def count_matched(self, chain: tuple[int, ...]) -> int:
        """Return how many leading blocks of a chain are cached."""
        for count, block in enumerate(chain):
            if block not in self._blocks:
                return count
        return len(chain)

    def touch(self, chain: tuple[int, ...]) -> None:
        """Mark blocks as recently used, parents last, so that they outlive children."""
        for block in reversed(chain):
            if block in self._blocks:
                self._blocks.move_to_end(block)

    def store(self, blocks: tuple[int, ...]) -> CacheChange:
        """Add computed blocks and evict others beyond the capacity."""
        stored = tuple(block for block in blocks if block not in self._blocks)
        for block in stored:
            self._blocks[block] = None
        self.touch(blocks)
        evicted: list[int] = []
        while len(self._blocks) > self.capacity_blocks:
            block, _ = self._blocks.popitem(last=False)
            evicted.append(block)
        return CacheChange(stored, tuple(evicted))

    def clear(self) -> CacheChange:
        """Evict all blocks."""
        evicted = self.find_hashes()
        self._blocks.clear()
        return CacheChange((), evicted)


class CacheEvent(msgspec.Struct, frozen=True):
    """One numbered event; hashes are 16 hexadecimal digits."""

    seq: int
    kind: Literal["stored", "evicted"]
    hashes: tuple[str, ...]


class _Published(msgspec.Struct, frozen=True):
    """An event, the time at which readers see it, and whether it is lost."""

    event: CacheEvent
    visible_ms: float
    is_lost: bool


class CacheEventLog:
    """A log of numbered events that become visible late and are partly lost.

    Invariant: a lost event uses up a number, so that readers can detect the gap.
    """

    __slots__ = ("_next", "_published", "_random", "delay_ms", "lost_share")

    def __init__(
        self, delay_ms: float, lost_share: float, random_source: random.Random
    ) -> None:
        self.delay_ms = delay_ms
        self.lost_share = lost_share
        self._random = random_source
        self._next = 0
        self._published: deque[_Published] = deque(maxlen=_KEPT_EVENTS)

    def publish(self, change: CacheChange, now_ms: float) -> None:
        """Add the events of one change."""
        self._append("stored", change.stored, now_ms)
        self._append("evicted", change.evicted, now_ms)

    def _append(
        self, kind: Literal["stored", "evicted"], blocks: Iterable[int], now_ms: float
    ) -> None:
        hashes = tuple(f"{block:016x}" for block in blocks)
        if not hashes:
            return
        event = CacheEvent(self._next, kind, hashes)
        is_lost = self._random.random() < self.lost_share
        self._published.append(_Published(event, now_ms + self.delay_ms, is_lost))
        self._next += 1

    def find_oldest(self) -> int:
        """Return the lowest retained number."""
        return self._published[0].event.seq if self._published else self._next

    def find_last(self) -> int:
        """Return the number of the last event, visible or not; -1 before the first."""
        return self._next - 1

    def find_next(self, now_ms: float) -> int:
        """Return the number after the last visible event."""
        for published in reversed(self._published):
            if published.visible_ms <= now_ms:
                return published.event.seq + 1
        return self.find_oldest()

    def find_after(self, seq: int, now_ms: float) -> tuple[CacheEvent, ...]:
        """Return the visible events after a number, without lost ones."""
        return tuple(
            published.event
            for published in self._published
            if published.event.seq > seq
            and published.visible_ms <= now_ms
            and not published.is_lost
        )
