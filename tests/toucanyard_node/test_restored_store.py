from __future__ import annotations

import random

import pytest
import trio

from toucanyard.keyed_view import Topic

from .polling_fleet import PollingFleet

BOUND_S = 2.0
"""Time from the store's confirmation until a version is in force on all nodes."""
AWAY_S = 1.0
"""How long the store is away before it returns from its copy."""
MODEL = "model"
MAX_GONE_READS = 4
"""Reads from past the end that one node may send after one restore: one for each topic
and one for a poll that was pending."""


async def start(fleet: PollingFleet, nursery: trio.Nursery) -> None:
    nursery.start_soon(fleet.run)
    await trio.sleep(4)


async def publish(fleet: PollingFleet, *versions: int, pause_s: float = 0.2) -> None:
    for version in versions:
        fleet.publish(version, trio.current_time())
        await trio.sleep(pause_s)


def find_wanted(fleet: PollingFleet) -> set[int]:
    """Return the versions of the weights that the nodes want."""
    targets = [node.core.weight_targets.find(MODEL) for node in fleet.nodes]
    return {0 if target is None else target.version for target in targets}


@pytest.mark.parametrize("count", [5, 69])
@pytest.mark.parametrize("lost", [1, 4])
async def test_version_confirmed_after_a_restore_is_in_force_in_time(
    autojump_clock: object, count: int, lost: int
) -> None:
    """Guards against taking records of a restored store for older than known ones."""
    rng = random.Random(count)
    fleet = PollingFleet(count)
    late: dict[int, float] = {}
    async with trio.open_nursery() as nursery:
        await start(fleet, nursery)
        version = 1
        for _ in range(3):
            await trio.sleep(rng.uniform(0.0, 4.0))
            fleet.store.take_copy()
            before = version
            version += lost
            await publish(fleet, *range(before + 1, version + 1))
            await fleet.restore_store(AWAY_S)
            await trio.sleep(rng.uniform(0.0, 3.0))
            version += 1
            fleet.publish(version, trio.current_time())
            await trio.sleep(BOUND_S + 1.0)
            late[version] = fleet.compute_propagation_s(version)
        nursery.cancel_scope.cancel()
    assert {each: s for each, s in late.items() if s > BOUND_S} == {}


async def test_versions_that_pass_the_old_end_at_once_are_all_read(
    autojump_clock: object,
) -> None:
    """Guards against reading on from an offset that now belongs to other records."""
    fleet = PollingFleet(5)
    async with trio.open_nursery() as nursery:
        await start(fleet, nursery)
        fleet.store.take_copy()
        await publish(fleet, *range(2, 6))
        await fleet.restore_store(AWAY_S)
        fleet.store.append(Topic.OPERATOR, MODEL, b"2")
        for version in range(6, 18):
            fleet.publish(version, trio.current_time())
        await trio.sleep(BOUND_S)
        propagation_s = fleet.compute_propagation_s(17)
        wanted = find_wanted(fleet)
        nursery.cancel_scope.cancel()
    assert propagation_s <= BOUND_S
    assert wanted == {2}


async def test_weights_named_after_a_restore_are_wanted_in_time(
    autojump_clock: object,
) -> None:
    """Guards against skipping weights whose offset is below the old end."""
    fleet = PollingFleet(5)
    async with trio.open_nursery() as nursery:
        await start(fleet, nursery)
        fleet.store.append(Topic.OPERATOR, MODEL, b"2")
        await trio.sleep(1.0)
        fleet.store.take_copy()
        await publish(fleet, *range(2, 6))
        await fleet.restore_store(AWAY_S)
        await trio.sleep(0.5)
        fleet.store.append(Topic.OPERATOR, MODEL, b"3")
        await trio.sleep(BOUND_S)
        wanted = find_wanted(fleet)
        nursery.cancel_scope.cancel()
    assert wanted == {3}


@pytest.mark.parametrize("count", [5, 69])
async def test_reads_past_the_end_are_not_repeated(
    autojump_clock: object, count: int
) -> None:
    """Guards against a read that fails at once and is sent again without a pause."""
    fleet = PollingFleet(count)
    async with trio.open_nursery() as nursery:
        await start(fleet, nursery)
        fleet.store.take_copy()
        await publish(fleet, *range(2, 6))
        await fleet.restore_store(AWAY_S)
        await trio.sleep(10.0)
        nursery.cancel_scope.cancel()
    assert len(fleet.store.gone_reads) <= MAX_GONE_READS * count


@pytest.mark.parametrize("count", [5, 69])
async def test_lost_version_is_kept_and_told_to_a_node_that_starts(
    autojump_clock: object, count: int
) -> None:
    """Guards against an older configuration of the copy, also on a new node."""
    fleet = PollingFleet(count)
    async with trio.open_nursery() as nursery:
        await start(fleet, nursery)
        fleet.store.append(Topic.OPERATOR, MODEL, b"2")
        await trio.sleep(1.0)
        fleet.store.take_copy()
        await publish(fleet, *range(2, 6))
        fleet.store.append(Topic.OPERATOR, MODEL, b"3")
        await trio.sleep(1.0)
        await fleet.restore_store(AWAY_S)
        await trio.sleep(1.0)
        added = fleet.add_node()
        await trio.sleep(BOUND_S)
        in_force = {node.version for node in fleet.nodes}
        wanted = find_wanted(fleet)
        nursery.cancel_scope.cancel()
    assert added.version == 5
    assert in_force == {5}
    assert wanted == {3}


@pytest.mark.parametrize(("count", "readers"), [(5, 1), (69, 69)], ids=["mesh", "hubs"])
async def test_topics_of_a_restored_store_are_read_by_few_or_spread(
    autojump_clock: object, count: int, readers: int
) -> None:
    """Guards against reads of all nodes at once, and against links full of copies."""
    fleet = PollingFleet(count)
    async with trio.open_nursery() as nursery:
        await start(fleet, nursery)
        for number in range(20):
            fleet.store.append(Topic.REPLICAS, f"r{number}", b"x")
        await trio.sleep(1.0)
        fleet.store.take_copy()
        await publish(fleet, 2, 3)
        await fleet.restore_store(AWAY_S)
        returned_s = trio.current_time()
        await trio.sleep(BOUND_S)
        eras = {
            (topic, node.core.exchange.views[topic].end.era)
            for node in fleet.nodes
            for topic in Topic
        }
        nursery.cancel_scope.cancel()
    assert eras == {(topic, 1) for topic in Topic}
    whole = [each for each in fleet.store.whole_reads if each[0] >= returned_s]
    for topic in (Topic.REPLICAS, Topic.NODES):
        names = [name for _, name, read in whole if read is topic]
        assert 1 <= len(set(names)) <= readers
        assert len(names) == len(set(names))
    most = max(
        sum(at_s <= other_s < at_s + 0.1 for other_s, _, read in whole if read is topic)
        for topic in (Topic.REPLICAS, Topic.NODES)
        for at_s, _, _ in whole
    )
    assert most <= max(readers // 2, 1)


async def disturb(fleet: PollingFleet, rng: random.Random) -> None:
    """Disturb some nodes for a while, right after the store's return."""
    names = [node.name for node in fleet.nodes]
    some = rng.sample(names, rng.randint(1, max(len(names) // 2, 1)))
    match rng.randrange(5):
        case 0:
            fleet.store.stop_answering(some)
        case 1:
            fleet.store.stop_answering(names)
        case 2:
            fleet.store.silent_topics.add(rng.choice(list(Topic)))
        case 3:
            fleet.unlinked.update(some[:1])
        case _:
            fleet.store.lose_reads(names)
    await trio.sleep(rng.uniform(0.1, 3.0))
    fleet.store.restore()
    fleet.unlinked.clear()


@pytest.mark.parametrize(("count", "seeds"), [(5, 12), (69, 2)], ids=["mesh", "hubs"])
async def test_drawn_troubles_around_restores_delay_no_version(
    autojump_clock: object, count: int, seeds: int
) -> None:
    """Guards against a restore that meets silence, cuts or another restore."""
    late: dict[tuple[int, int], float] = {}
    for seed in range(seeds):
        rng = random.Random(f"{seed} {count}")
        fleet = PollingFleet(count)
        version = 1
        async with trio.open_nursery() as nursery:
            await start(fleet, nursery)
            fleet.store.take_copy()
            for _ in range(5):
                if rng.random() < 0.8:
                    fleet.store.take_copy()
                for _ in range(rng.randint(0, 4)):
                    version += 1
                    await publish(fleet, version, pause_s=rng.uniform(0.0, 0.6))
                await fleet.restore_store(rng.uniform(0.0, 2.5))
                await disturb(fleet, rng)
                ended_s = trio.current_time()
                version += 1
                fleet.publish(version, ended_s)
                await trio.sleep(BOUND_S + rng.uniform(0.0, 1.0))
                late[(seed, version)] = fleet.compute_propagation_s(version)
            nursery.cancel_scope.cancel()
    assert {each: s for each, s in late.items() if s > BOUND_S} == {}


async def test_node_that_was_silent_over_two_restores_follows_again(
    autojump_clock: object,
) -> None:
    """Guards against a node that slept through one era and wakes in the next."""
    fleet = PollingFleet(5)
    asleep = fleet.nodes[2]
    async with trio.open_nursery() as nursery:
        await start(fleet, nursery)
        fleet.store.take_copy()
        await publish(fleet, 2, 3)
        fleet.unlinked.add(asleep.name)
        for versions in ((4, 5), (6, 7)):
            await fleet.restore_store(AWAY_S)
            fleet.store.stop_answering([asleep.name])
            await publish(fleet, *versions)
            await trio.sleep(1.0)
        before = asleep.version
        fleet.unlinked.clear()
        fleet.store.restore()
        await trio.sleep(BOUND_S)
        after = {node.version for node in fleet.nodes}
        nursery.cancel_scope.cancel()
    assert before < 7
    assert after == {7}
