"""What all nodes send of a customer stays within its limit, whatever is cut or dies."""

from __future__ import annotations

import msgspec
import pytest

from .limit_fleet import (
    BOUNDS,
    LIMIT,
    OTHER,
    USUAL_TOKENS_PER_S,
    LimitFleet,
    count_refused,
)

FLOOD_TOKENS_PER_S = 10 * USUAL_TOKENS_PER_S
BOUND = BOUNDS.compute_bound(LIMIT)
SIZES = pytest.mark.parametrize(
    "nodes_each", [3, 23, 65], ids=["nodes-9", "nodes-69", "nodes-195"]
)
FEW = pytest.mark.parametrize("nodes_each", [3, 23], ids=["nodes-9", "nodes-69"])


@SIZES
def test_flood_of_a_customer_runs_within_its_limit(nodes_each: int) -> None:
    """Guards against nodes that each let in what only their sum exceeds."""
    fleet = LimitFleet(3, nodes_each)
    fleet.play(10_000.0, FLOOD_TOKENS_PER_S)
    assert fleet.find_worst_use() <= BOUND


@FEW
def test_flood_runs_within_the_limit_while_half_of_the_nodes_are_cut_off(
    nodes_each: int,
) -> None:
    """Guards against two sides of a cut that each use up the whole limit."""
    fleet = LimitFleet(3, nodes_each)
    names = list(fleet.cores)
    fleet.play(2_000.0, FLOOD_TOKENS_PER_S)
    fleet.cut_apart(names[: len(names) // 2])
    fleet.play(10_000.0, FLOOD_TOKENS_PER_S)
    fleet.heal()
    fleet.play(4_000.0, FLOOD_TOKENS_PER_S)
    assert fleet.find_worst_use() <= BOUND


@FEW
def test_flood_runs_within_the_limit_after_nine_in_ten_nodes_were_killed(
    nodes_each: int,
) -> None:
    """Guards against nodes that start anew and know nothing of what was used."""
    fleet = LimitFleet(3, nodes_each)
    names = list(fleet.cores)
    fleet.play(3_000.0, FLOOD_TOKENS_PER_S)
    killed = names[: len(names) * 9 // 10]
    fleet.kill(killed)
    fleet.play(500.0, FLOOD_TOKENS_PER_S)
    fleet.start_again(killed)
    fleet.play(6_000.0, FLOOD_TOKENS_PER_S)
    assert fleet.find_worst_use() <= BOUND


@FEW
def test_lowered_limit_binds_one_window_after_all_nodes_know_it(
    nodes_each: int,
) -> None:
    """Guards against going on with what was saved up under a higher limit."""
    fleet = LimitFleet(3, nodes_each)
    lower = msgspec.structs.replace(LIMIT, rate_per_s=3_000.0, burst=3_000.0)
    fleet.play(2_000.0, FLOOD_TOKENS_PER_S)
    fleet.set_limit(lower)
    lowered_ms = fleet.now_ms
    fleet.play(17_000.0, FLOOD_TOKENS_PER_S)
    worst = fleet.find_worst_use(since_ms=lowered_ms + BOUNDS.window_ms)
    assert worst <= BOUNDS.compute_bound(lower)


@SIZES
def test_no_call_within_the_limit_is_refused(nodes_each: int) -> None:
    """Guards against shares of a limit that lie where no calls come."""
    fleet = LimitFleet(3, nodes_each)
    calls = fleet.play(6_000.0, USUAL_TOKENS_PER_S)
    fleet.run_for(2_000.0)
    assert count_refused(calls) == 0
    assert {call.ending for call in calls} == {"completed"}


@FEW
def test_customer_beside_a_flood_is_served(nodes_each: int) -> None:
    """Guards against a flood that takes what belongs to another customer."""
    fleet = LimitFleet(3, nodes_each)
    calls = fleet.play(
        6_000.0, FLOOD_TOKENS_PER_S, other_tokens_per_s=USUAL_TOKENS_PER_S
    )
    fleet.run_for(2_000.0)
    others = [call for call in calls if call.request.customer == OTHER]
    assert {call.ending for call in others} == {"completed"}
