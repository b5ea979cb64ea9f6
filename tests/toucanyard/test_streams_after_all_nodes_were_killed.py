"""Test that no stream is joined from two versions after all nodes were killed."""

from __future__ import annotations

import pytest

from .version_fleet import VersionFleet, count_mixed, count_resumed

LEAD_MS = 3_000.0
SETTLE_MS = 7_000.0
SIZES = pytest.mark.parametrize(
    ("domains", "nodes_each"), [(1, 5), (3, 28)], ids=["5", "84"]
)


def play_before(fleet: VersionFleet) -> None:
    """Begin streams, half of which their callers break off and take up."""
    fleet.play_streams(LEAD_MS, leaving_share=0.5)


def check_not_joined(fleet: VersionFleet) -> None:
    """Check that streams were taken up, and that none has two versions."""
    fleet.run_for(SETTLE_MS)
    assert count_resumed(fleet.streams) > 0
    assert count_mixed(fleet.streams) == 0


@SIZES
def test_version_that_left_before_the_kill_is_no_version_that_never_was(
    domains: int, nodes_each: int
) -> None:
    """Guards against nodes that know only what they have seen since their start."""
    fleet = VersionFleet(domains, nodes_each)
    play_before(fleet)
    fleet.drop_version("v1")
    fleet.run_for(100.0)
    fleet.kill_and_restart_all()
    check_not_joined(fleet)


@SIZES
def test_version_that_leaves_with_the_nodes_still_counts(
    domains: int, nodes_each: int
) -> None:
    """Guards against a version that is gone by the time of the first list."""
    fleet = VersionFleet(domains, nodes_each)
    play_before(fleet)
    fleet.drop_version("v1")
    fleet.kill_and_restart_all()
    check_not_joined(fleet)


@SIZES
def test_entries_that_expire_for_a_moment_hide_no_version(
    domains: int, nodes_each: int
) -> None:
    """Guards against a first list from which entries have expired in an outage."""
    fleet = VersionFleet(domains, nodes_each)
    play_before(fleet)
    fleet.hide_version("v1", for_ms=2_000.0)
    fleet.kill_and_restart_all()
    check_not_joined(fleet)


@SIZES
def test_repeated_kills_make_no_version_forgotten(
    domains: int, nodes_each: int
) -> None:
    """Guards against knowledge that only the first restart reads."""
    fleet = VersionFleet(domains, nodes_each)
    play_before(fleet)
    fleet.drop_version("v1")
    for _ in range(3):
        fleet.kill_and_restart_all()
        fleet.play_streams(500.0, leaving_share=0.5)
    check_not_joined(fleet)
