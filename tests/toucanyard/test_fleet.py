"""Tests of long outages of shared services, with many cores in virtual time."""

from __future__ import annotations

import pytest

from toucanyard.configuration import Customer
from toucanyard.names import CustomerName, EndpointName
from toucanyard.patches import Put

from .fleet_fakes import AWAY, HOME, FleetWorld, check_answers, find_accepted

MINUTE_MS = 60_000.0
LEAVING_KNOWN_MS = 3_000.0
QUIET_STEP_MS = 2_000.0


def build_small_put(number: int) -> Put:
    return Put(
        customers=(Customer(CustomerName(f"c{number}"), (f"{number + 1:064}",)),)
    )


def start(world: FleetWorld) -> None:
    world.run(2_000)
    world.submit(world.nodes[0], "first", world.build_put("w1"))
    world.run(3_000)
    assert {version for version, _ in world.find_versions()} == {1}, world.answers


@pytest.mark.parametrize("seed", range(8))
def test_patches_race_while_the_log_is_slow_for_minutes(seed: int) -> None:
    """Reads and appends take up to 3 s; two fifths of the appends are refused, lost or
    unanswered. Operators submit patches on the same version through different nodes.

    Each operator gets a correct answer, versions advance meanwhile and never decrease
    on any node, and all nodes have the same version once the log is fast again.
    """
    world = FleetWorld(home=4, away=0, engines=2, seed=seed)
    start(world)
    world.log_delay_range_ms, world.bad_share = (500.0, 3_000.0), 0.4
    for number in range(12):
        for node in world.rng.sample(world.nodes, 2):
            patch_id = f"p{number}-{node.name}"
            world.submit(node, patch_id, build_small_put(number))
        world.run(world.rng.uniform(1_000, 15_000))
    assert world.find_current().version >= 5
    world.log_delay_range_ms, world.bad_share = (20.0, 20.0), 0.0
    world.run(16_000)
    assert len(world.find_versions()) == 1
    check_answers(world)


@pytest.mark.parametrize("kept_minutes", [20, 90])
def test_regions_that_lost_each_other_for_an_hour_come_together(
    kept_minutes: int,
) -> None:
    """The region without the log and the VM list is partitioned from the other, which
    meanwhile accepts patches and new weights and loses an endpoint. A node of each
    region restarts; in one case all records of the hour expire.

    No version reverts, and no two nodes hold the pool lease at once. Once the partition
    heals, the nodes agree within 5 s, the remote endpoints get their weights, and no
    node sends requests to the endpoint that left.
    """
    world = FleetWorld(home=3, away=3, engines=3)
    world.retention_ms = kept_minutes * MINUTE_MS
    start(world)
    world.run(MINUTE_MS, 500.0)
    world.is_partitioned = True
    for number in range(6):
        world.run(5 * MINUTE_MS, QUIET_STEP_MS)
        world.submit(world.nodes[0], f"p{number}", build_small_put(number))
    world.run(5_000)
    away = world.nodes[4].core.configuration
    assert away.version == 1
    world.restart(1)
    world.restart(4)
    world.submit(world.nodes[0], "weights", world.build_put("w2"))
    leaving = EndpointName(f"{HOME}-1")
    world.leaving.add(leaving)
    left_ms = world.now_ms
    for number in range(6, 12):
        world.run(5 * MINUTE_MS, QUIET_STEP_MS)
        world.submit(world.nodes[0], f"p{number}", build_small_put(number))
    world.run(5_000)
    assert world.nodes[0].core.configuration.version == 14
    assert world.nodes[4].core.configuration.version == 1
    assert world.engines[EndpointName(f"{HOME}-0")].state.weights_version == "w2"
    assert world.engines[EndpointName(f"{AWAY}-0")].state.weights_version == "w1"
    world.is_partitioned = False
    healed_ms = world.now_ms
    world.run(5_000)
    assert {version for version, _ in world.find_versions()} == {14}
    assert len(world.find_versions()) == 1
    world.run(2 * MINUTE_MS)
    weights = {each.state.weights_version for each in world.engines.values()}
    assert weights == {"w2"}
    assert world.most_holders == 1
    assert len(find_accepted(world)) >= 14
    known_ms = {HOME: left_ms, AWAY: healed_ms}
    late = [
        each
        for each in world.sent
        if each.endpoint == leaving
        and each.at_ms > known_ms[each.region] + LEAVING_KNOWN_MS
    ]
    assert not late
    assert any(each.region == AWAY and each.at_ms > left_ms for each in world.sent)
