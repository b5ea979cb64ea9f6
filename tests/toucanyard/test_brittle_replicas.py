"""Test that replicas which state that they are brittle are not made to fall over."""

from __future__ import annotations

import pytest

from .brittle_fleet import USUAL_ROOM, BrittleFleet
from .cut_fleet import Cut

BRITTLE_PER_S = 3.0
STATED_MS = 3_000.0
"""Time from the first statement until a replica may accept fewer calls."""
ROOM = 4
REPLICAS = 8
MAX_FALLS = 2 + REPLICAS // 10
FULL_LOAD_PER_S = 80.0
"""More than the replicas can run at once with less room."""
LOW_LOAD_PER_S = 40.0
SIZES = pytest.mark.parametrize("nodes_each", [3, 23], ids=["nodes-9", "nodes-69"])


def open_brittle_fleet(nodes_each: int, load_per_s: float) -> BrittleFleet:
    """Return a fleet whose replicas have stated that they are brittle for a while."""
    fleet = BrittleFleet(3, nodes_each)
    fleet.play_calls(1_000.0, load_per_s)
    fleet.brittleness = BRITTLE_PER_S
    fleet.play_calls(STATED_MS, load_per_s)
    return fleet


@SIZES
def test_brittle_replicas_with_less_room_do_not_fall_over(nodes_each: int) -> None:
    """Guards against rejections by which brittle replicas fall over in turn."""
    fleet = open_brittle_fleet(nodes_each, FULL_LOAD_PER_S)
    fleet.set_room(ROOM)
    calls = fleet.play_calls(6_000.0, FULL_LOAD_PER_S)
    fleet.run_for(2_000.0)
    assert len(fleet.falls) <= MAX_FALLS
    assert fleet.count_served(calls) >= 0.4


@SIZES
def test_brittle_replicas_with_room_serve_as_before(nodes_each: int) -> None:
    """Guards against a cap that costs calls while replicas have room."""
    fleet = open_brittle_fleet(nodes_each, LOW_LOAD_PER_S)
    calls = fleet.play_calls(4_000.0, LOW_LOAD_PER_S)
    fleet.run_for(2_000.0)
    assert fleet.falls == []
    assert fleet.count_served(calls) >= 0.99


def test_burst_at_brittle_replicas_does_not_make_them_fall_over() -> None:
    """Guards against learning of the lack of room from many rejections at once."""
    fleet = open_brittle_fleet(3, LOW_LOAD_PER_S)
    fleet.set_room(ROOM)
    fleet.play_calls(2_000.0, LOW_LOAD_PER_S)
    fleet.play_calls(500.0, 400.0)
    fleet.play_calls(2_000.0, LOW_LOAD_PER_S)
    assert len(fleet.falls) <= MAX_FALLS


def test_replica_that_is_back_is_met_with_few_calls() -> None:
    """Guards against a replica that falls over again as soon as it is back."""
    fleet = open_brittle_fleet(3, FULL_LOAD_PER_S)
    for engine in fleet.list_engines()[:4]:
        fleet.crash(engine.address)
    fleet.set_room(ROOM)
    fleet.play_calls(8_000.0, FULL_LOAD_PER_S)
    assert len(fleet.falls) <= MAX_FALLS


def test_room_is_used_again_once_replicas_are_no_longer_brittle() -> None:
    """Guards against keeping less than replicas accept."""
    fleet = open_brittle_fleet(3, FULL_LOAD_PER_S)
    fleet.set_room(ROOM)
    fleet.play_calls(3_000.0, FULL_LOAD_PER_S)
    fleet.set_room(USUAL_ROOM)
    fleet.brittleness = None
    fleet.play_calls(3_000.0, LOW_LOAD_PER_S)
    calls = fleet.play_calls(3_000.0, FULL_LOAD_PER_S)
    fleet.run_for(2_000.0)
    assert fleet.count_served(calls) >= 0.99


@SIZES
def test_cut_off_nodes_forward_calls_to_senders_of_brittle_replicas(
    nodes_each: int,
) -> None:
    """Guards against asking peers that place calls on none of the replicas."""
    fleet = open_brittle_fleet(nodes_each, LOW_LOAD_PER_S)
    names = list(fleet.cores)[:4]
    fleet.cut(names, Cut.HANG)
    fleet.play_calls(1_000.0, LOW_LOAD_PER_S, nodes=names)
    calls = fleet.play_calls(4_000.0, LOW_LOAD_PER_S, nodes=names)
    fleet.run_for(2_000.0)
    assert fleet.falls == []
    assert fleet.count_served(calls) >= 0.95
