"""Emulate an engine with continuous batching, chunked prefill and weight loading.

Each step generates one token for every call in the decode phase and prefills a chunk of
the prompts at the head of the queue, so a long prompt slows down concurrent streams.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Callable
from typing import Final

import msgspec

from toucanyard.names import Address, EndpointName
from toucanyard.prompt_block_index import PromptBlock
from toucanyard.relay_events import ReplicaState, WeightsOrder
from toucanyard_emulator.prefill_ledger import PrefillLedger
from toucanyard_emulator.prompt_cache import PromptCache
from toucanyard_emulator.scenario import EngineSettings
from toucanyard_emulator.transfers import Link, plan_transfer
from toucanyard_standins.virtual_clock import VirtualClock

SOURCE_MISS_MS: Final = 1.0
"""Time to find out that a source does not hold a block."""
SOURCE_TIMEOUT_MS: Final = 300.0
LOAD_CONTENTION_SHARE: Final = 0.5
"""Relative slowdown of a load for each concurrent load beyond `loads_at_once`."""


class Availability(enum.StrEnum):
    """Whether a replica accepts and answers connections."""

    UP = "up"
    DOWN = "down"
    """Connections are refused."""
    SILENT = "silent"


class JobOutcome(enum.StrEnum):
    """The outcome of a job at its replica."""

    DONE = "done"
    REFUSED = "refused"
    OTHER_WEIGHTS = "other_weights"
    LOST = "lost"


class Job(msgspec.Struct, kw_only=True, eq=False):
    """One call at one replica; `on_first` and `on_end` notify the node that sent it."""

    rank: int
    scope: str
    blocks: tuple[PromptBlock, ...]
    output_tokens: int
    weights_version: int
    fetch_from: Address | None
    save_to: Address | None
    on_first: Callable[[Job], None]
    on_end: Callable[[Job, JobOutcome], None]
    submitted_ms: float = 0.0
    started_ms: float | None = None
    """Start of the prefill."""
    first_ms: float | None = None
    event_ms: float = 0.0
    worst_gap_ms: float = 0.0
    remaining_prefill_tokens: int = -1
    """Unknown until the prefill starts."""
    prefilled_tokens: int = 0
    """Prompt tokens that were not cached and had to be prefilled."""
    fetched_ms: float = 0.0
    """Time at which the blocks fetched for it are available."""
    generated_tokens: int = 0
    generated_on_other_weights: int = 0
    """Tokens that were generated after the engine had loaded other weights."""
    is_over: bool = False
    engine: Engine | None = None


class LoadCounter:
    """The number of weight loads in progress in a pool; they slow each other down."""

    __slots__ = ("count",)

    def __init__(self) -> None:
        self.count = 0


class Engine:
    """One incarnation of a replica that runs a model."""

    def __init__(
        self,
        name: EndpointName,
        domain: str,
        address: Address,
        settings: EngineSettings,
        clock: VirtualClock,
        ledger: PrefillLedger,
        loads: LoadCounter,
        find_cache: Callable[[Address], tuple[PromptCache, Link] | None],
        rng: random.Random,
        number: int = 0,
        seed: int = 0,
    ) -> None:
        self.name = name
        self.address = address
        self.settings = settings
        self.availability = Availability.UP
        self.slowdown = 1.0
        self.speed = settings.speeds[number % len(settings.speeds)]
        self._contention_name = f"{seed} contention {number}"
        self.unanswered_share = 0.0
        self.version = 1
        self.orders = 0
        self.is_loading = False
        self.cache = PromptCache(settings.memory_tokens)
        self.link = Link(settings.link_mbps, domain)
        self.loads = 0
        self._clock = clock
        self._ledger = ledger
        self._load_counter = loads
        self._find_cache = find_cache
        self._rng = rng
        self._waiting: list[Job] = []
        self._prefilling: list[Job] = []
        self._running: list[Job] = []
        self._is_stepping = False
        self._pending_version: int | None = None
        """Version of the weights that is being loaded or waits for calls to end."""

    def count_calls(self) -> int:
        """Return the number of calls, including waiting ones."""
        return len(self._waiting) + len(self._prefilling) + len(self._running)

    def submit(self, job: Job) -> None:
        """Queue a call or refuse it."""
        job.submitted_ms = self._clock.now_ms
        job.engine = self
        if self._rng.random() < self.unanswered_share:
            return
        if self.is_loading or self._pending_version is not None:
            self._finish(job, JobOutcome.REFUSED)
        elif job.weights_version != self.version:
            self._finish(job, JobOutcome.OTHER_WEIGHTS)
        elif self.count_calls() >= 4 * self.settings.slots:
            self._finish(job, JobOutcome.REFUSED)
        else:
            self._waiting.append(job)
            self._start()

    def cancel(self, job: Job) -> None:
        """Cancel a call whose result is no longer wanted."""
        if not job.is_over:
            job.is_over = True
            self._drop(job)

    def stop(self, availability: Availability) -> None:
        """Stop the engine; its calls are lost, or hang if it becomes silent."""
        jobs = self._waiting + self._prefilling + self._running
        self.availability = availability
        self._waiting, self._prefilling, self._running = [], [], []
        for job in jobs:
            if availability is Availability.DOWN:
                self._finish(job, JobOutcome.LOST)
            else:
                job.is_over = True

    def read_state(self) -> ReplicaState:
        """Return the state that the engine reports."""
        return ReplicaState(
            weights=(("m", self.version),),
            is_busy=self.is_loading or self._pending_version is not None,
            order_count=self.orders,
            running=len(self._running) + len(self._prefilling),
            waiting=len(self._waiting),
        )

    def compute_contention(self) -> float:
        """Return how much longer work takes now because of others on its machine."""
        contention = self.settings.contention
        if contention is None:
            return 1.0
        interval = int(self._clock.now_ms // contention.interval_ms)
        draw = random.Random(f"{self._contention_name} {interval}").random()
        return contention.factor if draw < contention.share else 1.0

    def apply_order(self, order: WeightsOrder) -> int:
        """Start to load weights, or reject the order; return the HTTP status."""
        if self.is_loading or self._pending_version is not None:
            return 409
        if order.expected_order_count != self.orders:
            return 409
        if order.version <= self.version:
            return 200
        self.orders += 1
        self.loads += 1
        self._pending_version = order.version
        for job in list(self._waiting):
            self._finish(job, JobOutcome.REFUSED)
        self._waiting.clear()
        if order.is_under_calls or not self.count_calls():
            self._load()
        return 202

    def _load(self) -> None:
        self.is_loading = True
        self._load_counter.count += 1
        excess = max(self._load_counter.count - self.settings.loads_at_once, 0)
        duration_ms = self.settings.load_ms * (1.0 + LOAD_CONTENTION_SHARE * excess)
        self._clock.call_after(duration_ms * self.slowdown, self._end_load)

    def _end_load(self) -> None:
        self._load_counter.count -= 1
        if self.availability is not Availability.UP or self._pending_version is None:
            return
        self.version, self._pending_version = self._pending_version, None
        self.is_loading = False
        self.cache.clear(self._clock.now_ms)

    def _start(self) -> None:
        if not self._is_stepping:
            self._is_stepping = True
            self._clock.call_after(0.0, self._step)

    def _step(self) -> None:
        """Start a step; its results are available at its end."""
        if self.availability is not Availability.UP:
            self._is_stepping = False
            return
        self._admit()
        if not self._prefilling and not self._running:
            self._is_stepping = False
            return
        settings, now_ms = self.settings, self._clock.now_ms
        prefills = [
            (job, tokens)
            for job, tokens in self._schedule_prefill(now_ms)
            if tokens > 0
        ]
        duration_ms = settings.step_ms + settings.step_ms_per_call * len(self._running)
        for job, tokens in prefills:
            before = (
                sum(block.tokens for block in job.blocks) - job.remaining_prefill_tokens
            )
            token_pairs = tokens * (before + tokens / 2)
            duration_ms += tokens / settings.tokens_per_ms
            duration_ms += token_pairs * settings.pairs_ms_per_m / 1e6
        decoding = list(self._running)
        duration_ms *= self.slowdown * self.compute_contention() / self.speed
        self._clock.call_after(duration_ms, lambda: self._end_step(prefills, decoding))

    def _admit(self) -> None:
        self._waiting.sort(key=lambda job: job.rank)
        while self._waiting:
            job = self._waiting[0]
            shared, own_tokens = job.blocks[:-1], _count_own_tokens(job)
            active = len(self._prefilling) + len(self._running)
            has_room = self.cache.has_room(job.scope, shared, own_tokens)
            if active >= self.settings.slots or (active and not has_room):
                return
            self._waiting.pop(0)
            self.cache.hold(job.scope, shared, own_tokens, self._clock.now_ms)
            self._prefilling.append(job)
            self._prefilling.sort(key=lambda each: each.rank)
            self._fetch(job)

    def _fetch(self, job: Job) -> None:
        """Fetch the cached prefix of a prompt from the source named by the node."""
        now_ms = self._clock.now_ms
        shared = job.blocks[:-1]
        local_tokens = self.cache.count_cached_prefix(job.scope, shared)
        self.cache.touch(job.scope, shared)
        job.fetched_ms = now_ms
        if job.fetch_from is None or job.fetch_from == self.address:
            return
        found = self._find_cache(job.fetch_from)
        if found is None:
            job.fetched_ms = now_ms + SOURCE_TIMEOUT_MS
            return
        cache, link = found
        source_tokens = cache.count_cached_prefix(job.scope, shared)
        if source_tokens <= local_tokens:
            job.fetched_ms = now_ms + SOURCE_MISS_MS
            return
        size_bytes = (source_tokens - local_tokens) * self.settings.bytes_per_token
        done_ms = plan_transfer(link, self.link, size_bytes, now_ms)
        if done_ms is None:
            return
        cache.touch(job.scope, shared)
        self._ledger.moved_bytes += size_bytes
        job.fetched_ms = done_ms
        fetched: list[PromptBlock] = []
        tokens = 0
        for block in shared:
            tokens += block.tokens
            if tokens > source_tokens:
                break
            fetched.append(block)
        self._clock.call_after(
            done_ms - now_ms, lambda: self._store_fetched(job, fetched)
        )

    def _store_fetched(self, job: Job, blocks: list[PromptBlock]) -> None:
        version = int(job.scope.split("/")[1])
        if self.availability is Availability.UP and version == self.version:
            self.cache.insert(job.scope, blocks, self._clock.now_ms)

    def _schedule_prefill(self, now_ms: float) -> list[tuple[Job, int]]:
        left = self.settings.chunk_tokens
        chosen = []
        for job in self._prefilling:
            if left <= 0:
                break
            if now_ms < job.fetched_ms:
                continue
            if job.started_ms is None:
                self._start_prefill(job, now_ms)
            tokens = min(left, max(job.remaining_prefill_tokens, 1))
            left -= tokens
            chosen.append((job, tokens))
        return chosen

    def _start_prefill(self, job: Job, now_ms: float) -> None:
        job.started_ms = now_ms
        cached_tokens = self.cache.count_cached_prefix(job.scope, job.blocks[:-1])
        job.remaining_prefill_tokens = (
            sum(block.tokens for block in job.blocks) - cached_tokens
        )
        job.prefilled_tokens = job.remaining_prefill_tokens
        self._ledger.record_prefill(job.scope, job.blocks[:-1], cached_tokens, now_ms)

    def _end_step(self, prefills: list[tuple[Job, int]], decoding: list[Job]) -> None:
        if self.availability is not Availability.UP:
            self._is_stepping = False
            return
        now_ms = self._clock.now_ms
        for job, tokens in prefills:
            job.remaining_prefill_tokens -= tokens
            if job.remaining_prefill_tokens <= 0 and not job.is_over:
                self._finish_prefill(job, now_ms)
        for job in decoding:
            if not job.is_over:
                self._generate_token(job, now_ms)
        if (
            self._pending_version is not None
            and not self.is_loading
            and not self.count_calls()
        ):
            self._load()
        self._step()

    def _finish_prefill(self, job: Job, now_ms: float) -> None:
        self._prefilling.remove(job)
        if job.weights_version == self.version:
            shared = job.blocks[:-1]
            self.cache.insert(job.scope, shared, now_ms)
            self._save(job, shared)
        self._running.append(job)
        self._generate_token(job, now_ms)

    def _save(self, job: Job, shared: tuple[PromptBlock, ...]) -> None:
        found = None if job.save_to is None else self._find_cache(job.save_to)
        if found is None:
            return
        cache, link = found
        tokens = sum(block.tokens for block in shared)
        new = tokens - cache.count_cached_prefix(job.scope, shared)
        size_bytes = new * self.settings.bytes_per_token
        now_ms = self._clock.now_ms
        done_ms = plan_transfer(self.link, link, size_bytes, now_ms)
        if done_ms is not None:
            self._ledger.moved_bytes += size_bytes
            self._clock.call_after(
                done_ms - now_ms, lambda: cache.insert(job.scope, shared, done_ms)
            )

    def _generate_token(self, job: Job, now_ms: float) -> None:
        job.generated_tokens += 1
        job.generated_on_other_weights += job.weights_version != self.version
        is_last = job.generated_tokens >= job.output_tokens
        if job.first_ms is None:
            job.first_ms = job.event_ms = now_ms + self.settings.first_ms
            self._clock.call_after(
                self.settings.first_ms, lambda: self._report_first_token(job)
            )
        elif (
            is_last or (job.generated_tokens - 1) % self.settings.tokens_per_event == 0
        ):
            gap_ms = now_ms - job.event_ms
            job.worst_gap_ms = max(job.worst_gap_ms, gap_ms)
            job.event_ms = max(job.event_ms, now_ms)
        if is_last:
            after_ms = max(job.event_ms - now_ms, 0.0)
            self._running.remove(job)
            self._release(job)
            self._clock.call_after(after_ms, lambda: self._report_end(job))

    def _report_first_token(self, job: Job) -> None:
        if not job.is_over and self.availability is Availability.UP:
            job.on_first(job)

    def _report_end(self, job: Job) -> None:
        if not job.is_over and self.availability is Availability.UP:
            job.is_over = True
            job.on_end(job, JobOutcome.DONE)

    def _release(self, job: Job) -> None:
        self.cache.release(job.scope, job.blocks[:-1], _count_own_tokens(job))

    def _drop(self, job: Job) -> None:
        if job in self._waiting:
            self._waiting.remove(job)
            return
        for jobs in (self._prefilling, self._running):
            if job in jobs:
                jobs.remove(job)
                self._release(job)

    def _finish(self, job: Job, end: JobOutcome) -> None:
        if not job.is_over:
            job.is_over = True
            job.on_end(job, end)


def _count_own_tokens(job: Job) -> int:
    """Return the number of tokens that a call holds besides shared blocks."""
    return job.blocks[-1].tokens + job.output_tokens
