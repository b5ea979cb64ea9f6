"""Test that no stream has events of two software versions, and that streams go on."""

from __future__ import annotations

import pytest

from .version_fleet import (
    VersionFleet,
    compute_begun_share,
    compute_resumed_share,
    count_mixed,
    count_mixed_answers,
)

PLAY_MS = 18_000.0
SETTLE_MS = 7_000.0
MIN_RESUMED = 0.5
"""Least share of streams that go on, relative to the share of new ones that begin."""
KINDS = pytest.mark.parametrize("is_prompt", [False, True], ids=["plain", "prompt"])
ONE_NEW = ("v1",) * 7 + ("v1.2",)


def check_resumed(fleet: VersionFleet) -> None:
    begun = compute_begun_share(fleet.streams)
    assert compute_resumed_share(fleet.streams) >= MIN_RESUMED * begun


@KINDS
def test_answer_never_goes_on_at_another_version(is_prompt: bool) -> None:
    """Guards against a retry that joins events of two versions in one answer."""
    fleet = VersionFleet(is_prompt=is_prompt)
    fleet.crash_in_turn(1_000.0, fleet.now_ms + PLAY_MS)
    fleet.play_streams(PLAY_MS)
    fleet.run_for(SETTLE_MS)
    assert count_mixed_answers(fleet.streams) == 0
    assert compute_begun_share(fleet.streams) >= 0.9


@KINDS
def test_broken_streams_go_on_at_their_version(is_prompt: bool) -> None:
    """Guards against a second node that guesses the version of a broken stream."""
    fleet = VersionFleet(versions=ONE_NEW, is_prompt=is_prompt)
    fleet.crash_in_turn(1_000.0, fleet.now_ms + PLAY_MS)
    fleet.play_streams(PLAY_MS, leaving_share=0.5)
    fleet.run_for(SETTLE_MS)
    assert count_mixed(fleet.streams) == 0
    check_resumed(fleet)


@KINDS
def test_calm_streams_go_on_at_any_node(is_prompt: bool) -> None:
    """Guards against streams that are refused though their version has room."""
    fleet = VersionFleet(is_prompt=is_prompt)
    fleet.play_streams(PLAY_MS / 3, leaving_share=0.5)
    fleet.run_for(SETTLE_MS)
    assert count_mixed(fleet.streams) == 0
    assert compute_resumed_share(fleet.streams) >= 0.99


@KINDS
def test_streams_end_with_the_last_replica_of_their_version(is_prompt: bool) -> None:
    """Guards against going on elsewhere when a version's replicas are gone for good."""
    fleet = VersionFleet(versions=ONE_NEW, is_prompt=is_prompt)
    for address in fleet.list_addresses("v1"):
        fleet.after(8_000.0, lambda address=address: fleet.end_for_good(address))  # type: ignore[misc]
    fleet.play_streams(PLAY_MS, leaving_share=0.5)
    fleet.run_for(SETTLE_MS)
    assert count_mixed(fleet.streams) == 0


@KINDS
def test_streams_of_killed_nodes_go_on_at_their_version(is_prompt: bool) -> None:
    """Guards against knowledge of a stream that ends with the node that began it."""
    fleet = VersionFleet(is_prompt=is_prompt)
    until_ms = fleet.now_ms + PLAY_MS
    fleet.kill_in_turn(1_200.0, until_ms)
    fleet.crash_in_turn(600.0, until_ms)
    fleet.play_streams(PLAY_MS)
    fleet.run_for(SETTLE_MS)
    assert count_mixed(fleet.streams) == 0
    check_resumed(fleet)


def test_streams_of_a_large_fleet_go_on_at_their_version() -> None:
    """Guards against knowledge that does not cross the hubs of a large fleet."""
    fleet = VersionFleet(3, 23)
    until_ms = fleet.now_ms + 6_000.0
    fleet.kill_in_turn(1_200.0, until_ms)
    fleet.crash_in_turn(600.0, until_ms)
    fleet.play_streams(6_000.0, leaving_share=0.3)
    fleet.run_for(SETTLE_MS)
    assert count_mixed(fleet.streams) == 0
    check_resumed(fleet)
