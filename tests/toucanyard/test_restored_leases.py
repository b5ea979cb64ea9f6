from __future__ import annotations

import random
from typing import Final

from toucanyard.leases import ACTIVE_MS, REQUEST_TIMEOUT_MS, Leases
from toucanyard.names import Incarnation, NodeId, NodeName
from toucanyard.relay_events import AppendLease, LeaseAppended, LeaseRead, ReadLeases

SEEDS: Final = 40
LEASE_MS: Final = 3_000.0
STEP_MS: Final = 50.0
PLAY_MS: Final = 60_000.0
PAUSE_SHARE: Final = 0.005
"""Share of steps after which a node is paused, as a suspended VM is."""
MAX_DELAY_MS: Final = 2_500.0
"""Longest time for which a request may be under way to the store."""
Request = AppendLease | ReadLeases


class RestorableLog:
    """The store's lease topic, which can go back to a copy."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.era = 0
        self._copy: list[bytes] = []

    def take_copy(self) -> None:
        self._copy = list(self.records)

    def restore(self) -> None:
        self.records = list(self._copy)
        self.era += 1

    def execute(self, request: Request, sent_ms: float) -> LeaseRead | LeaseAppended:
        end = len(self.records)
        match request:
            case ReadLeases(from_offset=begin):
                numbered = tuple(enumerate(self.records))[min(begin, end) :]
                return LeaseRead(numbered, end, self.era)
            case AppendLease(value=value, at=at, era=condition_era):
                if at != end:
                    return LeaseAppended(None, sent_ms, end, self.era, condition_era)
                self.records.append(value)
                return LeaseAppended(end, sent_ms, None, self.era, condition_era)


class Holder:
    """One node, and the periods in which it may send orders."""

    def __init__(self, name: str) -> None:
        self.leases = Leases(NodeId(NodeName(name), Incarnation("i")), LEASE_MS)
        self.active: list[tuple[float, int]] = []
        """Each step at which it held a lease, with the lease's fence."""

    def apply(self, answer: LeaseRead | LeaseAppended, now_ms: float) -> None:
        match answer:
            case LeaseRead():
                self.leases.apply_read(answer, now_ms)
            case LeaseAppended():
                self.leases.apply_append(answer, now_ms)


class Play:
    """Nodes that all have work, and a store that is restored at drawn times."""

    def __init__(self, seed: int, nodes: int = 3) -> None:
        self._rng = random.Random(seed)
        self.log = RestorableLog()
        self.nodes = [Holder(f"n{number}") for number in range(nodes)]
        self._now_ms = 0.0
        self._sent: list[tuple[float, float, int, Request]] = []
        """Requests under way: when they arrive and were sent, by whom, and what."""
        self._away_until_ms = 0.0
        self._paused_until_ms = [0.0] * nodes

    def run(self) -> None:
        copied_ms, restored_ms = self._draw_drill(5_000.0)
        while self._now_ms < PLAY_MS:
            self._now_ms += STEP_MS
            if copied_ms is not None and self._now_ms >= copied_ms:
                self.log.take_copy()
                copied_ms = None
            if self._now_ms >= restored_ms:
                self.log.restore()
                self._away_until_ms = self._now_ms + self._rng.uniform(0.0, 1_000.0)
                copied_ms, restored_ms = self._draw_drill(self._now_ms)
            self._arrive()
            for number in range(len(self.nodes)):
                self._tick(number)

    def _draw_drill(self, after_ms: float) -> tuple[float | None, float]:
        copied_ms = after_ms + self._rng.uniform(0.0, 8_000.0)
        return copied_ms, copied_ms + self._rng.uniform(300.0, 6_000.0)

    def _arrive(self) -> None:
        due = [each for each in self._sent if each[0] <= self._now_ms]
        self._sent = [each for each in self._sent if each[0] > self._now_ms]
        for _, sent_ms, number, request in due:
            if self._now_ms < self._away_until_ms:
                continue
            answer = self.log.execute(request, sent_ms)
            if self._rng.random() < 0.9:
                self.nodes[number].apply(answer, self._now_ms)

    def _tick(self, number: int) -> None:
        if self._now_ms < self._paused_until_ms[number]:
            return
        if self._rng.random() < PAUSE_SHARE:
            self._paused_until_ms[number] = self._now_ms + self._rng.uniform(0, 9_000)
            return
        node = self.nodes[number]
        # The others are taken for dead now and then, as when links are lost.
        is_alive = self._rng.random() < 0.5
        request = node.leases.tick(0.0, number, is_alive, self._now_ms)
        if request is not None:
            is_slow = self._rng.random() < 0.15
            delay_ms = self._rng.uniform(0, MAX_DELAY_MS) if is_slow else 5.0
            due_ms = self._now_ms + delay_ms
            self._sent.append((due_ms, self._now_ms, number, request))
        lease = node.leases.find_lease(self._now_ms)
        if lease is not None:
            node.active.append((self._now_ms, lease.fence))

    def list_turns(self) -> list[tuple[float, int, int]]:
        """Return when a node held a lease, its number and the fence, by time."""
        return sorted(
            (at_ms, number, fence)
            for number, node in enumerate(self.nodes)
            for at_ms, fence in node.active
        )


def find_broken(turns: list[tuple[float, int, int]]) -> list[str]:
    """Return what the rules of leases forbid, in the order of time."""
    broken = []
    for (at_ms, number, fence), (next_ms, other, next_fence) in zip(
        turns, turns[1:], strict=False
    ):
        if number != other and next_ms - at_ms < LEASE_MS:
            broken.append(f"{next_ms}: n{other} {next_ms - at_ms} ms after n{number}")
        if next_fence < fence or (number != other and next_fence == fence):
            broken.append(f"{next_ms}: fence {next_fence} after {fence}")
    return broken


def test_holders_take_turns_with_rising_fences_over_restores() -> None:
    """Guards against two holders, or one fence for two, when offsets go back."""
    broken = {}
    changes = 0
    for seed in range(SEEDS):
        play = Play(seed)
        play.run()
        turns = play.list_turns()
        changes += sum(
            before[1] != after[1]
            for before, after in zip(turns, turns[1:], strict=False)
        )
        if found := find_broken(turns):
            broken[seed] = found
    assert broken == {}
    assert changes > SEEDS


def test_append_that_is_done_only_after_a_restore_gives_no_lease() -> None:
    """Guards against an append whose condition holds once more in the copy."""
    log, late, other = RestorableLog(), Holder("a"), Holder("b")
    log.take_copy()
    request = None
    for _ in range(2):
        request = late.leases.tick(0.0, 0, False, 0.0)
        if isinstance(request, ReadLeases):
            late.apply(log.execute(request, 0.0), 0.0)
    assert isinstance(request, AppendLease)
    for _ in range(2):
        first = other.leases.tick(0.0, 0, False, 0.0)
        assert first is not None
        other.apply(log.execute(first, 0.0), 0.0)
    assert other.leases.find_lease(1.0) is not None
    log.restore()
    late.apply(log.execute(request, 0.0), 500.0)
    assert late.leases.find_lease(500.0) is None
    for now_ms in (500.0, 500.0 + REQUEST_TIMEOUT_MS):
        again = late.leases.tick(0.0, 0, False, now_ms)
        if again is not None:
            late.apply(log.execute(again, now_ms), now_ms)
    assert late.leases.find_lease(500.0 + ACTIVE_MS) is None


def test_holder_goes_on_after_a_restore_without_waiting() -> None:
    """Guards against a rollout that stops for a whole lease after each restore."""
    log, node = RestorableLog(), Holder("a")
    now_ms = 0.0
    while now_ms < 10_000.0:
        if now_ms == 2_000.0:
            log.take_copy()
        if now_ms == 5_000.0:
            log.restore()
        request = node.leases.tick(0.0, 0, False, now_ms)
        if request is not None:
            node.apply(log.execute(request, now_ms), now_ms)
        lease = node.leases.find_lease(now_ms)
        if lease is not None:
            node.active.append((now_ms, lease.fence))
        now_ms += STEP_MS
    times_ms = [at_ms for at_ms, _ in node.active]
    gaps_ms = [later - at for at, later in zip(times_ms, times_ms[1:], strict=False)]
    assert max(gaps_ms) <= ACTIVE_MS
    assert times_ms[-1] > 9_000.0
