"""Which requests crashes confirm as their cause, in any order of reports."""

from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.crash_ledger import (
    CONFIRMED_CRASHES,
    CRASH_TTL_MS,
    MAX_CRASH_REQUESTS,
    MAX_REQUESTS,
    SETTLING_MS,
    CrashLedger,
    Suspicion,
)
from toucanyard.link_messages import LostRun
from toucanyard.names import EndpointName, Fingerprint

LATER_MS = 10_000.0
BAD = Fingerprint("bad")


def add(
    ledger: CrashLedger, replica: str, at_ms: float, *bodies: str, ran_ms: float = 50.0
) -> None:
    runs = [LostRun(Fingerprint(each), ran_ms) for each in bodies]
    ledger.add_crash(EndpointName(replica), at_ms, runs, at_ms, is_shared=True)


def assess(ledger: CrashLedger, body: str, now_ms: float = LATER_MS) -> Suspicion:
    return ledger.assess(Fingerprint(body), now_ms)


def survive(ledger: CrashLedger, body: str, at_ms: float) -> bool:
    return ledger.record_survival(Fingerprint(body), at_ms, at_ms, is_shared=True)


def test_sole_request_of_two_crashes_is_convicted() -> None:
    ledger = CrashLedger()
    add(ledger, "r1", 1_000.0, BAD, "a")
    assert assess(ledger, BAD) is Suspicion.POSSIBLE
    add(ledger, "r2", 2_000.0, BAD, "b")
    assert assess(ledger, BAD) is Suspicion.CONFIRMED
    assert assess(ledger, "a") is assess(ledger, "b") is Suspicion.POSSIBLE


def test_two_requests_of_the_same_crashes_are_told_apart_by_who_survives() -> None:
    """Guards against blaming a request that ran beside the cause at both crashes."""
    ledger = CrashLedger()
    add(ledger, "r1", 1_000.0, BAD, "a")
    add(ledger, "r2", 2_000.0, BAD, "a")
    assert assess(ledger, BAD) is assess(ledger, "a") is Suspicion.POSSIBLE
    assert survive(ledger, "a", 3_000.0)
    assert assess(ledger, "a") is Suspicion.NONE
    assert assess(ledger, BAD) is Suspicion.CONFIRMED


def test_third_crash_convicts_whatever_ran_beside() -> None:
    ledger = CrashLedger()
    for number in range(CONFIRMED_CRASHES):
        add(ledger, f"r{number}", 1_000.0 * number, BAD, "a")
    assert assess(ledger, BAD) is Suspicion.CONFIRMED


def test_nothing_is_judged_before_other_nodes_could_speak() -> None:
    """Guards against a verdict from one node's observations alone."""
    ledger = CrashLedger()
    add(ledger, "r1", 1_000.0, BAD)
    add(ledger, "r2", 2_000.0, BAD)
    assert assess(ledger, BAD, 2_000.0 + SETTLING_MS - 1) is Suspicion.UNSETTLED
    assert assess(ledger, BAD, 2_000.0 + SETTLING_MS) is Suspicion.CONFIRMED


def test_copies_that_ran_at_the_same_time_count_once() -> None:
    """Guards against blaming a request for the loss of the rack that ran its copies."""
    ledger = CrashLedger()
    for number in range(6):
        add(ledger, f"r{number}", 1_000.0 + number, "popular", ran_ms=400.0)
    assert assess(ledger, "popular") is Suspicion.PROBATION
    survive(ledger, "popular", 500.0)
    assert assess(ledger, "popular") is Suspicion.POSSIBLE


def test_survivor_is_charged_with_later_crashes_only() -> None:
    ledger = CrashLedger()
    add(ledger, "r1", 1_000.0, BAD)
    survive(ledger, BAD, 1_500.0)
    add(ledger, "r2", 2_000.0, BAD)
    assert assess(ledger, BAD) is Suspicion.POSSIBLE
    add(ledger, "r3", 3_000.0, BAD)
    assert assess(ledger, BAD) is Suspicion.CONFIRMED


def test_many_crashes_neither_fill_memory_nor_hide_the_latest() -> None:
    """Guards against an attacker with many different requests that crash replicas."""
    ledger = CrashLedger()
    for number in range(200):
        bodies = [f"b{number}-{each}" for each in range(2 * MAX_CRASH_REQUESTS)]
        add(ledger, f"r{number}", 1_000.0 * number, *bodies)
    add(ledger, "x1", 300_000.0, BAD)
    add(ledger, "x2", 301_000.0, BAD)
    assert assess(ledger, BAD, 400_000.0) is Suspicion.CONFIRMED
    kept = list(ledger.list_crashes(200_000.0))
    assert all(len(each.runs) <= MAX_CRASH_REQUESTS for each in kept)
    assert ledger.count_runs() <= MAX_REQUESTS


def test_old_crashes_count_no_more() -> None:
    ledger = CrashLedger()
    add(ledger, "r1", 1_000.0, BAD)
    add(ledger, "r2", 2_000.0, BAD)
    ledger.prune(2_001.0 + CRASH_TTL_MS)
    assert assess(ledger, BAD, 2_001.0 + CRASH_TTL_MS) is Suspicion.NONE
    assert ledger.count_runs() == 0


BODIES = st.sampled_from(["a", "b", "c"])
REPORTS = st.lists(
    st.tuples(st.sampled_from(["r1", "r2", "r3", "r4"]), BODIES), max_size=12
)


@given(REPORTS, st.randoms(use_true_random=False))
def test_nodes_judge_alike_in_whatever_order_they_hear(
    reports: list[tuple[str, str]], rng: object
) -> None:
    """Guards against nodes that permanently disagree on what is under quarantine."""
    at_ms = {"r1": 1_000.0, "r2": 2_000.0, "r3": 3_000.0, "r4": 3_020.0}
    shuffled = list(reports)
    rng.shuffle(shuffled)  # type: ignore[attr-defined]
    one, other = CrashLedger(), CrashLedger()
    for ledger, order in ((one, reports), (other, [*shuffled, *shuffled])):
        for replica, body in order:
            add(ledger, replica, at_ms[replica], body)
    for body in ("a", "b", "c"):
        assert assess(one, body) is assess(other, body)


@given(REPORTS, BODIES)
def test_request_that_survived_last_is_never_convicted(
    reports: list[tuple[str, str]], body: str
) -> None:
    ledger = CrashLedger()
    for number, (replica, each) in enumerate(reports):
        add(ledger, replica, 100.0 * number, each)
    survive(ledger, body, 5_000.0)
    assert assess(ledger, body) is Suspicion.NONE


def test_request_whose_replicas_had_been_writing_needs_twice_the_crashes() -> None:
    """Guards against blaming a long stream that is resumed and cut off again."""
    ledger = CrashLedger()
    for number in range(4):
        assert assess(ledger, BAD) is not Suspicion.CONFIRMED
        at_ms = 1_000.0 * (number + 1)
        run = LostRun(BAD, 900.0, has_progressed=True)
        name = EndpointName(f"r{number}")
        ledger.add_crash(name, at_ms, [run], at_ms, is_shared=True)
    assert assess(ledger, BAD) is Suspicion.CONFIRMED
