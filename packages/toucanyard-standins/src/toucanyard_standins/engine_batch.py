"""Model continuous batching: the work and the duration of each step."""

from __future__ import annotations

import heapq

import msgspec


class CostModel(msgspec.Struct, frozen=True):
    """The costs of prefill and decoding, and the limits of one step."""

    prefill_ms_per_block: float = 8.0
    decode_step_ms: float = 20.0
    decode_ms_per_sequence: float = 0.5
    max_running: int = 16
    prefill_blocks_per_step: int = 8


class Sequence(msgspec.Struct):
    """One request in the batch."""

    request_id: str
    priority: int
    chain: tuple[int, ...]
    tokens_left: int
    computed_blocks: int = 0
    """Leading blocks found in the cache or computed so far."""

    def count_missing(self) -> int:
        """Return the number of blocks to compute before the first token."""
        return len(self.chain) - self.computed_blocks


class Prefill(msgspec.Struct, frozen=True):
    """Blocks of one sequence that a step computes."""

    sequence: Sequence
    blocks: int


class Step(msgspec.Struct, frozen=True):
    """The prefills and decoded sequences of one step, and its duration."""

    duration_ms: float
    prefills: tuple[Prefill, ...]
    decoded: tuple[Sequence, ...]
    """Sequences that get one token each."""


class Batch:
    """Waiting sequences, ordered by priority and age, and running ones.

    Invariant: at most `max_running` sequences run.
    """

    __slots__ = ("_arrivals", "_cost", "_running", "_waiting")

    def __init__(self, cost: CostModel) -> None:
        self._cost = cost
        self._arrivals = 0
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._running: dict[str, Sequence] = {}

    def is_idle(self) -> bool:
        """Tell whether there is nothing to compute."""
        return not self._running and not self._waiting

    def count_running(self) -> int:
        """Return the number of running sequences."""
        return len(self._running)

    def count_waiting(self) -> int:
        """Return the number of waiting sequences."""
        return len(self._waiting)

    def count_queued_blocks(self) -> int:
        """Return the number of blocks to compute, without deducting cache hits."""
        waiting = sum(each.count_missing() for _, _, each in self._waiting)
        return waiting + sum(each.count_missing() for each in self._running.values())

    def add(self, sequence: Sequence) -> None:
        """Queue a sequence."""
        entry = (sequence.priority, self._arrivals, sequence)
        heapq.heappush(self._waiting, entry)
        self._arrivals += 1

    def remove(self, request_id: str) -> None:
        """Remove a sequence that ended or was cancelled."""
        self._running.pop(request_id, None)
        kept = [each for each in self._waiting if each[2].request_id != request_id]
        if len(kept) != len(self._waiting):
            heapq.heapify(kept)
            self._waiting = kept

    def admit(self) -> tuple[Sequence, ...]:
        """Start waiting sequences in order of priority; return those started."""
        admitted: list[Sequence] = []
        while self._waiting and len(self._running) < self._cost.max_running:
            _, _, sequence = heapq.heappop(self._waiting)
            self._running[sequence.request_id] = sequence
            admitted.append(sequence)
        return tuple(admitted)

    def plan_step(self) -> Step:
        """Return the next step; prefill budget is assigned in order of priority."""
        budget = self._cost.prefill_blocks_per_step
        prefills: list[Prefill] = []
        decoded: list[Sequence] = []
        for sequence in sorted(self._running.values(), key=lambda each: each.priority):
            blocks = min(budget, sequence.count_missing())
            budget -= blocks
            if blocks:
                prefills.append(Prefill(sequence, blocks))
            if blocks == sequence.count_missing():
                decoded.append(sequence)
        duration_ms = self._compute_duration_ms(prefills, len(decoded))
        return Step(duration_ms, tuple(prefills), tuple(decoded))

    def _compute_duration_ms(self, prefills: list[Prefill], decoded: int) -> float:
        cost = self._cost
        blocks = sum(prefill.blocks for prefill in prefills)
        duration_ms = blocks * cost.prefill_ms_per_block
        if decoded:
            duration_ms += cost.decode_step_ms + decoded * cost.decode_ms_per_sequence
        return duration_ms
