from __future__ import annotations

import msgspec
from emulator_examples import build_scenario

from toucanyard.keyed_view import Topic
from toucanyard.log_position import START
from toucanyard.relay_policy import RelayPolicy
from toucanyard_emulator.arrivals import generate_arrivals
from toucanyard_emulator.runner import run_scenario, run_simulation
from toucanyard_emulator.scenario import (
    Burst,
    Crash,
    GrayFailure,
    HotSubject,
    LateOrders,
    NewWeights,
    NodesKilled,
    ScaleIn,
    ScaleOut,
    Slowdown,
    StoreDown,
    StoreRestored,
)

POLICY = RelayPolicy()


def test_calm_run_serves_everything() -> None:
    result = run_scenario(build_scenario(), POLICY, 1)
    assert result.failed == 0
    assert result.whole > 0.95


def test_same_seed_gives_the_same_bytes_and_another_one_others() -> None:
    scenario = build_scenario(NewWeights(at_s=2.0), Crash(at_s=3.0, for_s=1.0))
    one, two, three = (
        msgspec.json.encode(run_scenario(scenario, POLICY, seed)) for seed in (1, 1, 2)
    )
    assert one == two
    assert one != three


def test_variants_meet_the_same_arrivals() -> None:
    scenario = build_scenario()
    assert generate_arrivals(scenario, 5) == generate_arrivals(scenario, 5)
    assert generate_arrivals(scenario, 5) != generate_arrivals(scenario, 6)


def test_burst_and_hot_subject_change_what_comes() -> None:
    calm = generate_arrivals(build_scenario(), 1)
    burst = generate_arrivals(build_scenario(Burst(at_s=2.0, for_s=4.0, factor=3.0)), 1)
    assert len(burst) > 1.5 * len(calm)
    hot = HotSubject(at_s=0.0, for_s=8.0, kind="long", share=1.0)
    arrivals = generate_arrivals(build_scenario(hot), 1)
    subjects = {each.blocks[0].name for each in arrivals if each.blocks}
    assert len(subjects) == 1


def test_weights_named_before_a_restore_reach_all_engines() -> None:
    """Guards against nodes that drop what is written to a restored store."""
    restored = StoreRestored(at_s=1.0, lost_s=1.0, for_s=0.5, again_s=0.5)
    faults = (restored, NewWeights(at_s=1.5), NewWeights(at_s=4.0))
    simulation = run_simulation(build_scenario(*faults), POLICY, 1)
    assert simulation.store.era == 1
    assert {each.version for each in simulation.pool.list_engines()} == {3}
    assert {node.core.era.era for node in simulation.nodes} == {1}
    for node in simulation.nodes:
        assert all(view.end.era == 1 for view in node.core.exchange.views.values())
        assert not any(
            view.count_unconfirmed() for view in node.core.exchange.views.values()
        )


def test_every_call_ends_once_under_every_fault() -> None:
    """All faults occur within a few seconds, and every call still ends exactly once.

    A call that never ends would be missing from the totals and improve the result.
    """
    scenario = build_scenario(
        NewWeights(at_s=1.0),
        LateOrders(at_s=0.5, for_s=3.0),
        Crash(at_s=1.5, for_s=1.0, keeps_id=True),
        GrayFailure(at_s=2.0, for_s=2.0),
        Slowdown(at_s=2.0, for_s=2.0),
        StoreDown(at_s=2.0, for_s=1.0, nodes=1),
        StoreRestored(at_s=1.0, lost_s=1.5, for_s=0.5),
        NodesKilled(at_s=3.0, for_s=0.3, count=1),
        Crash(at_s=4.0, for_s=1.0, is_silent=True),
        NodesKilled(at_s=5.0, for_s=0.3),
        ScaleIn(at_s=6.0),
        ScaleOut(at_s=6.2, count=2),
        NewWeights(at_s=6.5),
    )
    for seed in (1, 2):
        simulation = run_simulation(scenario, POLICY, seed)
        numbers = sorted(each.arrival.number for each in simulation.outcomes)
        assert numbers == list(range(len(generate_arrivals(scenario, seed))))


def test_new_weights_reach_all_engines() -> None:
    simulation = run_simulation(build_scenario(NewWeights(at_s=2.0)), POLICY, 1)
    assert {each.version for each in simulation.pool.list_engines()} == {2}


def test_replicas_that_join_are_listed_and_get_calls() -> None:
    """Two empty engines join three that are in use, and get some of the later calls.

    They must have the newest weights, or no call would be sent to them.
    """
    scenario = build_scenario(NewWeights(at_s=1.0), ScaleOut(at_s=3.0, count=2))
    simulation = run_simulation(scenario, POLICY, 1)
    joined = simulation.pool.list_engines()[3:]
    assert [each.version for each in joined] == [2, 2]
    assert all(each.cache.changes for each in joined)


def test_replica_that_starts_again_under_its_id_is_another_life() -> None:
    fault = Crash(at_s=2.0, for_s=1.0, keeps_id=True)
    simulation = run_simulation(build_scenario(fault), POLICY, 1)
    read = simulation.store.read(Topic.REPLICAS, START)
    listed = {each.key for each in read.records}
    assert len(listed) == 5
    assert len(simulation.pool.list_engines()) == 3
    core = simulation.nodes[0].core
    names = {each.name for each in simulation.pool.list_engines()}
    usable = core.directory.find_usable(core.index.table.services[0].name, 1e9)
    assert {each.replica.name for each in usable} == names
