from __future__ import annotations

import random

import msgspec
from hypothesis import given, strategies as st

from toucanyard.names import (
    Incarnation,
    NodeId,
    NodeName,
    PoolName,
)
from toucanyard.pool_leases import LEASE_MS, PoolLeaseRecord, PoolLeases

POOL = PoolName("p")


def build_node(name: str) -> NodeId:
    return NodeId(NodeName(name), Incarnation("a"))


def build_text(name: str, fence: int | None = None, is_release: bool = False) -> str:
    record = PoolLeaseRecord(
        POOL, build_node(name), f"{name}-{fence}", fence, is_release
    )
    return msgspec.json.encode(record).decode()


def build_leases(*, is_complete: bool = True) -> PoolLeases:
    leases = PoolLeases(build_node("me"), random.Random(1))
    leases.set_read_start(0 if is_complete else 7, 0 if is_complete else 7)
    return leases


def test_claim_within_a_lease_is_void() -> None:
    """Two nodes claim at once, or one claims by an outdated view. The order of the log
    decides, identically on every node."""
    leases = build_leases()
    leases.apply_record(0, 0.0, build_text("one"), 0.0)
    leases.apply_record(1, LEASE_MS - 1, build_text("two"), 0.0)
    assert leases.find_holder(POOL) == build_node("one")
    leases.apply_record(2, LEASE_MS, build_text("two"), 0.0)
    assert leases.find_holder(POOL) == build_node("two")


def test_renewal_after_the_lease_is_void() -> None:
    """A paused holder's append reaches the log after its lease expired. If it were
    valid, it would void a claim that another node may already have made."""
    leases = build_leases()
    leases.apply_record(0, 0.0, build_text("one"), 0.0)
    leases.apply_record(1, LEASE_MS, build_text("one", 0), 0.0)
    leases.apply_record(2, LEASE_MS + 1, build_text("two"), 0.0)
    assert leases.find_holder(POOL) == build_node("two")


def test_renewal_under_another_number_is_void() -> None:
    leases = build_leases()
    leases.apply_record(0, 0.0, build_text("one"), 0.0)
    leases.apply_record(1, LEASE_MS, build_text("two"), 0.0)
    leases.apply_record(2, LEASE_MS + 1, build_text("one", 0), 0.0)
    leases.apply_record(3, LEASE_MS + 2, build_text("one", 0, is_release=True), 0.0)
    assert leases.find_holder(POOL) == build_node("two")


def test_node_that_missed_records_believes_no_claim_before_a_whole_lease() -> None:
    """A node starts reading after the holder's claim, so the next, void claim looks
    valid. If it were accepted, two nodes could hold the lease."""
    leases = build_leases(is_complete=False)
    leases.apply_record(7, 0.0, build_text("void"), 0.0)
    assert leases.find_holder(POOL) is None
    leases.apply_record(8, LEASE_MS - 1, build_text("void"), 0.0)
    leases.apply_record(9, 2 * LEASE_MS - 2, build_text("void"), 0.0)
    assert leases.find_holder(POOL) is None
    leases.apply_record(10, 3 * LEASE_MS, build_text("one"), 0.0)
    assert leases.find_holder(POOL) == build_node("one")


def test_missed_records_end_a_duty() -> None:
    leases = build_leases()
    leases.update_log_end(0.0)
    (append,) = leases.tick([POOL], [], 0.0)
    leases.apply_record(0, 0.0, append.text, 100.0)
    assert [lease.fence for lease in leases.find_held(200.0)] == [0]
    leases.handle_expired()
    assert leases.find_held(200.0) == []


def test_lease_counts_from_before_the_append() -> None:
    """The answer to an append takes most of the lease. If the lease counted from the
    answer, this node would still act when the log permits another holder."""
    leases = build_leases()
    leases.update_log_end(0.0)
    (append,) = leases.tick([POOL], [], 0.0)
    leases.apply_record(0, 0.0, append.text, LEASE_MS - 2_000)
    assert leases.find_held(LEASE_MS - 1_500)
    assert not leases.find_held(LEASE_MS * 0.9)


def test_records_of_ever_new_pools_do_not_fill_the_memory() -> None:
    leases = build_leases()
    leases.apply_record(0, 0.0, build_text("one"), 0.0)
    for number in range(1, 3_000):
        record = PoolLeaseRecord(PoolName(f"x{number}"), build_node("rogue"), "r")
        text = msgspec.json.encode(record).decode()
        leases.apply_record(number, number * 100.0, text, 0.0)
        renewal = build_text("one", 0)
        leases.apply_record(number, number * 100.0, renewal, 0.0)
    assert len(leases._leases) <= 1_100
    assert leases.find_holder(POOL) == build_node("one")


@given(st.text(max_size=60))
def test_no_text_makes_it_raise(text: str) -> None:
    leases = build_leases()
    for each in (
        text,
        '"duty"' + text,
        '{"kind":"duty"' + text,
        "[" * 2_000 + '"duty"',
    ):
        leases.apply_record(0, 0.0, each, 0.0)
    assert leases.find_holder(POOL) is None
