"""A request that crashes the replicas that run it is not retried without bound."""

from __future__ import annotations

import pytest

from toucanyard.answered_calls import SURVIVAL_DELAY_MS
from toucanyard.crash_ledger import CONFIRMED_CRASHES, SETTLING_MS
from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.keyed_view import KeyedRecord, Topic
from toucanyard.names import CustomerName, NodeName
from toucanyard.quarantine import RENEW_MS, TTL_MS, QuarantinedRequest, Release
from toucanyard.quarantine_verdicts import QUARANTINE_RETRY_MS

from .crash_fleet import (
    BACK_MS,
    CRASHING_REQUEST,
    LAPSE_MS,
    RUN_MS,
    START_MS,
    Call,
    CrashFleet,
)
from .relay_fleet import put

STABLE_MS = 3_000.0
"""Time within which connected nodes must learn of the third crash."""
MAX_RETRIES = 3
SIZES = pytest.mark.parametrize("nodes_each", [3, 23], ids=["mesh", "hubs"])
POPULAR = "popular"


def crash_until_quarantined(fleet: CrashFleet) -> None:
    before = len(fleet.crashes)
    fleet.call_round_robin(2_000.0)
    assert len(fleet.crashes) - before <= CONFIRMED_CRASHES
    # After this a record is written and all nodes have read it.
    fleet.run_for(4_000.0)


def call_everywhere(
    fleet: CrashFleet, fingerprint: str = CRASHING_REQUEST
) -> list[Call]:
    """Send a request to each node, and wait until all calls have ended."""
    calls = [fleet.call(name, fingerprint) for name in fleet.cores]
    fleet.run_for(1_000.0)
    return calls


def list_rejected(calls: list[Call]) -> list[str]:
    """Return the reasons of calls that were refused as quarantined."""
    return [
        call.refusal.text
        for call in calls
        if call.refusal and call.refusal.kind is ErrorKind.REQUEST_QUARANTINED
    ]


def find_entry(fleet: CrashFleet) -> QuarantinedRequest:
    entries = [
        entry.request
        for core in fleet.cores.values()
        for entry in core.guard.quarantine.list_entries()
    ]
    assert entries
    return entries[0]


@SIZES
@pytest.mark.parametrize("is_resumable", [False, True], ids=["once", "resumable"])
def test_repeats_of_a_request_that_crashes_replicas_end(
    nodes_each: int, is_resumable: bool
) -> None:
    """Guards against counting attempts per call: each repeat counted as new."""
    fleet = CrashFleet(3, nodes_each)
    fleet.call_round_robin(10_000.0, is_resumable=is_resumable)
    assert len(fleet.list_late(STABLE_MS)) <= MAX_RETRIES


@SIZES
@pytest.mark.parametrize("is_resumable", [False, True], ids=["once", "resumable"])
def test_request_costs_no_more_replicas_than_it_takes_to_tell(
    nodes_each: int, is_resumable: bool
) -> None:
    """Guards against waiting for the bound when the cause is already clear."""
    fleet = CrashFleet(3, nodes_each)
    fleet.call_round_robin(10_000.0, is_resumable=is_resumable)
    assert len(fleet.crashes) <= CONFIRMED_CRASHES


@SIZES
def test_harmless_calls_are_served_beside_a_request_that_crashes_replicas(
    nodes_each: int,
) -> None:
    """Guards against one caller with three requests a second blocking all others."""
    fleet = CrashFleet(3, nodes_each)
    fleet.call_round_robin(10_000.0)
    assert fleet.find_served_share() >= 0.97


def test_request_that_is_answered_before_it_crashes_its_replica_is_known() -> None:
    """Guards against missing a crash in a replica's cleanup after its answer."""
    fleet = CrashFleet(3, 3)
    fleet.is_answered_before_crash = True
    fleet.call_round_robin(10_000.0)
    assert len(fleet.crashes) <= CONFIRMED_CRASHES


def test_crash_after_an_answer_is_known_though_no_other_call_was_lost() -> None:
    """Guards against an answer that clears its request, as no node saw a loss."""
    fleet = CrashFleet(3, 3)
    fleet.is_answered_before_crash = True
    names = list(fleet.cores)
    for number in range(12):
        fleet.call(names[number % len(names)], CRASHING_REQUEST)
        fleet.run_for(200.0)
        # Another node finds out that nothing listens there any more.
        for other in names * 4:
            fleet.call(other, f"harmless-{number}-{other}")
        fleet.run_for(1_300.0)
    assert len(fleet.crashes) <= CONFIRMED_CRASHES


def test_call_under_quarantine_is_answered_at_once_and_truthfully() -> None:
    """Guards against callers that wait for, or retry at once, what cannot be served."""
    fleet = CrashFleet(3, 3)
    crash_until_quarantined(fleet)
    for call in call_everywhere(fleet):
        assert call.refusal is not None
        assert call.ended_ms == call.request.arrived_ms
        assert call.refusal.kind is ErrorKind.REQUEST_QUARANTINED
        assert call.refusal.ending is Ending.NOT_RUN
        assert call.refusal.retry_after_ms is not None
        assert call.refusal.retry_after_ms >= QUARANTINE_RETRY_MS


@SIZES
def test_copies_that_arrive_at_once_do_not_crash_replicas_for_ever(
    nodes_each: int,
) -> None:
    """Guards against a burst of copies on all nodes before any crash is known."""
    fleet = CrashFleet(3, nodes_each)
    for _ in range(40):
        for name in list(fleet.cores)[:9]:
            fleet.call(name, CRASHING_REQUEST)
        fleet.run_for(300.0)
    assert len(fleet.crashes) >= CONFIRMED_CRASHES
    assert len(fleet.list_late(STABLE_MS)) <= MAX_RETRIES


@SIZES
def test_quarantine_outlasts_all_nodes(nodes_each: int) -> None:
    """Guards against nodes that forget the request when all are killed at once."""
    fleet = CrashFleet(3, nodes_each)
    crash_until_quarantined(fleet)
    before = len(fleet.list_crashing_calls())
    fleet.kill_and_restart_all()
    fleet.run_for(STABLE_MS)
    fleet.call_round_robin(5_000.0)
    assert len(fleet.list_crashing_calls()) == before


def test_node_that_starts_later_knows_the_quarantine() -> None:
    """Guards against a replacement node that sends the request again."""
    fleet = CrashFleet(3, 3)
    crash_until_quarantined(fleet)
    name = next(iter(fleet.cores))
    fleet.restart(name)
    fleet.run_for(1_000.0)
    before = len(fleet.list_crashing_calls())
    fleet.call(name, CRASHING_REQUEST)
    fleet.run_for(1_000.0)
    assert len(fleet.list_crashing_calls()) == before


@SIZES
def test_quarantine_begins_and_holds_while_the_store_is_away(nodes_each: int) -> None:
    """Guards against a quarantine that takes effect only through the store."""
    fleet = CrashFleet(3, nodes_each)
    fleet.store_away = set(fleet.cores)
    fleet.call_round_robin(10_000.0)
    assert len(fleet.list_late(STABLE_MS)) <= MAX_RETRIES
    assert fleet.store_writes == 0
    fleet.store_away = set()
    fleet.run_for(4_000.0)
    assert fleet.store_writes >= 1


def test_nothing_is_written_to_the_store_without_a_quarantine() -> None:
    """Guards against store writes when no request is the cause of a crash."""
    fleet = CrashFleet(3, 3)
    for address in list(fleet.engines)[:3]:
        fleet.call_round_robin(2_000.0, crashing_interval_ms=None)
        fleet.crash(address)
    fleet.run_for(2_000.0)
    assert fleet.store_writes == 0


def test_one_record_is_written_for_a_quarantine() -> None:
    """Guards against a write by each node that receives the request."""
    fleet = CrashFleet(3, 3)
    fleet.call_round_robin(10_000.0)
    assert fleet.store_writes == 1


@SIZES
def test_popular_request_is_served_while_replicas_crash_one_after_another(
    nodes_each: int,
) -> None:
    """Guards against quarantining a request that merely ran on each crashed replica."""
    fleet = CrashFleet(3, nodes_each)
    names = list(fleet.cores)
    calls = []
    for number in range(240):
        calls.append(fleet.call(names[number % len(names)], POPULAR))
        if number % 30 == 29:
            fleet.crash(list(fleet.engines)[number // 30 % len(fleet.engines)])
        fleet.run_for(50.0)
    fleet.run_for(RUN_MS * 2)
    assert len(fleet.crashes) >= 2 * CONFIRMED_CRASHES
    assert list_rejected(calls) == []


@SIZES
def test_popular_request_is_served_after_many_replicas_were_lost_at_once(
    nodes_each: int,
) -> None:
    """Guards against blaming a request that ran on all replicas of a lost rack."""
    fleet = CrashFleet(3, nodes_each)
    names = list(fleet.cores)
    for number in range(24):
        fleet.call(names[number % len(names)], POPULAR)
        fleet.run_for(50.0)
    for address in list(fleet.engines)[:4]:
        fleet.crash(address)
    fleet.run_for(LAPSE_MS + SETTLING_MS)
    calls = call_everywhere(fleet, POPULAR)
    assert {call.ending for call in calls} == {"completed"}


def test_first_run_of_many_replicas_is_no_cause_of_their_loss() -> None:
    """Guards against the same when no run of the request had completed before."""
    fleet = CrashFleet(3, 3)
    names = list(fleet.cores)
    for number in range(18):
        fleet.call(names[number % len(names)], "new" if number % 2 else f"own-{number}")
    fleet.run_for(START_MS * 2)
    for address in fleet.engines:
        fleet.crash(address)
    fleet.run_for(LAPSE_MS + SETTLING_MS)
    first = call_everywhere(fleet, "new")
    assert "completed" in {call.ending for call in first}
    fleet.run_for(SURVIVAL_DELAY_MS)
    second = call_everywhere(fleet, "new")
    assert {call.ending for call in second} == {"completed"}


def test_closed_connection_to_a_living_replica_is_no_crash() -> None:
    """Guards against quarantining a request whose connections were reset."""
    fleet = CrashFleet(3, 3)
    name = next(iter(fleet.cores))
    for _ in range(6):
        call = fleet.call(name, "reset", is_resumable=False)
        fleet.run_for(START_MS * 2)
        for engine in fleet.engines.values():
            if engine.calls.pop(call.request.request_id, None):
                fleet.lose(call, engine.name)
        fleet.run_for(200.0)
    call = fleet.call(name, "reset")
    fleet.run_for(2 * RUN_MS)
    assert call.ending == "completed"
    assert (
        fleet.core(name).guard.ledger.list_attributed_crashes(call.request.fingerprint)
        == []
    )


def test_replica_that_was_to_leave_has_not_crashed() -> None:
    """Guards against attributing a crash to calls cut off by a planned stop."""
    fleet = CrashFleet(3, 3)
    name = next(iter(fleet.cores))
    for _ in range(CONFIRMED_CRASHES):
        call = fleet.call(name, "cut", is_resumable=False)
        fleet.run_for(START_MS * 2)
        engine = next(e for e in fleet.engines.values() if e.calls)
        fleet.announce_leave(engine)
        fleet.run_for(500.0)
        fleet.crash(engine.address)
        fleet.run_for(SETTLING_MS + 100.0)
        assert (
            fleet.core(name).guard.ledger.list_attributed_crashes(
                call.request.fingerprint
            )
            == []
        )


def test_request_that_waits_is_rejected_once_its_copies_have_crashed_replicas() -> None:
    """Guards against a check on arrival only: calls may wait or be retried later."""
    fleet = CrashFleet(3, 1, replicas=3)
    names = list(fleet.cores)
    fleet.call(names[0], CRASHING_REQUEST, is_resumable=False)
    fleet.run_for(400.0)
    fleet.call(names[1], CRASHING_REQUEST, is_resumable=False)
    fleet.run_for(80.0)
    # The third and last replica crashes too, so this call has to wait.
    fleet.crash(next(a for a, e in fleet.engines.items() if e.is_up))
    fleet.run_for(20.0)
    waiting = fleet.call(names[2], CRASHING_REQUEST, is_resumable=False)
    fleet.run_for(BACK_MS + 500.0)
    assert len(fleet.list_crashing_calls()) == 2
    assert waiting.refusal is not None


def test_request_that_was_beside_the_cause_is_served() -> None:
    """Guards against quarantining calls that ran beside the cause at its crashes."""
    fleet = CrashFleet(3, 3)
    names = list(fleet.cores)
    beside = [f"beside-{number}" for number in range(12)]
    for round_number in range(3):
        for number, body in enumerate(beside):
            fleet.call(names[number % len(names)], body)
        fleet.call(names[round_number], CRASHING_REQUEST)
        fleet.run_for(RUN_MS + SETTLING_MS + 200.0)
    for number, body in enumerate(beside):
        call = fleet.call(names[number % len(names)], body)
        fleet.run_for(2 * RUN_MS)
        assert call.ending == "completed"


def test_operator_releases_one_quarantine_and_not_a_later_one() -> None:
    """Guards against a release that stays in force or recurs after a restart."""
    fleet = CrashFleet(3, 3)
    crash_until_quarantined(fleet)
    entry = find_entry(fleet)
    fleet.release(Release(entry.fingerprint, entry.entry_id))
    fleet.run_for(3_500.0)
    assert not any(
        list(core.guard.quarantine.list_entries()) for core in fleet.cores.values()
    )
    before = len(fleet.list_crashing_calls())
    crash_until_quarantined(fleet)
    assert len(fleet.list_crashing_calls()) > before
    fleet.kill_and_restart_all()
    fleet.run_for(STABLE_MS)
    assert find_entry(fleet).entry_id != entry.entry_id


def test_quarantine_ends_when_the_request_has_stayed_away() -> None:
    """Guards against records that stay in the store forever."""
    fleet = CrashFleet(3, 1)
    crash_until_quarantined(fleet)
    fleet.skip(TTL_MS)
    fleet.run_for(4_000.0)
    assert not any(
        list(core.guard.quarantine.list_entries()) for core in fleet.cores.values()
    )
    assert fleet.list_quarantined() == set()


def test_quarantine_goes_on_while_the_request_comes() -> None:
    """Guards against running the request again whenever an entry's lifetime ends."""
    fleet = CrashFleet(3, 1)
    crash_until_quarantined(fleet)
    before = len(fleet.list_crashing_calls())
    for _ in range(6):
        fleet.skip(RENEW_MS)
        fleet.run_for(4_000.0)
        call_everywhere(fleet)
    assert len(fleet.list_crashing_calls()) == before


def test_record_of_an_unknown_request_is_taken_over_and_refused() -> None:
    """Guards against a node that refuses only requests whose crashes it knows."""
    fleet = CrashFleet(3, 1)
    name = next(iter(fleet.cores))
    request = QuarantinedRequest(CRASHING_REQUEST, "1", CustomerName("c"), "r", ())
    record = KeyedRecord(f"quarantine/{CRASHING_REQUEST}", 90, put(request))
    fleet.read(name, Topic.NODES, record)
    call = fleet.call(NodeName(name), CRASHING_REQUEST)
    assert call.refusal is not None
