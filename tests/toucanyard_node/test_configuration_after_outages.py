from __future__ import annotations

import random

import pytest
import trio

from toucanyard.keyed_view import Topic

from .polling_fleet import PollingFleet

MAX_PROPAGATION_S = 1.0
"""Time after confirmation by an answering store until all nodes have a version."""
TARGET_PROPAGATION_S = 0.5
"""The same while long polls are working."""
CLOSE_VERSIONS_S = 0.04
"""Time between versions that an operator sends one after another."""
CLOSE_OUTAGES_S = (0.5, 2.0, 3.5, 6.5, 9.0, 12.0, 16.0)
OUTAGE_DURATIONS_S = (
    0.5,
    1.0,
    1.5,
    2.0,
    2.5,
    3.0,
    3.5,
    4.0,
    4.5,
    5.0,
    5.5,
    5.8,
    6.5,
    8.0,
    12.0,
)


async def start(fleet: PollingFleet, nursery: trio.Nursery) -> None:
    nursery.start_soon(fleet.run)
    await trio.sleep(4)


@pytest.mark.parametrize("count", [9, 69])
async def test_configuration_is_in_force_in_time_after_the_store_was_silent(
    autojump_clock: object, count: int
) -> None:
    """A long poll that began while the store was silent misses later versions."""
    rng = random.Random(count)
    fleet = PollingFleet(count)
    version = 1
    late: dict[tuple[float, int], float] = {}
    async with trio.open_nursery() as nursery:
        await start(fleet, nursery)
        for silent_s in OUTAGE_DURATIONS_S if count == 9 else OUTAGE_DURATIONS_S[1::3]:
            await trio.sleep(rng.uniform(0.0, 4.0))
            fleet.store.stop_answering(node.name for node in fleet.nodes)
            await trio.sleep(silent_s)
            fleet.store.restore()
            for after_s in (0.02, 0.8):
                await trio.sleep(after_s)
                version += 1
                fleet.publish(version, trio.current_time())
            await trio.sleep(3)
            late |= {
                (silent_s, each): fleet.compute_propagation_s(each)
                for each in (version - 1, version)
            }
        nursery.cancel_scope.cancel()
    assert {case: each for case, each in late.items() if each > MAX_PROPAGATION_S} == {}


@pytest.mark.parametrize("is_silent", [True, False], ids=["silent", "refusing"])
async def test_versions_that_follow_closely_after_an_outage_are_all_in_force(
    autojump_clock: object, is_silent: bool
) -> None:
    """Guards against reading the first of several versions and pausing before more.

    Outages end at a phase of the nodes' reads that is drawn for each.
    """
    rng = random.Random(18)
    fleet = PollingFleet(9)
    version = 1
    late: dict[tuple[float, int], float] = {}
    async with trio.open_nursery() as nursery:
        await start(fleet, nursery)
        for outage_s in CLOSE_OUTAGES_S:
            await trio.sleep(rng.uniform(0.0, 2.0))
            if is_silent:
                fleet.store.stop_answering(node.name for node in fleet.nodes)
            else:
                fleet.store.refuse()
            await trio.sleep(outage_s)
            fleet.store.restore()
            await trio.sleep(rng.uniform(0.0, 1.2))
            for _ in range(3):
                await trio.sleep(CLOSE_VERSIONS_S)
                version += 1
                fleet.publish(version, trio.current_time())
            await trio.sleep(2)
            late |= {
                (outage_s, each): fleet.compute_propagation_s(each)
                for each in (version - 2, version - 1, version)
            }
        nursery.cancel_scope.cancel()
    assert {c: each for c, each in late.items() if each > TARGET_PROPAGATION_S} == {}


async def test_configuration_is_in_force_in_time_after_open_connections_fell_silent(
    autojump_clock: object,
) -> None:
    """Pending polls are never answered, while new connections are."""
    rng = random.Random(3)
    fleet = PollingFleet(9)
    late = {}
    async with trio.open_nursery() as nursery:
        await start(fleet, nursery)
        for version in range(2, 10):
            await trio.sleep(rng.uniform(0.0, 4.0))
            fleet.store.lose_reads(node.name for node in fleet.nodes)
            await trio.sleep(rng.uniform(0.0, 1.0))
            fleet.publish(version, trio.current_time())
            await trio.sleep(3)
            late[version] = fleet.compute_propagation_s(version)
        nursery.cancel_scope.cancel()
    assert {each: s for each, s in late.items() if s > 2 * MAX_PROPAGATION_S} == {}


async def test_lost_polls_are_replaced_once_a_change_is_known(
    autojump_clock: object,
) -> None:
    """Without new polls, later changes would wait for the next periodic read."""
    rng = random.Random(6)
    fleet = PollingFleet(9)
    late = []
    async with trio.open_nursery() as nursery:
        await start(fleet, nursery)
        for version in range(2, 12, 2):
            await trio.sleep(rng.uniform(0.0, 4.0))
            fleet.store.lose_reads(node.name for node in fleet.nodes)
            fleet.publish(version, trio.current_time())
            await trio.sleep(2 * MAX_PROPAGATION_S + rng.uniform(0.0, 1.0))
            fleet.publish(version + 1, trio.current_time())
            await trio.sleep(1)
            late.append(fleet.compute_propagation_s(version + 1))
        nursery.cancel_scope.cancel()
    assert max(late) <= TARGET_PROPAGATION_S


async def test_calm_store_is_not_asked_more_often_for_bounded_ages(
    autojump_clock: object,
) -> None:
    """With polls of 3.9 s alone, there were 207 reads of all topics in 40 s."""
    fleet = PollingFleet(9)
    async with trio.open_nursery() as nursery:
        await start(fleet, nursery)
        await trio.sleep(6)
        begun_s = trio.current_time()
        await trio.sleep(40)
        reads = fleet.store.count_reads(begun_s, begun_s + 40)
        nursery.cancel_scope.cancel()
    assert reads <= 207


async def test_configuration_is_in_force_in_time_at_a_node_that_only_reaches_the_store(
    autojump_clock: object,
) -> None:
    """The store was silent for one node, which has no links to other nodes."""
    rng = random.Random(4)
    fleet = PollingFleet(9)
    alone = fleet.nodes[4]
    late = {}
    async with trio.open_nursery() as nursery:
        await start(fleet, nursery)
        fleet.unlinked = {alone.name}
        for version, silent_s in enumerate((1.0, 2.0, 3.0, 4.5, 5.8, 7.0), start=2):
            await trio.sleep(rng.uniform(0.0, 4.0))
            fleet.store.stop_answering([alone.name])
            await trio.sleep(silent_s)
            fleet.store.restore()
            await trio.sleep(0.02)
            fleet.publish(version, trio.current_time())
            await trio.sleep(3)
            late[silent_s] = fleet.compute_propagation_s(version)
        nursery.cancel_scope.cancel()
    assert {each: s for each, s in late.items() if s > MAX_PROPAGATION_S} == {}


async def test_configuration_is_in_force_in_time_after_its_topic_alone_was_silent(
    autojump_clock: object,
) -> None:
    """Reads of other topics were answered during the outage."""
    rng = random.Random(5)
    fleet = PollingFleet(9)
    late = {}
    async with trio.open_nursery() as nursery:
        await start(fleet, nursery)
        for version, silent_s in enumerate((1.0, 2.5, 4.0, 5.8, 9.0), start=2):
            await trio.sleep(rng.uniform(0.0, 4.0))
            fleet.store.silent_topics = {Topic.OPERATOR}
            fleet.store.lose_reads(node.name for node in fleet.nodes)
            await trio.sleep(silent_s)
            fleet.store.restore()
            await trio.sleep(0.02)
            fleet.publish(version, trio.current_time())
            await trio.sleep(3)
            late[silent_s] = fleet.compute_propagation_s(version)
        nursery.cancel_scope.cancel()
    assert {each: s for each, s in late.items() if s > MAX_PROPAGATION_S} == {}
