"""Simulate a model engine in virtual time: a prompt cache, a queue and slots.

Prefill runs one request at a time in order of priority; decoding occupies a slot.
Blocks are evicted in LRU order. Only properties visible to placement are modelled.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Final

import msgspec

from toucanyard.cache_view import CacheDump, CacheEvent, CacheEventKind
from toucanyard.load_view import LoadReport
from toucanyard.names import EndpointName, Incarnation
from toucanyard.requests import DispatchEnding
from toucanyard_standins.virtual_clock import VirtualClock

SNAPSHOT_MS: Final = 100.0
KEPT_SNAPSHOTS: Final = 80
KEPT_EVENTS: Final = 4_000


class EngineShape(msgspec.Struct, frozen=True):
    """Sizes and speeds of one engine."""

    slots: int
    capacity_blocks: int
    prefill_ms_per_block: float
    token_ms: float


class Job(msgspec.Struct):
    """One dispatched request, with callbacks for its first token and its end."""

    chain: tuple[int, ...]
    tokens: int
    rank: int
    on_first_token: Callable[[Job], None]
    on_end: Callable[[Job, DispatchEnding], None]
    warm_blocks: int = 0
    is_over: bool = False


class TimedEvent(msgspec.Struct, frozen=True):
    """A cache event and its time."""

    at_ms: float
    event: CacheEvent


class FakeEngine:
    """One engine; `computed` is the set of blocks computed by all engines of a run."""

    def __init__(
        self,
        name: EndpointName,
        shape: EngineShape,
        clock: VirtualClock,
        computed: set[int],
    ) -> None:
        self.name = name
        self.shape = shape
        self.clock = clock
        self.slowdown = 1.0
        self.is_up = True
        self.is_loading = False
        self.weights_version = "w1"
        self.restarts = 0
        self.recomputed_blocks = 0
        self._computed = computed
        self._reset()
        self.snapshots: deque[tuple[float, LoadReport]] = deque(maxlen=KEPT_SNAPSHOTS)
        self._take_snapshot()

    def _reset(self) -> None:
        self.incarnation = Incarnation(f"{self.name}-{self.restarts}")
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.events: deque[TimedEvent] = deque(maxlen=KEPT_EVENTS)
        self.next_seq = 1
        self.waiting: list[tuple[int, int, Job]] = []
        self.running: dict[int, Job] = {}
        self.ends_ms: dict[int, float] = {}
        self.prefill: Job | None = None
        self.prefill_ends_ms = 0.0
        self._submitted = 0

    def submit(self, job: Job) -> None:
        """Queue one request, or refuse it while down."""
        if not self.is_up:
            job.is_over = True
            job.on_end(job, DispatchEnding.NOT_SENT)
            return
        self._submitted += 1
        heapq.heappush(self.waiting, (job.rank, self._submitted, job))
        self._start_next()

    def stop(self, ending: DispatchEnding = DispatchEnding.LOST) -> None:
        """Lose all state; waiting and running requests end with `ending`."""
        jobs = [job for _, _, job in self.waiting] + list(self.running.values())
        self.is_up = False
        self.restarts += 1
        self._reset()
        for job in jobs:
            job.is_over = True
            job.on_end(job, ending)

    def start(self, weights_version: str | None = None) -> None:
        """Restart with an empty cache."""
        self.is_up = True
        self.is_loading = False
        self.weights_version = weights_version or self.weights_version

    def count_warm(self, chain: tuple[int, ...]) -> int:
        """Return how many leading blocks are cached."""
        for depth, block in enumerate(chain):
            if block not in self.cache:
                return depth
        return len(chain)

    def compute_queued_blocks(self) -> int:
        """Return the number of distinct blocks that wait to be computed."""
        missing: set[int] = set()
        for _, _, job in self.waiting:
            missing.update(job.chain[self.count_warm(job.chain) :])
        if self.prefill is not None:
            missing.difference_update(self.prefill.chain)
        left_ms = max(self.prefill_ends_ms - self.clock.now_ms, 0.0)
        return len(missing) + int(left_ms / self.shape.prefill_ms_per_block)

    def make_dump(self) -> CacheDump:
        """Return the whole cache, least recently used first."""
        return CacheDump(self.incarnation, self.next_seq, tuple(self.cache))

    def find_report(self, lag_ms: float) -> LoadReport:
        """Return the load report of `lag_ms` ago."""
        wanted_ms = self.clock.now_ms - lag_ms
        found = self.snapshots[0]
        for snapshot in self.snapshots:
            if snapshot[0] > wanted_ms:
                break
            found = snapshot
        age_ms = self.clock.now_ms - found[0]
        return msgspec.structs.replace(found[1], age_ms=age_ms)

    def _take_snapshot(self) -> None:
        report = LoadReport(
            self.incarnation,
            len(self.running),
            0.0,
            len(self.waiting),
            self.compute_queued_blocks(),
            len(self.cache),
            self.shape.capacity_blocks,
            weights_version=self.weights_version,
        )
        self.snapshots.append((self.clock.now_ms, report))
        self.clock.call_after(SNAPSHOT_MS, self._take_snapshot)

    def _start_next(self) -> None:
        is_full = len(self.running) >= self.shape.slots
        if self.prefill is not None or is_full or not self.waiting:
            return
        _, order, job = heapq.heappop(self.waiting)
        job.warm_blocks = self.count_warm(job.chain)
        for block in reversed(job.chain[: job.warm_blocks]):
            self.cache.move_to_end(block)
        missing = job.chain[job.warm_blocks :]
        self.recomputed_blocks += sum(block in self._computed for block in missing)
        self._computed.update(missing)
        self.prefill = job
        self.running[order] = job
        took_ms = (len(missing) + 1) * self.shape.prefill_ms_per_block * self.slowdown
        self.prefill_ends_ms = self.clock.now_ms + took_ms
        token_ms = self.shape.token_ms * self.slowdown
        self.ends_ms[order] = self.prefill_ends_ms + job.tokens * token_ms
        self.clock.call_after(took_ms, lambda: self._complete_prefill(order, job))

    def _complete_prefill(self, order: int, job: Job) -> None:
        if job.is_over:
            return
        self.prefill = None
        self._store(job.chain)
        job.on_first_token(job)
        left_ms = self.ends_ms[order] - self.clock.now_ms
        self.clock.call_after(left_ms, lambda: self._complete(order, job))
        self._start_next()

    def _complete(self, order: int, job: Job) -> None:
        if job.is_over:
            return
        job.is_over = True
        del self.running[order]
        del self.ends_ms[order]
        job.on_end(job, DispatchEnding.COMPLETED)
        self._start_next()

    def _store(self, chain: tuple[int, ...]) -> None:
        stored = tuple(block for block in chain if block not in self.cache)
        for block in reversed(chain):
            self.cache[block] = None
            self.cache.move_to_end(block)
        evicted: list[int] = []
        while len(self.cache) > self.shape.capacity_blocks:
            evicted.append(self.cache.popitem(last=False)[0])
        self._publish(CacheEventKind.STORED, stored)
        self._publish(CacheEventKind.EVICTED, tuple(evicted))

    def _publish(self, kind: CacheEventKind, hashes: tuple[int, ...]) -> None:
        if not hashes:
            return
        event = CacheEvent(self.next_seq, kind, hashes)
        self.events.append(TimedEvent(self.clock.now_ms, event))
        self.next_seq += 1
