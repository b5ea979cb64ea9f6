"""Track the blocks that each engine is believed to hold in its prompt cache.

Blocks are identified by the hash chain of `toucanyard.prefix`, whose root covers
customer, model, adapter and weights version, so blocks of different identities never
match. Each view belongs to one engine incarnation; a new incarnation clears it. Events
may arrive late, repeated or with gaps. A gap makes the view doubtful until the next
dump.
"""

from __future__ import annotations

import enum
import math
from collections import deque
from collections.abc import Sequence
from itertools import islice
from typing import Final

import msgspec

from toucanyard.names import Incarnation

REORDER_WINDOW_MS: Final = 500.0
"""Time that a gap in the sequence may wait for late events before the view is
doubtful."""
MAX_PENDING_EVENTS: Final = 64
"""Events buffered behind a gap."""
NEVER_MS: Final = float("-inf")
TRIM_DIVISOR: Final = 16
"""A full view drops its capacity divided by this in one go."""
STORED_HALF_LIFE_MS: Final = 5_000.0
MAX_REPLACED: Final = 16
"""Replaced incarnations that are remembered. Messages of older ones no longer
arrive."""


class CacheEventKind(enum.StrEnum):
    """Whether blocks were stored or evicted."""

    STORED = "stored"
    EVICTED = "evicted"


class CacheEvent(msgspec.Struct, frozen=True):
    """One numbered change of an engine's cache."""

    seq: int
    kind: CacheEventKind
    hashes: tuple[int, ...]


class CacheEvents(msgspec.Struct, frozen=True):
    """Events of one engine; `oldest` is the lowest number that it still keeps."""

    incarnation: Incarnation
    oldest: int
    next: int
    events: tuple[CacheEvent, ...]


class CacheDump(msgspec.Struct, frozen=True):
    """All blocks of one engine as of event number `next`."""

    incarnation: Incarnation
    next: int
    hashes: tuple[int, ...]


class CacheView:
    """Blocks of an engine's current incarnation, at most `max_blocks` of them.

    When full, the least recently stored or used blocks are dropped, which is close to
    the eviction order of engines. Blocks of a replaced incarnation are never returned,
    in whichever order its events arrive.
    """

    __slots__ = (
        "_blocks",
        "_replaced",
        "_doubtful_ms",
        "_expected",
        "_gap_since_ms",
        "_pending",
        "_max_blocks",
        "_stored",
        "_stored_ms",
        "incarnation",
        "is_doubtful",
    )

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._blocks: dict[int, float] = {}
        self._replaced: deque[Incarnation] = deque(maxlen=MAX_REPLACED)
        self._pending: dict[int, CacheEvent] = {}
        self._expected: int | None = None
        self._gap_since_ms = 0.0
        self._doubtful_ms = float("-inf")
        self._stored = 0.0
        self._stored_ms = 0.0
        self.incarnation: Incarnation | None = None
        self.is_doubtful = True

    def __len__(self) -> int:
        """Return the number of known blocks."""
        return len(self._blocks)

    def resize(self, max_blocks: int) -> None:
        """Change the capacity."""
        is_less = max_blocks < len(self._blocks)
        self._max_blocks = max_blocks
        self._trim()
        if is_less:
            # A dict never shrinks when items are deleted; a copy releases the memory.
            self._blocks = self._blocks.copy()

    def record_incarnation(self, incarnation: Incarnation) -> bool:
        """Switch to an incarnation; return False if it has already been replaced."""
        if incarnation == self.incarnation:
            return True
        # A late message of a replaced incarnation must not restore its blocks: requests
        # would be sent for cached blocks that were lost with the process.
        if incarnation in self._replaced:
            return False
        if self.incarnation is not None:
            self._replaced.append(self.incarnation)
        self.incarnation = incarnation
        self._blocks.clear()
        self._pending.clear()
        self._expected = None
        self.is_doubtful = True
        self._doubtful_ms = float("-inf")
        return True

    def apply_events(self, events: CacheEvents, now_ms: float) -> None:
        """Apply events in sequence order, buffering those that arrive early."""
        if not self.record_incarnation(events.incarnation):
            return
        if self._expected is None:
            self._expected = events.oldest
        for event in events.events:
            if event.seq >= self._expected:
                self._pending.setdefault(event.seq, event)
        self._apply_pending(now_ms)
        self._check_gap(events, now_ms)

    def apply_dump(self, dump: CacheDump, now_ms: float) -> None:
        """Replace the view by a dump unless later events have already been applied."""
        if not self.record_incarnation(dump.incarnation):
            return
        if (
            self._expected is not None
            and dump.next < self._expected
            and not self.is_doubtful
        ):
            return
        self._blocks = dict.fromkeys(dump.hashes[-self._max_blocks :], now_ms)
        self._expected = dump.next
        self._pending = {
            seq: pending for seq, pending in self._pending.items() if seq >= dump.next
        }
        self.is_doubtful = False
        self._gap_since_ms = 0.0
        self._apply_pending(now_ms)

    def touch(self, hashes: Sequence[int], now_ms: float) -> None:
        """Record that the engine has just used these blocks and so holds them."""
        blocks = self._blocks
        # Deepest blocks are inserted first, so that the shared front of a chain is
        # evicted last. Blocks beyond the capacity aren't inserted at all: a dict keeps
        # its largest size, and thousands of small views would take several times their
        # limit.
        for each in reversed(hashes[: self._max_blocks]):
            blocks.pop(each, None)
            blocks[each] = now_ms
        self._trim()

    def forget(self, hashes: Sequence[int]) -> None:
        """Record that the engine does not hold these blocks."""
        for each in hashes:
            self._blocks.pop(each, None)

    def count_warm(self, chain: Sequence[int]) -> int:
        """Return how many leading blocks of a chain the engine is believed to hold."""
        return self._count_since(chain, float("-inf"))

    def compute_believed(
        self, chain: Sequence[int], warm: int, doubtful_trust: float
    ) -> float:
        """Return how many of the `warm` blocks to count on.

        In a doubtful view a block counts only in part unless it was stored or used
        after the view became doubtful, so that a burst still follows its first request.
        """
        if not self.is_doubtful or not warm:
            return warm
        sure = self._count_since(chain[:warm], self._doubtful_ms)
        return sure + (warm - sure) * doubtful_trust

    def compute_stored_per_s(self, now_ms: float) -> float:
        """Return the rate at which the engine stores new blocks, per second."""
        return self._decay_stored(now_ms) * math.log(2) * 1_000 / STORED_HALF_LIFE_MS

    def check_gap(self, now_ms: float) -> None:
        """Mark the view doubtful if a gap has outlasted the reordering window."""
        if self._gap_since_ms and now_ms - self._gap_since_ms > REORDER_WINDOW_MS:
            self._skip_gap(now_ms)

    def _check_gap(self, events: CacheEvents, now_ms: float) -> None:
        expected = self._expected
        assert expected is not None
        is_behind = events.next > expected or bool(self._pending)
        if not is_behind:
            self._gap_since_ms = 0.0
            return
        if not self._gap_since_ms:
            self._gap_since_ms = now_ms
        is_lost = events.oldest > expected or len(self._pending) > MAX_PENDING_EVENTS
        if is_lost or now_ms - self._gap_since_ms > REORDER_WINDOW_MS:
            self._skip_gap(now_ms)

    def _skip_gap(self, now_ms: float) -> None:
        self.is_doubtful = True
        self._doubtful_ms = now_ms
        self._gap_since_ms = 0.0
        for seq in sorted(self._pending):
            self._apply(self._pending.pop(seq), 0.0)
            self._expected = seq + 1

    def _apply_pending(self, now_ms: float) -> None:
        assert self._expected is not None
        while (event := self._pending.pop(self._expected, None)) is not None:
            self._apply(event, now_ms)
            self._expected += 1

    def _apply(self, event: CacheEvent, now_ms: float) -> None:
        match event.kind:
            case CacheEventKind.STORED:
                self.touch(event.hashes, now_ms)
                self._stored = self._decay_stored(now_ms) + len(event.hashes)
                self._stored_ms = max(now_ms, self._stored_ms)
            case CacheEventKind.EVICTED:
                self.forget(event.hashes)

    def _count_since(self, chain: Sequence[int], since_ms: float) -> int:
        blocks = self._blocks
        low, high = 0, len(chain)
        # Engines store a chain from its front and evict it from its back, so the cached
        # part is a prefix and binary search finds its end.
        while low < high:
            middle = (low + high + 1) // 2
            if blocks.get(chain[middle - 1], NEVER_MS) > since_ms:
                low = middle
            else:
                high = middle - 1
        return low

    def _decay_stored(self, now_ms: float) -> float:
        age_ms = max(now_ms - self._stored_ms, 0.0)
        return float(self._stored * 0.5 ** (age_ms / STORED_HALF_LIFE_MS))

    def _trim(self) -> None:
        blocks = self._blocks
        excess = len(blocks) - self._max_blocks
        if excess <= 0:
            return
        # Drop many blocks at a time: finding the first key of a dict skips all entries
        # deleted before it, so dropping one by one would be quadratic.
        for each in list(islice(blocks, excess + self._max_blocks // TRIM_DIVISOR)):
            del blocks[each]
