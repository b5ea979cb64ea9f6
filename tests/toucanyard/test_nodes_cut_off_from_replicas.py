"""Test that callers of nodes that reach no replica are served like all others."""

from __future__ import annotations

import pytest

from toucanyard.names import NodeName

from .cut_fleet import Cut, CutFleet, compute_served_share

LOAD_PER_S = 40.0
DETECTION_MS = 1_000.0
"""Time after the begin of a cut from which callers must not notice it."""
MIN_SERVED = 0.95
CUT_MS = 6_000.0
MAX_NODES_WITH_CALLS = 8
"""So few nodes that each gets enough calls in a large fleet."""
MODES = pytest.mark.parametrize("how", list(Cut))


def choose_nodes(fleet: CutFleet, share: str) -> list[NodeName]:
    names = list(fleet.cores)
    match share:
        case "one":
            return names[:1]
        case "half":
            return names[: len(names) // 2]
        case "all_but_one":
            return names[1:]
        case _:
            domain = fleet.cores[names[0]].options.domain
            return [n for n in names if fleet.cores[n].options.domain == domain][1:]


def check_served(nodes_each: int, how: Cut, share: str) -> None:
    fleet = CutFleet(3, nodes_each)
    fleet.play_calls(2_000.0, LOAD_PER_S)
    cut = choose_nodes(fleet, share)
    since_ms = fleet.now_ms + DETECTION_MS
    fleet.cut(cut, how)
    calls = fleet.play_calls(CUT_MS, LOAD_PER_S, nodes=cut[:MAX_NODES_WITH_CALLS])
    fleet.run_for(2_000.0)
    assert compute_served_share(calls, cut, since_ms) >= MIN_SERVED


@MODES
@pytest.mark.parametrize("share", ["one", "half", "all_but_one", "domain_but_one"])
def test_calls_at_nodes_that_reach_no_replica_are_served(how: Cut, share: str) -> None:
    """Guards against refusing calls at a node whose peers reach the replicas."""
    check_served(3, how, share)


@pytest.mark.parametrize(
    ("how", "share"), [(Cut.HANG, "half"), (Cut.REFUSE, "domain_but_one")]
)
def test_calls_at_cut_off_nodes_of_a_large_fleet_are_served(
    how: Cut, share: str
) -> None:
    """Guards against refusing calls at a node that is linked to hubs only."""
    check_served(23, how, share)


@MODES
def test_calls_at_other_nodes_are_served_beside_a_cut(how: Cut) -> None:
    """Guards against a cut node's failures taking replicas out of use at its peers."""
    fleet = CutFleet(3, 3)
    fleet.play_calls(2_000.0, LOAD_PER_S)
    names = list(fleet.cores)
    fleet.cut(names[:4], how)
    calls = fleet.play_calls(CUT_MS, LOAD_PER_S)
    fleet.run_for(2_000.0)
    assert compute_served_share(calls, names[4:], 0.0) >= 0.99


def test_callers_are_directed_to_nodes_that_reach_replicas() -> None:
    """Guards against naming nodes to callers that reach no replica."""
    fleet = CutFleet(3, 3)
    fleet.play_calls(2_000.0, LOAD_PER_S)
    names = list(fleet.cores)
    fleet.cut(names[:4], Cut.HANG)
    fleet.play_calls(2_000.0, LOAD_PER_S)
    own = {fleet.cores[name].own_record.callers for name in names[:4]}
    for core in fleet.cores.values():
        found = core.find_addresses(fleet.now_ms)
        assert found
        assert own.isdisjoint(found)
