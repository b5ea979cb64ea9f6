"""Emulate one engine: batched steps, prompts read in pieces, memory, loads of weights.

Each step makes one token of every call that has been read and reads a piece of the
prompt that goes first; so a long prompt slows the streams that run beside it.
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
from toucanyard_emulator.prompt_memory import PromptMemory
from toucanyard_emulator.read_ledger import ReadLedger
from toucanyard_emulator.scenario import EngineShape
from toucanyard_emulator.transfers import Link, plan_transfer
from toucanyard_standins.virtual_clock import VirtualClock

MISS_MS: Final = 1.0
"""Time that it takes to find that a source doesn't have a part."""
DEAD_SOURCE_MS: Final = 300.0
SLOW_LOAD_SHARE: Final = 0.5
"""How much longer a load takes for each one beyond those that go well together."""


class Presence(enum.StrEnum):
    """Whether a replica is there."""

    UP = "up"
    DOWN = "down"
    """Connections are refused."""
    SILENT = "silent"


class JobEnd(enum.StrEnum):
    """How a job ended at its replica."""

    DONE = "done"
    REFUSED = "refused"
    OTHER_WEIGHTS = "other_weights"
    LOST = "lost"


class Job(msgspec.Struct, kw_only=True, eq=False):
    """One call at one replica; `on_first` and `on_end` tell the node that sent it."""

    rank: int
    scope: str
    parts: tuple[PromptBlock, ...]
    output_tokens: int
    weights_version: int
    fetch_from: Address | None
    save_to: Address | None
    on_first: Callable[[Job], None]
    on_end: Callable[[Job, JobEnd], None]
    submitted_ms: float = 0.0
    begun_ms: float | None = None
    """When its prompt began to be read."""
    first_ms: float | None = None
    event_ms: float = 0.0
    worst_gap_ms: float = 0.0
    unread_tokens: int = -1
    """Not known until its reading begins."""
    read_tokens: int = 0
    """Prompt tokens that were read for it."""
    ready_ms: float = 0.0
    """When what is fetched for it is there."""
    made: int = 0
    made_on_other: int = 0
    """Tokens made after the weights had changed under it."""
    is_over: bool = False
    holder: Engine | None = None


class LoadBoard:
    """The loads under way in a pool, which slow each other down."""

    __slots__ = ("count",)

    def __init__(self) -> None:
        self.count = 0


class Engine:
    """One life of one replica that runs a model."""

    def __init__(
        self,
        name: EndpointName,
        domain: str,
        address: Address,
        shape: EngineShape,
        clock: VirtualClock,
        ledger: ReadLedger,
        loads: LoadBoard,
        find_memory: Callable[[Address], tuple[PromptMemory, Link] | None],
        rng: random.Random,
    ) -> None:
        self.name = name
        self.address = address
        self.shape = shape
        self.presence = Presence.UP
        self.slowness = 1.0
        self.mute_share = 0.0
        self.version = 1
        self.orders = 0
        self.is_loading = False
        self.memory = PromptMemory(shape.memory_tokens)
        self.link = Link(shape.link_mbps, domain)
        self.loads = 0
        self._clock = clock
        self._ledger = ledger
        self._board = loads
        self._find_memory = find_memory
        self._rng = rng
        self._waiting: list[Job] = []
        self._reading: list[Job] = []
        self._running: list[Job] = []
        self._is_stepping = False
        self._wanted: int | None = None
        """Weights that are loaded once the calls have ended."""

    def count_calls(self) -> int:
        """Return how many calls are there, waiting or not."""
        return len(self._waiting) + len(self._reading) + len(self._running)

    def submit(self, job: Job) -> None:
        """Take one call."""
        job.submitted_ms = self._clock.now_ms
        job.holder = self
        if self._rng.random() < self.mute_share:
            return
        if self.is_loading or self._wanted is not None:
            self._finish(job, JobEnd.REFUSED)
        elif job.weights_version != self.version:
            self._finish(job, JobEnd.OTHER_WEIGHTS)
        elif self.count_calls() >= 4 * self.shape.slots:
            self._finish(job, JobEnd.REFUSED)
        else:
            self._waiting.append(job)
            self._start()

    def cancel(self, job: Job) -> None:
        """Stop a call that nobody waits for."""
        if not job.is_over:
            job.is_over = True
            self._drop(job)

    def stop(self, presence: Presence) -> None:
        """End this life; its calls are cut, or hang if it falls silent."""
        jobs = self._waiting + self._reading + self._running
        self.presence = presence
        self._waiting, self._reading, self._running = [], [], []
        for job in jobs:
            if presence is Presence.DOWN:
                self._finish(job, JobEnd.LOST)
            else:
                job.is_over = True

    def read_state(self) -> ReplicaState:
        """Return what it reports of itself."""
        return ReplicaState(
            weights=(("m", self.version),),
            is_busy=self.is_loading or self._wanted is not None,
            order_count=self.orders,
            running=len(self._running) + len(self._reading),
            waiting=len(self._waiting),
        )

    def take_order(self, order: WeightsOrder) -> int:
        """Begin to load weights, or say why not; returns the status."""
        if self.is_loading or self._wanted is not None:
            return 409
        if order.expected_order_count != self.orders:
            return 409
        if order.version <= self.version:
            return 200
        self.orders += 1
        self.loads += 1
        self._wanted = order.version
        for job in list(self._waiting):
            self._finish(job, JobEnd.REFUSED)
        self._waiting.clear()
        if order.is_under_calls or not self.count_calls():
            self._load()
        return 202

    def _load(self) -> None:
        self.is_loading = True
        self._board.count += 1
        beyond = max(self._board.count - self.shape.loads_at_once, 0)
        took_ms = self.shape.load_ms * (1.0 + SLOW_LOAD_SHARE * beyond)
        self._clock.call_after(took_ms * self.slowness, self._end_load)

    def _end_load(self) -> None:
        self._board.count -= 1
        if self.presence is not Presence.UP or self._wanted is None:
            return
        self.version, self._wanted = self._wanted, None
        self.is_loading = False
        self.memory.clear(self._clock.now_ms)

    def _start(self) -> None:
        if not self._is_stepping:
            self._is_stepping = True
            self._clock.call_after(0.0, self._step)

    def _step(self) -> None:
        """Begin one step; what it makes is there at its end."""
        if self.presence is not Presence.UP:
            self._is_stepping = False
            return
        self._admit()
        if not self._reading and not self._running:
            self._is_stepping = False
            return
        shape, now_ms = self.shape, self._clock.now_ms
        read = [
            (job, tokens) for job, tokens in self._choose_reads(now_ms) if tokens > 0
        ]
        took_ms = shape.step_ms + shape.step_ms_per_call * len(self._running)
        for job, tokens in read:
            before = sum(part.tokens for part in job.parts) - job.unread_tokens
            pairs = tokens * (before + tokens / 2)
            took_ms += tokens / shape.tokens_per_ms
            took_ms += pairs * shape.pairs_ms_per_m / 1e6
        made = list(self._running)
        took_ms *= self.slowness
        self._clock.call_after(took_ms, lambda: self._end_step(read, made))

    def _admit(self) -> None:
        self._waiting.sort(key=lambda job: job.rank)
        while self._waiting:
            job = self._waiting[0]
            shared, own_tokens = job.parts[:-1], _count_own(job)
            taken = len(self._reading) + len(self._running)
            has_room = self.memory.has_room(job.scope, shared, own_tokens)
            if taken >= self.shape.slots or (taken and not has_room):
                return
            self._waiting.pop(0)
            self.memory.hold(job.scope, shared, own_tokens, self._clock.now_ms)
            self._reading.append(job)
            self._reading.sort(key=lambda each: each.rank)
            self._fetch(job)

    def _fetch(self, job: Job) -> None:
        """Bring what another holder has of a prompt, if it was named."""
        now_ms = self._clock.now_ms
        shared = job.parts[:-1]
        own = self.memory.count_leading(job.scope, shared)
        self.memory.touch(job.scope, shared)
        job.ready_ms = now_ms
        if job.fetch_from is None or job.fetch_from == self.address:
            return
        found = self._find_memory(job.fetch_from)
        if found is None:
            job.ready_ms = now_ms + DEAD_SOURCE_MS
            return
        memory, link = found
        theirs = memory.count_leading(job.scope, shared)
        if theirs <= own:
            job.ready_ms = now_ms + MISS_MS
            return
        size_bytes = (theirs - own) * self.shape.bytes_per_token
        done_ms = plan_transfer(link, self.link, size_bytes, now_ms)
        if done_ms is None:
            return
        memory.touch(job.scope, shared)
        self._ledger.moved_bytes += size_bytes
        job.ready_ms = done_ms
        fetched: list[PromptBlock] = []
        tokens = 0
        for part in shared:
            tokens += part.tokens
            if tokens > theirs:
                break
            fetched.append(part)
        self._clock.call_after(
            done_ms - now_ms, lambda: self._keep_fetched(job, fetched)
        )

    def _keep_fetched(self, job: Job, parts: list[PromptBlock]) -> None:
        version = int(job.scope.split("/")[1])
        if self.presence is Presence.UP and version == self.version:
            self.memory.keep(job.scope, parts, self._clock.now_ms)

    def _choose_reads(self, now_ms: float) -> list[tuple[Job, int]]:
        left = self.shape.chunk_tokens
        chosen = []
        for job in self._reading:
            if left <= 0:
                break
            if now_ms < job.ready_ms:
                continue
            if job.begun_ms is None:
                self._begin_reading(job, now_ms)
            tokens = min(left, max(job.unread_tokens, 1))
            left -= tokens
            chosen.append((job, tokens))
        return chosen

    def _begin_reading(self, job: Job, now_ms: float) -> None:
        job.begun_ms = now_ms
        kept = self.memory.count_leading(job.scope, job.parts[:-1])
        job.unread_tokens = sum(part.tokens for part in job.parts) - kept
        job.read_tokens = job.unread_tokens
        self._ledger.note_read(job.scope, job.parts[:-1], kept, now_ms)

    def _end_step(self, read: list[tuple[Job, int]], made: list[Job]) -> None:
        if self.presence is not Presence.UP:
            self._is_stepping = False
            return
        now_ms = self._clock.now_ms
        for job, tokens in read:
            job.unread_tokens -= tokens
            if job.unread_tokens <= 0 and not job.is_over:
                self._end_reading(job, now_ms)
        for job in made:
            if not job.is_over:
                self._make_token(job, now_ms)
        if self._wanted is not None and not self.is_loading and not self.count_calls():
            self._load()
        self._step()

    def _end_reading(self, job: Job, now_ms: float) -> None:
        self._reading.remove(job)
        if job.weights_version == self.version:
            shared = job.parts[:-1]
            self.memory.keep(job.scope, shared, now_ms)
            self._save(job, shared)
        self._running.append(job)
        self._make_token(job, now_ms)

    def _save(self, job: Job, shared: tuple[PromptBlock, ...]) -> None:
        found = None if job.save_to is None else self._find_memory(job.save_to)
        if found is None:
            return
        memory, link = found
        tokens = sum(part.tokens for part in shared)
        new = tokens - memory.count_leading(job.scope, shared)
        size_bytes = new * self.shape.bytes_per_token
        now_ms = self._clock.now_ms
        done_ms = plan_transfer(self.link, link, size_bytes, now_ms)
        if done_ms is not None:
            self._ledger.moved_bytes += size_bytes
            self._clock.call_after(
                done_ms - now_ms, lambda: memory.keep(job.scope, shared, done_ms)
            )

    def _make_token(self, job: Job, now_ms: float) -> None:
        job.made += 1
        job.made_on_other += job.weights_version != self.version
        is_last = job.made >= job.output_tokens
        if job.first_ms is None:
            job.first_ms = job.event_ms = now_ms + self.shape.first_ms
            self._clock.call_after(self.shape.first_ms, lambda: self._tell_first(job))
        elif is_last or (job.made - 1) % self.shape.tokens_per_event == 0:
            gap_ms = now_ms - job.event_ms
            job.worst_gap_ms = max(job.worst_gap_ms, gap_ms)
            job.event_ms = max(job.event_ms, now_ms)
        if is_last:
            after_ms = max(job.event_ms - now_ms, 0.0)
            self._running.remove(job)
            self._release(job)
            self._clock.call_after(after_ms, lambda: self._tell_end(job))

    def _tell_first(self, job: Job) -> None:
        if not job.is_over and self.presence is Presence.UP:
            job.on_first(job)

    def _tell_end(self, job: Job) -> None:
        if not job.is_over and self.presence is Presence.UP:
            job.is_over = True
            job.on_end(job, JobEnd.DONE)

    def _release(self, job: Job) -> None:
        self.memory.release(job.scope, job.parts[:-1], _count_own(job))

    def _drop(self, job: Job) -> None:
        if job in self._waiting:
            self._waiting.remove(job)
            return
        for jobs in (self._reading, self._running):
            if job in jobs:
                jobs.remove(job)
                self._release(job)

    def _finish(self, job: Job, end: JobEnd) -> None:
        if not job.is_over:
            job.is_over = True
            job.on_end(job, end)


def _count_own(job: Job) -> int:
    """Return the tokens that a call holds beside the parts that prompts share."""
    return job.parts[-1].tokens + job.output_tokens
