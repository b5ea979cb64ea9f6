from __future__ import annotations

import random

import pytest
from hypothesis import given, settings, strategies as st

from toucanyard.leases import ACTIVE_MS, REQUEST_TIMEOUT_MS, Leases
from toucanyard.names import Incarnation, NodeId, NodeName
from toucanyard.relay_events import AppendLease, LeaseAppended, LeaseRead, ReadLeases

LEASE_MS = 3_000.0


def build_leases(name: str) -> Leases:
    return Leases(NodeId(NodeName(name), Incarnation("i")), LEASE_MS)


class Log:
    """The store's topic, with conditional appends; its oldest records may expire."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.first = 0

    def expire(self) -> None:
        self.first = len(self.records)

    def append(self, request: AppendLease) -> int | None:
        if request.at != len(self.records):
            return None
        self.records.append(request.value)
        return len(self.records) - 1


def serve(
    leases: Leases, log: Log, request: AppendLease | ReadLeases | None, now_ms: float
) -> None:
    match request:
        case ReadLeases(from_offset=begin):
            numbered = tuple(enumerate(log.records))[max(begin, log.first) :]
            leases.apply_read(LeaseRead(numbered, len(log.records)), now_ms)
        case AppendLease():
            offset = log.append(request)
            leases.apply_append(LeaseAppended(offset, now_ms), now_ms)


def acquire(leases: Leases, log: Log, now_ms: float, since_ms: float = 0.0) -> None:
    """Let a node read and append until it holds the lease, if it may."""
    for _ in range(3):
        serve(leases, log, leases.tick(since_ms, 0, False, now_ms), now_ms)


def test_first_node_takes_the_turn_at_once_and_keeps_its_fence() -> None:
    leases, log = build_leases("a"), Log()
    acquire(leases, log, 0.0)
    first = leases.find_lease(1.0)
    assert first is not None
    acquire(leases, log, 600.0)
    second = leases.find_lease(ACTIVE_MS + 1)
    assert second is not None
    assert (first.fence, second.fence) == (0, 0)
    assert len(log.records) == 2


def test_next_holder_waits_out_the_one_before() -> None:
    """The holder is partitioned during its work; another node reads its last record.

    Two nodes that send orders within the lease would revert each other's work.
    """
    log = Log()
    acquire(build_leases("a"), log, 0.0)
    other = build_leases("b")
    acquire(other, log, 100.0)
    assert other.find_lease(100.0) is None
    early_ms = 100.0 + ACTIVE_MS + LEASE_MS
    acquire(other, log, early_ms)
    assert other.find_lease(early_ms) is None
    late_ms = early_ms + REQUEST_TIMEOUT_MS
    acquire(other, log, late_ms)
    lease = other.find_lease(late_ms)
    assert lease is not None
    assert lease.fence == 1


def test_paused_holder_does_not_act_when_it_wakes() -> None:
    leases, log = build_leases("a"), Log()
    acquire(leases, log, 0.0)
    assert leases.find_lease(ACTIVE_MS - 1) is not None
    assert leases.find_lease(ACTIVE_MS) is None


def test_append_without_an_answer_gives_no_turn_until_it_is_read() -> None:
    """The store appends and its answer is lost, or it appends seconds later.

    If the append counted as failed, there would be a second claim with another fence.
    """
    leases, log = build_leases("a"), Log()
    request = leases.tick(0.0, 0, False, 0.0)
    serve(leases, log, request, 0.0)
    request = leases.tick(0.0, 0, False, 0.0)
    assert isinstance(request, AppendLease)
    log.append(request)
    leases.apply_append(LeaseAppended(None, 0.0), 0.0)
    assert leases.find_lease(1.0) is None
    assert isinstance(leases.tick(0.0, 0, False, 10.0), ReadLeases)


def test_last_holder_that_is_alive_goes_first() -> None:
    log = Log()
    acquire(build_leases("a"), log, 0.0)
    other = build_leases("b")
    acquire(other, log, 0.0)
    late_ms = 10_000.0
    request = other.tick(late_ms - 100, 0, True, late_ms)
    assert isinstance(request, ReadLeases)
    serve(other, log, request, late_ms)
    assert isinstance(other.tick(late_ms - 800, 0, True, late_ms), AppendLease)


def test_who_stands_by_follows_the_turn_and_takes_it_in_time() -> None:
    """The holder renews its lease many times and is then killed during its work.

    A standby node that read only once would have its claim refused, and would wait for
    the full lease again.
    """
    log = Log()
    holder, other = build_leases("a"), build_leases("b")
    now_ms = 0.0
    while now_ms < 10_000.0:
        now_ms += 25.0
        serve(other, log, other.tick(0.0, 1, True, now_ms), now_ms)
        if now_ms <= 4_000.0:
            serve(holder, log, holder.tick(0.0, 0, False, now_ms), now_ms)
        if other.find_lease(now_ms) is not None:
            break
    assert 4_000 + LEASE_MS < now_ms <= 4_000 + LEASE_MS + ACTIVE_MS + 1_000


def test_leaving_node_ends_its_turn_and_takes_no_other() -> None:
    """All VMs are restarted one after another while new weights are loaded.

    If a leaving holder stopped at once, the next one would wait for the full lease.
    """
    leases, log = build_leases("a"), Log()
    acquire(leases, log, 0.0)
    request = leases.tick(0.0, 0, False, 600.0, is_leaving=True)
    assert isinstance(request, AppendLease)
    other = build_leases("b")
    serve(other, log, other.tick(0.0, 0, False, 0.0, is_leaving=True), 0.0)
    assert other.tick(0.0, 0, False, 60_000.0, is_leaving=True) is None


def test_lost_question_is_asked_again() -> None:
    leases = build_leases("a")
    assert isinstance(leases.tick(0.0, 0, False, 0.0), ReadLeases)
    assert leases.tick(0.0, 0, False, REQUEST_TIMEOUT_MS - 1) is None
    assert isinstance(leases.tick(0.0, 0, False, REQUEST_TIMEOUT_MS), ReadLeases)


def test_unreadable_record_is_passed_over() -> None:
    leases = build_leases("a")
    leases.apply_read(LeaseRead(((0, b"\xff"),), 1), 0.0)
    request = leases.tick(0.0, 0, False, 1.0)
    assert isinstance(request, AppendLease)
    assert request.at == 1


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[" * 100_000,
        b'{"node":"b","incarnation":"i","x":' + b"[" * 100_000,
        b'{"node":"b","incarnation":"i","era":' + b"9" * 6_000 + b"}",
    ],
    ids=len,
)
def test_odd_record_of_another_writer_ends_no_node(value: bytes) -> None:
    """Guards against an error of another type than that of an invalid record.

    A nested value in an unknown field is skipped by recursion. Every node that may
    order weights reads the topic, and the error would end each of them.
    """
    leases = build_leases("a")
    leases.apply_read(LeaseRead(((0, value),), 1), 0.0)
    request = leases.tick(0.0, 0, False, 1.0)
    assert isinstance(request, AppendLease)
    assert request.at == 1


def test_past_holder_does_not_order_with_its_fence_after_unread_records() -> None:
    """Guards against a lower fence after a higher one, once records have expired."""
    log = Log()
    past, other = build_leases("a"), build_leases("b")
    acquire(past, log, 0.0)
    acquire(other, log, 0.0)
    acquire(other, log, 10_000.0)
    held = other.find_lease(10_000.0)
    assert held is not None
    log.expire()
    now_ms = 40_000.0
    for _ in range(4):
        serve(past, log, past.tick(now_ms, 0, True, now_ms), now_ms)
    assert past.find_lease(now_ms) is None
    later_ms = now_ms + ACTIVE_MS + LEASE_MS + REQUEST_TIMEOUT_MS
    acquire(past, log, later_ms, now_ms)
    lease = past.find_lease(later_ms)
    assert lease is not None
    assert lease.fence > held.fence


def test_holder_keeps_its_lease_if_only_its_own_records_can_have_expired() -> None:
    """Guards against a rollout that waits although no other node can hold the lease."""
    leases, log = build_leases("a"), Log()
    acquire(leases, log, 0.0)
    request = leases.tick(0.0, 0, False, 600.0)
    assert isinstance(request, AppendLease)
    log.append(request)
    leases.apply_append(LeaseAppended(None, 600.0), 600.0)
    log.expire()
    acquire(leases, log, 700.0)
    lease = leases.find_lease(700.0)
    assert lease is not None
    assert lease.fence == 0


class Fleet:
    """Three nodes with work to do, with random pauses and lost answers."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.nodes = {name: build_leases(name) for name in "abc"}
        self.paused_until = dict.fromkeys(self.nodes, 0.0)
        self.log = Log()
        self.late: list[tuple[float, AppendLease]] = []
        self.acted: list[tuple[float, str, int]] = []

    def append_late(self, now_ms: float) -> None:
        for due in [each for each in self.late if each[0] <= now_ms]:
            self.late.remove(due)
            self.log.append(due[1])

    def is_paused(self, name: str, share: float, now_ms: float) -> bool:
        if now_ms < self.paused_until[name]:
            return True
        if self.rng.random() < share / 40:
            self.paused_until[name] = now_ms + self.rng.uniform(100, 8_000)
            return True
        return False

    def step(
        self, name: str, rank: int, lost_share: float, late_share: float, now_ms: float
    ) -> None:
        leases = self.nodes[name]
        request = leases.tick(0.0, rank, False, now_ms)
        is_lost = self.rng.random() < lost_share
        if isinstance(request, AppendLease) and self.rng.random() < late_share:
            self.late.append((now_ms + self.rng.uniform(100, 6_000), request))
            leases.apply_append(LeaseAppended(None, now_ms), now_ms)
        elif isinstance(request, AppendLease) and is_lost:
            self.log.append(request)
            leases.apply_append(LeaseAppended(None, now_ms), now_ms)
        elif request is not None and not is_lost:
            serve(leases, self.log, request, now_ms)
        lease = leases.find_lease(now_ms)
        if lease is not None:
            self.acted.append((now_ms, name, lease.fence))


@settings(max_examples=200)
@given(
    st.integers(0, 2**32),
    st.floats(0.0, 0.4),
    st.floats(0.0, 0.4),
    st.floats(0.0, 0.3),
    st.floats(0.0, 0.05),
)
def test_two_holders_never_act_within_the_lease(
    seed: int,
    lost_share: float,
    pause_share: float,
    late_share: float,
    expiry_share: float,
) -> None:
    """Three nodes have work for a minute, with pauses, lost answers and late appends.

    All records that the store has expire at random times.

    If two nodes sent orders within the lease, one would revert the other's work.
    """
    fleet = Fleet(random.Random(seed))
    for step in range(2_400):
        now_ms = step * 25.0
        fleet.append_late(now_ms)
        if fleet.rng.random() < expiry_share:
            fleet.log.expire()
        for rank, name in enumerate(fleet.nodes):
            if not fleet.is_paused(name, pause_share, now_ms):
                fleet.step(name, rank, lost_share, late_share, now_ms)
    for before, after in zip(fleet.acted, fleet.acted[1:], strict=False):
        if before[1] != after[1]:
            assert after[0] - before[0] >= LEASE_MS
            assert after[2] > before[2]
