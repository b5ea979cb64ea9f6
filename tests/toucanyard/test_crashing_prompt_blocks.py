"""Requests that share a prompt block that crashes replicas are not sent on and on."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from toucanyard.errorcodes import Ending, ErrorKind
from toucanyard.quarantine import Release
from toucanyard.quarantine_verdicts import QUARANTINE_RETRY_MS

from .block_fleet import (
    FIRST_BLOCKS,
    HARMFUL,
    NEVER_MS,
    BlockFleet,
    Blocks,
    follow_first,
    follow_only_first,
    lead,
    share_first,
    share_only_first,
)
from .crash_fleet import BACK_MS

STABLE_MS = 3_000.0
"""Time within which connected nodes must know of the fifth crash."""
MAX_LATE = 3
MAX_CRASHES = 5
STORM_MS = 12_000.0
CALM_MS = 6_000.0
SIZES = pytest.mark.parametrize("nodes_each", [3, 23], ids=["mesh", "hubs"])
PLACES = pytest.mark.parametrize(
    ("crashing", "harmless"),
    [
        (follow_first, share_first),
        (lead, share_first),
        (follow_only_first, share_only_first),
    ],
    ids=["second", "first", "one-first"],
)


def find_refused(fleet: BlockFleet) -> list[tuple[str, ...]]:
    """Return the blocks of harmless calls that were refused as quarantined."""
    return [
        tuple(block.name for block in call.request.prompt.find_shared())
        for call in fleet.calls
        if call.request.prompt is not None
        and call.refusal is not None
        and call.refusal.kind is ErrorKind.REQUEST_QUARANTINED
        and not fleet.is_crashing(call.request)
    ]


@SIZES
@PLACES
@pytest.mark.parametrize("is_resumable", [False, True], ids=["once", "resumable"])
def test_requests_with_a_block_that_crashes_replicas_end(
    nodes_each: int,
    crashing: Callable[[int], Blocks],
    harmless: Callable[[int], Blocks],
    is_resumable: bool,
) -> None:
    """Guards against counting crashes per whole request, of which no two are alike."""
    fleet = BlockFleet(3, nodes_each)
    fleet.play(CALM_MS, crashing_ms=NEVER_MS, harmless=harmless)
    fleet.play(
        STORM_MS, crashing=crashing, harmless=harmless, is_resumable=is_resumable
    )
    assert fleet.count_late(STABLE_MS) <= MAX_LATE
    assert len(fleet.crashes) <= MAX_CRASHES


@SIZES
def test_rare_requests_with_a_block_that_crashes_replicas_end(nodes_each: int) -> None:
    """Guards against crashes that are forgotten between two requests."""
    fleet = BlockFleet(3, nodes_each)
    fleet.play(24_000.0, crashing_ms=1_500.0)
    assert fleet.count_late(STABLE_MS) <= MAX_LATE
    assert len(fleet.crashes) <= MAX_CRASHES


@SIZES
@PLACES
def test_harmless_requests_begin_beside_a_block_that_crashes_replicas(
    nodes_each: int,
    crashing: Callable[[int], Blocks],
    harmless: Callable[[int], Blocks],
) -> None:
    """Guards against holding back what shares first block and customer with it."""
    fleet = BlockFleet(3, nodes_each)
    fleet.play(CALM_MS, crashing_ms=NEVER_MS, harmless=harmless)
    calm_end_ms = fleet.now_ms
    fleet.play(3 * STORM_MS, crashing=crashing, harmless=harmless)
    times = fleet.list_crash_times()
    from_ms = times[min(4, len(times) - 1)] + 2 * STABLE_MS
    assert from_ms < fleet.now_ms - 4_000.0
    for number in range(FIRST_BLOCKS):
        first = harmless(number)[0]
        calm = fleet.find_begun_share(0.0, calm_end_ms - 1_000.0, first)
        later = fleet.find_begun_share(from_ms, fleet.now_ms - 1_000.0, first)
        assert later >= calm / 2


def test_no_other_block_is_held() -> None:
    """Guards against blaming blocks of requests that ran beside the crashing ones."""
    fleet = BlockFleet(3, 3)
    fleet.play(STORM_MS)
    fleet.run_for(2_000.0)
    assert fleet.list_held_blocks() == {f"block:{HARMFUL}"}


@SIZES
def test_held_block_outlasts_all_nodes(nodes_each: int) -> None:
    """Guards against nodes that forget the block when all are killed at once."""
    fleet = BlockFleet(3, nodes_each)
    fleet.play(STORM_MS)
    before = len(fleet.list_crash_times())
    assert 0 < before <= MAX_CRASHES
    fleet.kill_and_restart_all()
    fleet.run_for(STABLE_MS)
    fleet.play(STORM_MS / 2)
    assert len(fleet.list_crash_times()) == before


@SIZES
def test_block_is_held_while_the_store_is_away(nodes_each: int) -> None:
    """Guards against a verdict that takes effect only through the store."""
    fleet = BlockFleet(3, nodes_each)
    fleet.store_away = set(fleet.cores)
    fleet.play(STORM_MS)
    assert fleet.store_writes == 0
    assert fleet.count_late(STABLE_MS) <= MAX_LATE
    fleet.store_away = set()
    fleet.run_for(4_000.0)
    assert fleet.list_quarantined() == {f"quarantine/block:{HARMFUL}"}


def test_block_that_was_answered_before_it_crashes_replicas_is_known() -> None:
    """Guards against answers from before the first crash that clear a block."""
    fleet = BlockFleet(3, 3)
    fleet.harmful = set()
    fleet.play(CALM_MS)
    fleet.harmful = {HARMFUL}
    fleet.play(STORM_MS)
    assert fleet.count_late(STABLE_MS) <= MAX_LATE


@pytest.mark.parametrize("is_alternating", [True, False], ids=["at-once", "in-turn"])
def test_two_blocks_that_crash_replicas_are_told_apart(is_alternating: bool) -> None:
    """Guards against verdicts that assume one cause of all crashes."""
    fleet = BlockFleet(3, 3)
    fleet.harmful = {HARMFUL, "bad1"}

    def choose(number: int) -> Blocks:
        first = f"f{number % FIRST_BLOCKS}"
        if is_alternating:
            return (first, ("bad0", "bad1")[number % 2])
        return (first, ("bad0", "bad1")[number // 30 % 2])

    fleet.play(2 * STORM_MS, crashing=choose)
    for block in fleet.harmful:
        assert fleet.count_late(STABLE_MS, block) <= MAX_LATE
        assert len(fleet.list_crash_times(block)) <= MAX_CRASHES + 1
    assert fleet.list_held_blocks() == {"block:bad0", "block:bad1"}


@SIZES
@pytest.mark.parametrize("harmless", [share_first, share_only_first])
@pytest.mark.parametrize(
    ("replicas", "interval_ms"), [(6, 1_500.0), (12, 700.0)], ids=["few", "often"]
)
def test_no_block_is_held_while_replicas_crash_one_after_another(
    nodes_each: int,
    harmless: Callable[[int], Blocks],
    replicas: int,
    interval_ms: float,
) -> None:
    """Guards against blaming a block that merely ran on each replica that was lost."""
    fleet = BlockFleet(3, nodes_each, replicas)
    for number in range(12):
        fleet.play(interval_ms, crashing_ms=NEVER_MS, harmless=harmless)
        fleet.crash(list(fleet.engines)[number % len(fleet.engines)])
    fleet.play(4_000.0, crashing_ms=NEVER_MS, harmless=harmless)
    assert find_refused(fleet) == []
    assert fleet.list_held_blocks() == set()


@pytest.mark.parametrize("harmless", [share_first, share_only_first])
def test_block_that_was_held_without_cause_is_served_again(
    harmless: Callable[[int], Blocks],
) -> None:
    """Guards against wrong verdicts that last, after all runs of a block were lost."""
    fleet = BlockFleet(3, 3)
    for number in range(12):
        fleet.play(700.0, crashing_ms=NEVER_MS, harmless=harmless)
        fleet.crash(list(fleet.engines)[number % len(fleet.engines)])
    fleet.play(30_000.0, crashing_ms=NEVER_MS, harmless=harmless)
    assert fleet.list_held_blocks() == set()
    assert fleet.list_quarantined() == set()


def test_verdict_is_tested_at_the_price_of_one_replica() -> None:
    """Guards against tests of a correct verdict that crash replica after replica."""
    fleet = BlockFleet(3, 3)
    fleet.play(STORM_MS)
    before = len(fleet.list_crash_times())
    fleet.play(4 * STORM_MS)
    assert len(fleet.list_crash_times()) <= before + 1
    fleet.kill_and_restart_all()
    fleet.play(2 * STORM_MS)
    assert len(fleet.list_crash_times()) <= before + 1


@SIZES
def test_no_block_is_held_after_many_replicas_were_lost_at_once(
    nodes_each: int,
) -> None:
    """Guards against blaming blocks that ran on all replicas of a lost rack."""
    fleet = BlockFleet(3, nodes_each)
    for _ in range(4):
        fleet.play(2_000.0, crashing_ms=NEVER_MS, harmless=share_only_first)
        for address in list(fleet.engines)[:4]:
            fleet.crash(address)
    fleet.play(4_000.0, crashing_ms=NEVER_MS, harmless=share_only_first)
    assert find_refused(fleet) == []


def test_new_route_is_not_held_when_its_first_replicas_are_lost() -> None:
    """Guards against the same at nodes that have not seen any answer yet."""
    fleet = BlockFleet(3, 3)
    for number in range(4):
        fleet.play(300.0, crashing_ms=NEVER_MS, harmless=share_only_first)
        fleet.crash(list(fleet.engines)[number])
    fleet.play(4_000.0, crashing_ms=NEVER_MS, harmless=share_only_first)
    assert find_refused(fleet) == []


def test_verdict_is_not_tested_again_by_nodes_that_start_later() -> None:
    """Guards against a test by each node that takes over from one that has tested."""
    fleet = BlockFleet(3, 3)
    fleet.play(2 * STORM_MS)
    before = len(fleet.list_crash_times())
    for name in list(fleet.cores):
        # Peers send all that they know on a link that is new.
        fleet.dead.add(name)
        fleet.link()
        fleet.dead.discard(name)
        fleet.restart(name)
        fleet.play(STORM_MS)
    assert len(fleet.list_crash_times()) == before


def test_test_of_a_verdict_that_is_answered_before_the_crash_fails() -> None:
    """Guards against an answer just before a crash that ends a correct verdict."""
    fleet = BlockFleet(3, 3)
    fleet.play(CALM_MS, crashing_ms=NEVER_MS)
    fleet.play(STORM_MS / 2)
    before = len(fleet.list_crash_times())
    fleet.is_answered_before_crash = True
    # Without other calls no node loses any when the replica ends.
    fleet.play(4 * STORM_MS, harmless_ms=1e9)
    assert len(fleet.list_crash_times()) == before + 1
    assert fleet.list_held_blocks() == {f"block:{HARMFUL}"}


@SIZES
@pytest.mark.parametrize("crashing_ms", [300.0, 1_500.0], ids=["often", "rare"])
def test_crashes_that_look_like_whole_answers_are_known(
    nodes_each: int, crashing_ms: float
) -> None:
    """Guards against streams without length or chunks that clear what crashed them."""
    fleet = BlockFleet(3, nodes_each)
    fleet.is_unframed = True
    fleet.play(CALM_MS, crashing_ms=NEVER_MS)
    fleet.play(2 * STORM_MS, crashing_ms=crashing_ms)
    assert fleet.count_late(STABLE_MS) <= MAX_LATE
    assert len(fleet.crashes) <= MAX_CRASHES + 1


def test_answers_without_length_or_chunks_cost_no_probe_in_calm() -> None:
    """Guards against a probe for each answer whose end proves nothing."""
    fleet = BlockFleet(3, 3)
    fleet.is_unframed = True
    fleet.play(CALM_MS, crashing_ms=NEVER_MS)
    assert fleet.probes == 0


def test_operator_releases_a_held_block() -> None:
    """Guards against a block that stays held after replicas were mended."""
    fleet = BlockFleet(3, 3)
    fleet.play(STORM_MS)
    fleet.run_for(4_000.0)
    entries = [
        entry.request
        for core in fleet.cores.values()
        for entry in core.guard.quarantine.list_entries()
    ]
    fleet.harmful = set()
    fleet.release(Release(entries[0].fingerprint, entries[0].entry_id))
    fleet.run_for(3_500.0)
    assert fleet.list_held_blocks() == set()
    calls = [fleet.call_blocks(name, ("f0", HARMFUL)) for name in fleet.cores]
    fleet.run_for(2_000.0)
    assert {call.ending for call in calls} == {"completed"}


def test_call_with_a_held_block_is_answered_at_once_and_truthfully() -> None:
    """Guards against callers that wait for, or retry at once, what cannot be served."""
    fleet = BlockFleet(3, 3)
    fleet.play(STORM_MS)
    for name in fleet.cores:
        call = fleet.call_blocks(name, ("f0", HARMFUL))
        assert call.refusal is not None
        assert call.ended_ms == call.request.arrived_ms
        assert call.refusal.kind is ErrorKind.REQUEST_QUARANTINED
        assert call.refusal.ending is Ending.NOT_RUN
        assert call.sends == 0


def test_callers_are_told_to_stay_away_once_a_verdict_was_tested() -> None:
    """Guards against callers that come back every two seconds for good."""
    fleet = BlockFleet(3, 3)
    fleet.play(3 * STORM_MS)
    for name in fleet.cores:
        call = fleet.call_blocks(name, ("f0", HARMFUL))
        assert call.refusal is not None
        assert call.refusal.retry_after_ms is not None
        assert call.refusal.retry_after_ms >= QUARANTINE_RETRY_MS


@pytest.mark.parametrize(
    "shared", [(), ("f0",) * 40, tuple(f"n{n}" for n in range(255)), ("",)]
)
def test_unusual_lists_of_blocks_are_served(shared: Blocks) -> None:
    """Guards against lists that are empty, long, repeated or without names."""
    fleet = BlockFleet(3, 1)
    name = next(iter(fleet.cores))
    call = fleet.call_blocks(name, shared)
    fleet.run_for(200.0)
    for engine in list(fleet.engines.values()):
        if engine.calls:
            fleet.crash(engine.address)
    fleet.run_for(BACK_MS + 2_000.0)
    again = fleet.call_blocks(name, shared)
    fleet.run_for(2_000.0)
    assert (call.ending, again.ending) == ("completed", "completed")


def test_last_block_of_a_prompt_is_never_held() -> None:
    """Guards against blaming the block that belongs to one request only."""
    fleet = BlockFleet(3, 3)
    fleet.play(STORM_MS)
    held = fleet.list_held_blocks()
    assert not any(each.startswith("block:own") for each in held)
