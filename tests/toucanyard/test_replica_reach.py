from __future__ import annotations

from toucanyard.names import ServiceName
from toucanyard.relay_events import ConnectionProbed
from toucanyard.replica_reach import (
    DOUBT_PROBES,
    FLAP_MS,
    MIN_FAILED_REPLICAS,
    RETURN_PROBE_MS,
    ReplicaReach,
)
from toucanyard.replicas import Replica, ReplicaDirectory

from .relay_examples import DESK, ENGINES, build_replica


def build_reach(names: str) -> tuple[ReplicaReach, dict[str, Replica]]:
    directory = ReplicaDirectory()
    replicas = {}
    for name in names:
        replicas[name] = build_replica(name, service=DESK, weights=())
        directory.apply(replicas[name], 0.0)
    directory.apply_services([DESK])
    return ReplicaReach(directory), replicas


def fail_all(reach: ReplicaReach, replicas: dict[str, Replica], at_ms: float) -> None:
    for replica in replicas.values():
        reach.record_failed(replica, at_ms, at_ms + 150.0)


def test_service_is_unreached_after_connects_to_several_replicas_have_failed() -> None:
    reach, replicas = build_reach("abcdefgh")
    for number, name in enumerate("aabcdef"):
        reach.record_failed(replicas[name], 100.0, 250.0)
        assert reach.is_unreached(DESK) is (number >= MIN_FAILED_REPLICAS)
    assert [entry.event for entry in reach.take_log_entries()] == ["service_unreached"]


def test_service_with_two_replicas_is_unreached_after_both_have_failed() -> None:
    reach, replicas = build_reach("ab")
    reach.record_failed(replicas["a"], 100.0, 250.0)
    assert not reach.is_unreached(DESK)
    reach.record_failed(replicas["b"], 100.0, 250.0)
    assert reach.is_unreached(DESK)


def test_replicas_that_end_together_do_not_make_the_others_unreached() -> None:
    """Guards against taking the loss of most replicas for a cut."""
    reach, replicas = build_reach("abcdef")
    for name in "abcd":
        reach.record_failed(replicas[name], 100.0, 101.0)
    probed = [each.replica for each in reach.probe(101.0)]
    assert set(probed) == {"e", "f"}
    assert not reach.is_unreached(DESK)
    reach.record_probe(ConnectionProbed(probed[0], True, 101.0), 103.0)
    assert list(reach.probe(1_000.0)) == []


def test_connect_that_began_before_another_one_succeeded_is_no_evidence() -> None:
    """Guards against blaming the network for connects that failed before."""
    reach, replicas = build_reach("abc")
    reach.record_connected(replicas["a"], 120.0, 200.0)
    fail_all(reach, replicas, 110.0)
    assert not reach.is_unreached(DESK)


def test_late_answer_of_an_earlier_connect_does_not_end_the_state() -> None:
    """Guards against taking responses on open connections for new connections."""
    reach, replicas = build_reach("abc")
    fail_all(reach, replicas, 110.0)
    reach.record_connected(replicas["a"], 100.0, 900.0)
    reach.record_connected(replicas["a"], 100.0, 9_000.0)
    assert reach.is_unreached(DESK)


def test_failed_connect_lets_others_be_tried_at_once() -> None:
    reach, replicas = build_reach("abcdefgh")
    reach.record_failed(replicas["a"], 100.0, 250.0)
    assert len(list(reach.probe(250.0))) == DOUBT_PROBES
    assert list(reach.probe(300.0)) == []


def test_loss_of_one_service_lets_all_others_be_tried() -> None:
    """Guards against a node that notices the loss of one service only."""
    directory = ReplicaDirectory()
    desk = build_replica("d", service=DESK, weights=())
    engine = build_replica("e", service=ENGINES)
    for each in (desk, engine):
        directory.apply(each, 0.0)
    directory.apply_services([DESK, ENGINES])
    reach = ReplicaReach(directory)
    reach.record_connected(engine, 50.0, 60.0)
    reach.record_failed(desk, 100.0, 250.0)
    assert not reach.is_cut_off(250.0)
    assert "e" in {each.replica for each in reach.probe(250.0)}
    reach.record_failed(engine, 250.0, 400.0)
    assert reach.is_cut_off(400.0)


def test_idle_node_checks_a_service_that_a_peer_has_lost() -> None:
    """Guards against forwarding calls to a node that is cut off and does not know."""
    reach, replicas = build_reach("abc")
    reach.record_connected(replicas["a"], 0.0, 5.0)
    assert list(reach.probe(2_000.0)) == []
    reach.record_peer_loss([DESK, ServiceName("unknown")], 2_000.0)
    assert len(list(reach.probe(2_000.0))) == 1


def test_service_is_reached_again_after_probes_have_succeeded_for_a_while() -> None:
    reach, replicas = build_reach("abc")
    fail_all(reach, replicas, 100.0)
    now_ms = 1_000.0
    while reach.is_unreached(DESK):
        for probe in list(reach.probe(now_ms)):
            probed = ConnectionProbed(probe.replica, True, now_ms)
            reach.record_probe(probed, now_ms + 2.0)
        now_ms += 25.0
    assert now_ms <= 1_000.0 + 3 * RETURN_PROBE_MS


def test_service_that_is_lost_again_soon_is_held_back_for_longer() -> None:
    """Guards against a node that places calls here and there by turns."""
    reach, replicas = build_reach("ab")
    away_ms = []
    now_ms = 0.0
    for _ in range(3):
        fail_all(reach, replicas, now_ms)
        begun_ms = now_ms = now_ms + 1_000.0
        while reach.is_unreached(DESK):
            now_ms += 50.0
            reach.record_connected(replicas["a"], now_ms, now_ms)
        away_ms.append(now_ms - begun_ms)
        now_ms += 500.0
    assert away_ms[0] < away_ms[1] < away_ms[2]
    now_ms += FLAP_MS
    fail_all(reach, replicas, now_ms)
    begun_ms = now_ms = now_ms + 1_000.0
    while reach.is_unreached(DESK):
        now_ms += 50.0
        reach.record_connected(replicas["a"], now_ms, now_ms)
    assert now_ms - begun_ms == away_ms[0]


def test_one_dead_replica_does_not_keep_a_service_unreached() -> None:
    """Guards against probes of a replica that has ended and is still listed."""
    reach, replicas = build_reach("abc")
    fail_all(reach, replicas, 100.0)
    now_ms = 1_000.0
    while reach.is_unreached(DESK) and now_ms < 5_000.0:
        for probe in list(reach.probe(now_ms)):
            is_connected = probe.replica != replicas["a"].name
            probed = ConnectionProbed(probe.replica, is_connected, now_ms)
            reach.record_probe(probed, now_ms + 2.0)
        now_ms += 25.0
    assert not reach.is_unreached(DESK)


def test_service_that_the_configuration_dropped_is_not_stated_as_unreached() -> None:
    """Guards against statements to peers about a service that no longer exists."""
    reach, replicas = build_reach("abc")
    fail_all(reach, replicas, 100.0)
    reach._directory.apply_services([ENGINES])
    assert reach.list_unreached() == ()
    assert not reach.is_cut_off(300.0)


def poll(
    reach: ReplicaReach, replicas: dict[str, Replica], ended: str, now_ms: float
) -> list[str]:
    """Poll all replicas at once, of which some have ended; return the log entries."""
    for name in ended:
        reach.record_failed(replicas[name], now_ms, now_ms + 1.0)
    for name, replica in replicas.items():
        if name not in ended:
            reach.record_connected(replica, now_ms, now_ms + 2.0)
    return [each.event for each in reach.take_log_entries()]


def test_entries_at_which_nobody_listens_do_not_cut_a_node_off_again_and_again() -> (
    None
):
    """Guards against weights that nobody orders as entries of others stay listed."""
    reach, replicas = build_reach("abcdefghijklmn")
    ended = "abcdefgh"
    lost = 0
    for step in range(40):
        lost += poll(reach, replicas, ended, step * 500.0).count("service_unreached")
    assert lost <= 1
    assert not reach.is_unreached(DESK)


def test_node_beside_such_entries_still_finds_that_it_is_cut_off() -> None:
    reach, replicas = build_reach("abcdefghijklmn")
    for step in range(4):
        poll(reach, replicas, "abcdefgh", step * 500.0)
    assert not reach.is_unreached(DESK)
    fail_all(reach, replicas, 3_000.0)
    assert reach.is_unreached(DESK)


def test_crashed_replicas_count_as_evidence_as_before() -> None:
    """Guards against crashes that conclude a cut sooner, or later, than they did."""
    reach, replicas = build_reach("abcd")
    poll(reach, replicas, "", 0.0)
    poll(reach, replicas, "ab", 500.0)
    for name in "cd":
        reach.record_failed(replicas[name], 1_000.0, 1_150.0)
    assert not reach.is_unreached(DESK)
    fail_all(reach, replicas, 1_000.0)
    assert reach.is_unreached(DESK)
