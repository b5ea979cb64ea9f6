"""Which prompt blocks crashes confirm as their causes."""

from __future__ import annotations

from hypothesis import given, strategies as st

from toucanyard.crash_causes import SETTLING_MS, SURVIVOR_CRASHES, CrashCauses
from toucanyard.crash_ledger import (
    CONFIRMED_CRASHES,
    MAX_CRASH_REQUESTS,
    MAX_REQUESTS,
    MAX_SURVIVORS,
    CrashLedger,
    Suspicion,
)
from toucanyard.link_messages import LostRun
from toucanyard.names import EndpointName, Fingerprint

GAP_MS = 1_000.0
LATER_MS = 60_000.0
BAD = "block:bad"


class World:
    def __init__(self, *held: str) -> None:
        self.ledger = CrashLedger()
        self.held = [Fingerprint(each) for each in held]
        self.causes = CrashCauses(self.ledger, lambda: self.held)
        self.count = 0

    def crash(self, *traits: str, at_ms: float | None = None, **run: object) -> None:
        """Crash the next replica while it runs requests with these traits."""
        self.count += 1
        at_ms = self.count * GAP_MS if at_ms is None else at_ms
        fields = {"ran_ms": 50.0} | run
        runs = [LostRun(Fingerprint(each), **fields) for each in traits]  # type: ignore[arg-type]
        name = EndpointName(f"r{self.count}")
        self.ledger.add_crash(name, at_ms, runs, at_ms, is_shared=True)

    def survive(self, trait: str, at_ms: float, begun_ms: float | None = None) -> bool:
        return self.ledger.record_survival(
            Fingerprint(trait), at_ms, at_ms, is_shared=True, begun_ms=begun_ms
        )

    def assess(
        self, block: str, *shallower: str, now_ms: float = LATER_MS
    ) -> Suspicion:
        before = {Fingerprint(each) for each in shallower}
        return self.causes.assess(Fingerprint(block), before, now_ms)


def test_block_of_three_crashes_in_series_is_confirmed_once_settled() -> None:
    world = World()
    for number in range(CONFIRMED_CRASHES):
        assert world.assess(BAD) is not Suspicion.CONFIRMED
        world.crash(BAD, f"body{number}")
    last_ms = world.count * GAP_MS
    assert world.assess(BAD, now_ms=last_ms + SETTLING_MS - 1) is Suspicion.UNSETTLED
    assert world.assess(BAD, now_ms=last_ms + SETTLING_MS) is Suspicion.CONFIRMED


def test_block_that_ran_on_replicas_lost_together_is_not_confirmed() -> None:
    """Guards against blaming a popular block for the loss of a rack."""
    world = World()
    for _ in range(9):
        world.crash(BAD, at_ms=5_000.0)
    assert world.assess(BAD) is Suspicion.POSSIBLE


def test_block_beside_the_cause_is_not_confirmed() -> None:
    """Guards against blaming what ran at several crashes of another block."""
    world = World()
    world.crash(BAD)
    for _ in range(CONFIRMED_CRASHES):
        world.crash(BAD, "block:beside")
    assert world.assess(BAD) is Suspicion.CONFIRMED
    assert world.assess("block:beside") is Suspicion.POSSIBLE


def test_blocks_of_different_crashes_are_both_confirmed() -> None:
    world = World()
    for _ in range(CONFIRMED_CRASHES):
        world.crash(BAD)
        world.crash("block:other")
    assert world.assess(BAD) is world.assess("block:other") is Suspicion.CONFIRMED


def test_of_blocks_that_always_ran_together_the_deepest_is_confirmed() -> None:
    world = World()
    for _ in range(CONFIRMED_CRASHES):
        world.crash("block:first", "block:second")
    assert world.assess("block:second", "block:first") is Suspicion.CONFIRMED
    assert world.assess("block:first") is Suspicion.POSSIBLE
    assert world.assess("block:second") is Suspicion.POSSIBLE


def test_block_that_was_survived_before_needs_more_crashes() -> None:
    world = World()
    world.survive(BAD, 10.0)
    for _ in range(SURVIVOR_CRASHES):
        assert world.assess(BAD) is not Suspicion.CONFIRMED
        world.crash(BAD)
    assert world.assess(BAD) is Suspicion.CONFIRMED


def test_block_that_was_never_survived_comes_before_one_that_was() -> None:
    """Guards against blaming a popular block that the crashing requests share too."""
    world = World()
    world.survive("block:popular", 10.0)
    world.crash("block:popular")
    for _ in range(SURVIVOR_CRASHES - 1):
        world.crash(BAD, "block:popular")
    assert world.assess(BAD) is Suspicion.CONFIRMED
    assert world.assess("block:popular") is Suspicion.POSSIBLE


def test_crash_of_a_replica_that_had_written_for_a_while_counts_half() -> None:
    world = World()
    for _ in range(2 * CONFIRMED_CRASHES):
        assert world.assess(BAD) is not Suspicion.CONFIRMED
        world.crash(BAD, has_progressed=True)
    assert world.assess(BAD) is Suspicion.CONFIRMED


def test_answer_that_began_before_the_first_crash_clears_no_crash() -> None:
    """Guards against runs from before a block became harmful."""
    world = World()
    for _ in range(SURVIVOR_CRASHES):
        world.crash(BAD)
    assert not world.survive(BAD, 9_000.0, begun_ms=GAP_MS - 1)
    assert world.assess(BAD) is Suspicion.CONFIRMED
    assert world.survive(BAD, 9_500.0, begun_ms=GAP_MS)
    assert world.assess(BAD) is Suspicion.NONE


def test_verdict_stands_until_another_block_explains_clearly_more() -> None:
    """Guards against verdicts that alternate between blocks that ran together."""
    world = World("block:held")
    for _ in range(CONFIRMED_CRASHES):
        world.crash("block:held", BAD)
    world.crash(BAD)
    held = Fingerprint("block:held")
    assert not world.causes.is_refuted(held, LATER_MS)
    world.crash(BAD)
    assert world.causes.is_refuted(held, LATER_MS)
    assert world.assess(BAD) is Suspicion.CONFIRMED


def test_stored_verdict_explains_crashes_of_others() -> None:
    """Guards against blaming what ran beside a block known from the store only."""
    world = World(BAD)
    for number in range(CONFIRMED_CRASHES - 1):
        world.crash(BAD, "block:beside", f"body{number}")
    world.crash("block:beside")
    assert world.assess("block:beside") is Suspicion.POSSIBLE


def test_verdict_that_arrives_after_the_crashes_explains_them_too() -> None:
    """Guards against causes that are found once and kept when a record arrives."""
    world = World()
    for number in range(CONFIRMED_CRASHES):
        traits = ("block:beside", BAD) if number else ("block:beside",)
        world.crash(*traits)
    assert world.assess("block:beside") is Suspicion.CONFIRMED
    world.held.append(Fingerprint(BAD))
    assert world.assess("block:beside") is Suspicion.POSSIBLE


def test_many_blocks_do_not_fill_the_ledger() -> None:
    """Guards against prompts with many new blocks that crash replica after replica."""
    world = World()
    for number in range(40):
        world.crash(*(f"block:{number}x{each}" for each in range(5_000)))
    assert world.ledger.count_runs() <= MAX_REQUESTS
    assert MAX_CRASH_REQUESTS * 40 > MAX_REQUESTS


def test_many_answered_requests_do_not_evict_the_survivals_of_blocks() -> None:
    world = World()
    world.survive("block:popular", 1.0)
    for number in range(MAX_SURVIVORS + 1):
        world.survive(f"body{number}", 10.0)
    assert world.ledger.has_survived(Fingerprint("block:popular"))
    assert not world.ledger.has_survived(Fingerprint("body0"))


@given(st.permutations(range(6)))
def test_order_of_reports_does_not_matter(order: list[int]) -> None:
    """Guards against nodes that hear of crashes in another order and disagree."""
    world = World()
    for number in order:
        beside = ("block:beside",) if number % 2 else ()
        world.count = number
        world.crash(BAD, *beside)
    assert world.assess(BAD) is Suspicion.CONFIRMED
    assert world.assess("block:beside") is Suspicion.POSSIBLE
