from __future__ import annotations

import pytest

from toucanyard.first_configuration import MAX_HOLD_MS
from toucanyard.keyed_view import KeyedRecord, Topic
from toucanyard.leases import ACTIVE_MS, MARGIN_MS
from toucanyard.names import CustomerName, Fingerprint, NodeName
from toucanyard.quarantine import QuarantinedRequest, WriteQuarantine
from toucanyard.relay_events import (
    AppendLease,
    LeaseRead,
    LogEntry,
    QuarantineWritten,
    StoreEraSeen,
    TickPassed,
    TopicRead,
)
from toucanyard.target_weights import WantedWeights

from .relay_examples import ENGINES, MODEL, OPTIONS, build_replica, build_table
from .relay_fleet import Fleet, put

HEARTBEAT_MS = 1_000.0
LEASE_MS = float(OPTIONS.weights.lease_ms)
REQUEST = QuarantinedRequest(Fingerprint("f"), "7a", CustomerName("c"), "r", ())


class RestoredFleet(Fleet):
    """Meshed nodes whose first one reads the store."""

    def read_all(
        self, topic: Topic, era: int, *facts: tuple[str, object], end: int | None = None
    ) -> None:
        """Let the first node read a whole topic."""
        records = tuple(
            KeyedRecord(key, offset, put(fact), era)
            for offset, (key, fact) in enumerate(facts)
        )
        end = len(records) if end is None else end
        read = TopicRead(topic, records, end, True, self.now_ms, era=era)
        self.handle(next(iter(self.cores)), read)

    def read_one(
        self, topic: Topic, era: int, offset: int, key: str, fact: object | None
    ) -> None:
        value = None if fact is None else put(fact)
        record = KeyedRecord(key, offset, value, era)
        read = TopicRead(topic, (record,), offset + 1, False, self.now_ms, era=era)
        self.handle(next(iter(self.cores)), read)

    def list_usable(self, name: str) -> list[str]:
        found = self.core(name).directory.find_usable(ENGINES, self.now_ms)
        return sorted(each.replica.name for each in found)


def build_fleet(*names: str) -> RestoredFleet:
    fleet = RestoredFleet(*names)
    fleet.read_all(Topic.OPERATOR, 0, ("config", build_table(version=1)))
    return fleet


def list_facts(*names: str) -> list[tuple[str, object]]:
    return [(name, build_replica(name)) for name in names]


def test_replica_that_joined_in_the_lost_time_stays_usable_until_it_writes() -> None:
    """Guards against taking replicas for dead that the copy does not list yet."""
    fleet = build_fleet("a", "b")
    fleet.read_all(Topic.REPLICAS, 0, *list_facts("r1", "r2", "r3"))
    fleet.run(500.0)
    fleet.read_all(Topic.REPLICAS, 1, *list_facts("r1", "r2"))
    for name in ("a", "b"):
        assert fleet.list_usable(name) == ["r1", "r2", "r3"]
    fleet.run(HEARTBEAT_MS)
    fleet.read_one(Topic.REPLICAS, 1, 2, "r3", build_replica("r3"))
    fleet.run(5_000.0)
    for name in ("a", "b"):
        assert fleet.list_usable(name) == ["r1", "r2", "r3"]


def test_replica_that_does_not_write_again_is_gone() -> None:
    """Guards against calls to a replica that ended while the store was away."""
    fleet = build_fleet("a", "b")
    fleet.read_all(Topic.REPLICAS, 0, *list_facts("r1", "r2", "r3"))
    fleet.run(500.0)
    fleet.read_all(Topic.REPLICAS, 1, *list_facts("r1", "r2"))
    fleet.run(2_000.0)
    for name in ("a", "b"):
        assert fleet.list_usable(name) == ["r1", "r2"]


def test_replica_that_left_does_not_come_back_with_the_copy() -> None:
    """Guards against calls to a replica whose leave the store has lost."""
    fleet = build_fleet("a", "b")
    fleet.read_all(Topic.REPLICAS, 0, *list_facts("r1", "r2"))
    draining = build_replica("r1", is_draining=True)
    fleet.read_one(Topic.REPLICAS, 0, 2, "r1", draining)
    fleet.run(500.0)
    fleet.read_one(Topic.REPLICAS, 0, 3, "r1", None)
    fleet.run(500.0)
    fleet.read_all(Topic.REPLICAS, 1, *list_facts("r1", "r2"))
    for name in ("a", "b"):
        assert fleet.list_usable(name) == ["r2"]


def test_weights_are_never_wanted_backwards() -> None:
    """Guards against loading weights that the copy names but that are replaced."""
    fleet = build_fleet("a", "b")
    fleet.read_all(
        Topic.OPERATOR,
        0,
        ("config", build_table(version=1)),
        ("m", WantedWeights(MODEL, 3)),
    )
    fleet.read_all(
        Topic.OPERATOR,
        1,
        ("config", build_table(version=1)),
        ("m", WantedWeights(MODEL, 2)),
    )
    for core in fleet.cores.values():
        target = core.weight_targets.find(MODEL)
        assert target is not None
        assert target.version == 3


@pytest.mark.parametrize("store_era", [1, 3])
def test_answer_of_an_earlier_copy_is_dropped(store_era: int) -> None:
    """Guards against a late answer that lists what the copy has replaced."""
    fleet = build_fleet("a")
    fleet.read_all(Topic.REPLICAS, store_era, *list_facts("r1"))
    late = TopicRead(Topic.REPLICAS, (), 99, True, fleet.now_ms)
    entries = fleet.core("a").handle(late, fleet.now_ms)
    assert fleet.list_usable("a") == ["r1"]
    names = [each.event for each in entries if isinstance(each, LogEntry)]
    assert "store_answer_outdated" in names


def test_all_topics_are_read_again_once_any_answer_states_a_new_era() -> None:
    """Guards against waiting for the age of a topic that the store has replaced."""
    fleet = build_fleet("a")
    core = fleet.core("a")
    for topic in Topic:
        fleet.read_all(topic, 0)
        core.reads.record_read_started(topic, fleet.now_ms)
    fleet.run(300.0)
    assert not any(core.reads.is_due(topic, fleet.now_ms) for topic in Topic)
    entries = core.handle(StoreEraSeen(2), fleet.now_ms)
    assert all(core.reads.is_due(topic, fleet.now_ms) for topic in Topic)
    (entry,) = [each for each in entries if isinstance(each, LogEntry)]
    assert entry == LogEntry(
        "store_era_changed", {"era": 2, "before": 0, "source": "store"}
    )


def test_node_that_cannot_read_learns_of_the_era_from_a_peer() -> None:
    """Guards against a node that is cut off from the store and keeps the old order."""
    fleet = build_fleet("a", "b")
    fleet.read_all(Topic.REPLICAS, 0, *list_facts("r1"))
    fleet.isolated_nodes.add("b")
    fleet.read_all(Topic.REPLICAS, 2, *list_facts("r1", "r2"))
    fleet.isolated_nodes.clear()
    fleet.run(2_000.0)
    assert fleet.core("b").era.era == 2
    assert fleet.list_usable("b") == ["r1", "r2"]


def test_quarantine_that_the_store_has_lost_still_holds_and_reaches_new_nodes() -> None:
    """Guards against a request that crashes replicas again after a restore."""
    fleet = build_fleet("a", "b")
    fleet.read_all(Topic.NODES, 0, ("quarantine/f", REQUEST))
    fleet.read_all(Topic.NODES, 1)
    fleet.add(NodeName("c"), 2)
    fleet.link()
    fleet.run(3_000.0)
    for core in fleet.cores.values():
        assert core.guard.quarantine.is_held(REQUEST.fingerprint)


def test_quarantine_that_was_written_but_never_read_is_written_again() -> None:
    """Guards against a verdict that is lost with the store's last moment."""
    fleet = build_fleet("a")
    core = fleet.core("a")
    fleet.read_all(Topic.NODES, 0, ("a", core.own_record))
    core.guard.quarantine.begin(REQUEST.fingerprint, REQUEST.customer, "r", (), 0.0)
    core.handle(QuarantineWritten(REQUEST.fingerprint), 0.0)
    fleet.read_all(Topic.NODES, 1, ("a", core.own_record))
    actions = [
        action
        for step in range(40)
        for action in core.handle(TickPassed(), 25.0 * step)
    ]
    written = [each for each in actions if isinstance(each, WriteQuarantine)]
    assert [each.request.fingerprint for each in written] == [REQUEST.fingerprint]


def test_late_acknowledgement_of_the_copy_before_does_not_count() -> None:
    """Guards against a record whose loss is known before its acknowledgement."""
    fleet = build_fleet("a")
    core = fleet.core("a")
    own = ("a", core.own_record)
    fleet.read_all(Topic.NODES, 0, own)
    core.guard.quarantine.begin(REQUEST.fingerprint, REQUEST.customer, "r", (), 0.0)
    writes = []
    for step in range(200):
        now_ms = 25.0 * step
        if step == 20:
            fleet.read_all(Topic.NODES, 1, own)
            core.handle(QuarantineWritten(REQUEST.fingerprint, 0), now_ms)
        actions = core.handle(TickPassed(), now_ms)
        writes += [now_ms for each in actions if isinstance(each, WriteQuarantine)]
    assert len(writes) >= 2
    core.handle(QuarantineWritten(REQUEST.fingerprint, 1), 5_000.0)
    actions = [
        action
        for step in range(200)
        for action in core.handle(TickPassed(), 5_000.0 + 25.0 * step)
    ]
    assert not any(isinstance(each, WriteQuarantine) for each in actions)


def test_era_that_the_leases_show_first_is_logged() -> None:
    """Guards against a restore without a line in the log."""
    core = build_fleet("a").core("a")
    entries = core.handle(LeaseRead((), 0, 4), 0.0)
    names = [each.event for each in entries if isinstance(each, LogEntry)]
    assert "store_era_changed" in names


def test_lease_waits_after_a_restore_that_any_answer_has_stated() -> None:
    """Guards against a lease that is taken while the lost holder still uses it."""
    fleet = build_fleet("a")
    fleet.read_all(Topic.REPLICAS, 0, *list_facts("r1"))
    core = fleet.core("a")
    core.handle(StoreEraSeen(1), fleet.now_ms)
    core.handle(LeaseRead((), 0, 1), fleet.now_ms)
    leases = core.rollout._leases
    early_ms = fleet.now_ms + ACTIVE_MS + LEASE_MS
    assert not isinstance(leases.tick(0.0, 0, False, early_ms), AppendLease)
    core.handle(LeaseRead((), 0, 1), early_ms)
    late_ms = early_ms + MARGIN_MS
    assert isinstance(leases.tick(0.0, 0, False, late_ms), AppendLease)


def test_starting_node_waits_for_a_peer_that_knows_a_lost_configuration() -> None:
    """Guards against serving by the copy until the first peer is heard."""
    fleet = build_fleet("a")
    fleet.read_one(Topic.OPERATOR, 0, 1, "config", build_table(version=5))
    fleet.read_all(Topic.OPERATOR, 1, ("config", build_table(version=1)))
    fleet.add(NodeName("b"), 1)
    started = fleet.core("b")
    stale = KeyedRecord("config", 0, put(build_table(version=1)), 1)
    read = TopicRead(Topic.OPERATOR, (stale,), 1, True, fleet.now_ms, era=1)
    started.handle(read, fleet.now_ms)
    assert not started.is_ready()
    fleet.link()
    for _ in range(20):
        fleet.run(25.0)
        assert started.index.table.version in (0, 5)
    assert started.index.table.version == 5


@pytest.mark.parametrize("era", [0, 1])
def test_starting_node_without_a_peer_serves_by_what_the_store_has(era: int) -> None:
    """Guards against a node that waits for peers that do not exist."""
    fleet = RestoredFleet("a")
    fleet.read_all(Topic.OPERATOR, era, ("config", build_table(version=1)))
    fleet.run(0.0 if era == 0 else MAX_HOLD_MS)
    assert fleet.core("a").is_ready()


def test_starting_node_serves_once_a_peer_knows_no_better() -> None:
    """Guards against a full wait at each start after a restore."""
    fleet = RestoredFleet("a", "b")
    for name in ("a", "b"):
        config = KeyedRecord("config", 0, put(build_table(version=1)), 1)
        read = TopicRead(Topic.OPERATOR, (config,), 1, True, fleet.now_ms, era=1)
        fleet.handle(NodeName(name), read)
    fleet.run(MAX_HOLD_MS / 2)
    assert fleet.core("a").is_ready()
    assert fleet.core("b").is_ready()
