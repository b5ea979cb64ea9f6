from __future__ import annotations

import msgspec
from hypothesis import given, strategies as st

from toucanyard.keyed_view import InvalidRecord, KeyedRecord, Topic
from toucanyard.link_messages import LinkMessage, NodeStatus, PromptBlockRead
from toucanyard.log_position import LogPosition
from toucanyard.names import EndpointName, Incarnation, NodeId, NodeName, ReplicaId
from toucanyard.prompt_block_index import PromptBlock
from toucanyard.relay_events import (
    LinkMessageRead,
    LogEntry,
    PromptBlockChange,
    PromptBlocksChanged,
    ReplicaState,
    ReplicaStateRead,
)
from toucanyard.replica_incarnations import (
    RESTART_GOSSIP_MS,
    ReplicaIncarnations,
    name_incarnation,
)
from toucanyard.replicas import Replica, ReplicaDirectory
from toucanyard.store_availability import StoreOutage

from .relay_examples import ENGINES, MODEL, build_replica, build_table
from .relay_fleet import Fleet, put

BEFORE, AFTER = 1_000, 2_000
"""Start times of two incarnations of one replica."""
LISTED = ReplicaId("r")


def build_incarnation(born_ms: int | None, **changes: object) -> Replica:
    name = name_incarnation(LISTED, born_ms)
    return build_replica("r", name=name, born_ms=born_ms, **changes)


def build_fleet(*names: str) -> Fleet:
    fleet = Fleet(*names)
    table = KeyedRecord("config", 0, put(build_table()))
    for name in names:
        fleet.read(name, Topic.OPERATOR, table)
    return fleet


def record(offset: int, fact: object | None) -> KeyedRecord:
    return KeyedRecord("r", offset, None if fact is None else put(fact))


def list_usable(fleet: Fleet, name: str = "a") -> list[str]:
    found = fleet.core(name).directory.find_usable(ENGINES, fleet.now_ms)
    return [each.replica.name for each in found]


def test_replica_that_starts_again_is_used_again() -> None:
    """A replica drains, exits and restarts under the same name.

    Its draining state and its failures belong to the previous incarnation; applied to
    the new one, they would keep it idle forever while callers are refused.
    """
    fleet = build_fleet("a")
    fleet.read(
        "a", Topic.REPLICAS, record(0, build_incarnation(BEFORE, is_draining=True))
    )
    known = fleet.core("a").directory.find_current(LISTED)
    assert known is not None
    known.record_failure(0.0, is_dead=True)
    assert list_usable(fleet) == []
    fleet.read("a", Topic.REPLICAS, record(1, build_incarnation(AFTER)))
    assert list_usable(fleet) == ["r@2000"]
    known = fleet.core("a").directory.find_current(LISTED)
    assert known is not None
    assert known.compute_failures(0.0) == 0.0


def test_new_life_has_the_weights_that_it_says() -> None:
    """A replica with weights 3 restarts with weights 2 from its disk.

    If it were still considered to have weights 3, it would refuse each call sent there.
    """
    fleet = build_fleet("a")
    old = build_incarnation(BEFORE, weights=((MODEL, 3),))
    fleet.read("a", Topic.REPLICAS, record(0, old))
    new = build_incarnation(AFTER, weights=((MODEL, 2),))
    fleet.read("a", Topic.REPLICAS, record(1, new))
    known = fleet.core("a").directory.find_current(LISTED)
    assert known is not None
    assert known.weights == {MODEL: 2}


def test_entry_of_an_older_life_changes_nothing() -> None:
    """The draining entry of the old incarnation is written after the new one's entry.

    If it were applied, the new incarnation would go unused, or the old one be restored.
    """
    fleet = build_fleet("a")
    fleet.read("a", Topic.REPLICAS, record(0, build_incarnation(BEFORE)))
    fleet.read("a", Topic.REPLICAS, record(1, build_incarnation(AFTER)))
    late = build_incarnation(BEFORE, is_draining=True)
    fleet.read("a", Topic.REPLICAS, record(2, late))
    assert list_usable(fleet) == ["r@2000"]
    fleet.read("a", Topic.REPLICAS, record(3, build_incarnation(AFTER)))
    assert list_usable(fleet) == ["r@2000"]


def test_removal_after_a_late_entry_ends_the_present_life() -> None:
    """An old entry is written late, and then the key's lease expires.

    The view then holds the old incarnation's entry, but the removal still applies to
    the replica, and one that is not listed must get no calls.
    """
    fleet = build_fleet("a")
    fleet.read("a", Topic.REPLICAS, record(0, build_incarnation(AFTER)))
    fleet.read("a", Topic.REPLICAS, record(1, build_incarnation(BEFORE)))
    fleet.read("a", Topic.REPLICAS, record(2, None))
    assert list_usable(fleet) == []


@given(st.permutations(range(4)))
def test_any_order_of_arrival_ends_with_the_newest_life(order: list[int]) -> None:
    """Entries of two incarnations arrive from the store and from peers in any order."""
    directory = ReplicaDirectory()
    entries = [
        build_incarnation(BEFORE),
        build_incarnation(BEFORE, is_draining=True),
        build_incarnation(AFTER),
        build_incarnation(AFTER, weights=((MODEL, 2),)),
    ]
    for number in order:
        directory.apply(entries[number], 0.0)
    usable = directory.find_usable(ENGINES, 0.0)
    assert [each.replica.name for each in usable] == ["r@2000"]
    assert usable[0].weights == {MODEL: 2}


def test_restarted_node_hears_of_the_newest_life_from_a_peer() -> None:
    """The store lost its history and holds an old entry; a node starts and reads it.

    It must learn from its peers that this incarnation is superseded; otherwise it sends
    calls and orders by the old entry until the replica writes its next one.
    """
    fleet = build_fleet("a", "b")
    fleet.isolated_nodes = {"b"}
    fleet.read("a", Topic.REPLICAS, record(0, build_incarnation(BEFORE)))
    fleet.read("a", Topic.REPLICAS, record(1, build_incarnation(AFTER)))
    fleet.read("b", Topic.REPLICAS, record(2, build_incarnation(BEFORE)), is_whole=True)
    assert list_usable(fleet, "b") == ["r@1000"]
    fleet.isolated_nodes = set()
    fleet.run(300.0)
    assert "r@1000" not in list_usable(fleet, "b")


def test_peers_words_of_the_old_life_are_not_of_the_new_one() -> None:
    """A lagging peer reports prompt blocks and weights of the old incarnation.

    A restart clears a replica's memory: a prompt sent there for a lost block would have
    to be read again.
    """
    fleet = build_fleet("a")
    core = fleet.core("a")
    fleet.read("a", Topic.REPLICAS, record(0, build_incarnation(BEFORE)))
    fleet.read("a", Topic.REPLICAS, record(1, build_incarnation(AFTER)))
    old, new = EndpointName("r@1000"), EndpointName("r@2000")
    scope = f"{MODEL}/1/"
    peer = NodeId(NodeName("p"), Incarnation("i"))
    block_read = PromptBlockRead(old, scope, "book", 2_000, 0.0)
    status: LinkMessage = NodeStatus(is_ready=True, views=(), parts=(block_read,))
    fleet.handle(NodeName("a"), LinkMessageRead(peer, status))
    event = PromptBlocksChanged(
        old, (PromptBlockChange(scope, "book", 2_000),), is_reset=False
    )
    fleet.handle(NodeName("a"), event)
    parts = (PromptBlock("book", 2_000),)
    assert core.flow.block_index.count_leading(new, scope, parts, float("inf")) == 0


def test_report_of_another_life_is_not_taken() -> None:
    """While an order is being prepared, the replica restarts and reports no orders.

    With that count, an order for the old incarnation would be accepted by the new one.
    """
    fleet = build_fleet("a")
    core = fleet.core("a")
    fleet.read("a", Topic.REPLICAS, record(0, build_incarnation(BEFORE)))
    state = ReplicaState(((MODEL, 1),), False, 0, 0, 0, born_ms=AFTER)
    read = ReplicaStateRead(EndpointName("r@1000"), state, 0.0)
    fleet.handle(NodeName("a"), read)
    assert list_usable(fleet) == []
    assert core.directory.is_superseded(EndpointName("r@1000"))


def test_peers_are_told_of_restarts_for_a_while_only() -> None:
    incarnations = ReplicaIncarnations()
    incarnations.record(LISTED, BEFORE, 0.0)
    assert not list(incarnations.list_restarted(0.0))
    incarnations.record(LISTED, AFTER, 10.0)
    assert [
        each.born_ms for each in incarnations.list_restarted(10.0 + RESTART_GOSSIP_MS)
    ] == [AFTER]
    assert not list(incarnations.list_restarted(10.1 + RESTART_GOSSIP_MS))


def test_entry_without_a_start_after_one_with_it_is_not_its_own() -> None:
    directory = ReplicaDirectory()
    directory.apply(build_incarnation(BEFORE), 0.0)
    assert directory.apply(build_incarnation(None, is_draining=True), 0.0) is None
    assert directory.find_usable(ENGINES, 0.0)


def test_foreign_entry_names_no_replica_and_others_hold() -> None:
    """Another writer overwrites the entry of one of two replicas; the store is up.

    The foreign entry may name a process that is not a replica, so it is not used. The
    replica's next own entry restores it with its previous state.
    """
    fleet = build_fleet("a")
    other = KeyedRecord("s", 0, put(build_replica("s")))
    fleet.read("a", Topic.REPLICAS, other, record(1, build_incarnation(BEFORE)))
    foreign = InvalidRecord(Topic.REPLICAS, "unknown state")
    fleet.read("a", Topic.REPLICAS, record(2, foreign))
    assert list_usable(fleet) == ["s"]
    fleet.read("a", Topic.REPLICAS, record(3, build_incarnation(BEFORE)))
    assert sorted(list_usable(fleet)) == ["r@1000", "s"]


def test_foreign_entry_has_no_grace_while_the_store_is_in_trouble() -> None:
    fleet = build_fleet("a")
    fleet.read("a", Topic.REPLICAS, record(0, build_incarnation(BEFORE)))
    fleet.core("a").directory.record_absence(StoreOutage(-9_000.0, 0.0))
    foreign = InvalidRecord(Topic.REPLICAS, "not JSON")
    fleet.read("a", Topic.REPLICAS, record(1, foreign))
    assert list_usable(fleet) == []


def test_replica_of_a_service_without_a_route_gets_no_orders_and_waits() -> None:
    """An entry names a service that is not in the configuration, but is in a later one.

    Until then its process may belong to others: new weights must not be loaded into it.
    """
    fleet = build_fleet("a")
    stray = build_incarnation(BEFORE, service="new", is_draining=False)
    fleet.read("a", Topic.REPLICAS, record(0, stray))
    directory = fleet.core("a").directory
    assert not directory.list_served(0.0)
    services = build_table().services
    named = msgspec.structs.replace(services[0], name="new")
    table = build_table(2, services=(*services, named))
    fleet.read("a", Topic.OPERATOR, KeyedRecord("config", 1, put(table)))
    assert [each.replica.name for each in directory.list_served(0.0)] == ["r@1000"]


def test_bad_configuration_leaves_the_one_before_in_force_and_with_peers() -> None:
    """A node starts while the store holds a configuration that cannot be parsed.

    It must get the routes in force from its peers rather than serve none.
    """
    fleet = build_fleet("a")
    bad = put(InvalidRecord(Topic.OPERATOR, "not JSON"))
    fleet.read("a", Topic.OPERATOR, KeyedRecord("config", 1, bad))
    assert fleet.core("a").index.table.version == 1
    fleet.add(NodeName("c"), 3)
    fleet.read("c", Topic.OPERATOR, KeyedRecord("config", 1, bad), is_whole=True)
    assert fleet.core("c").index.table.version == 0
    fleet.link()
    fleet.run(1_000.0)
    assert fleet.core("c").index.table.version == 1


def test_lines_about_bad_records_are_bounded() -> None:
    fleet = build_fleet("a")
    core = fleet.core("a")
    found_entries = []
    for offset in range(200):
        fact = InvalidRecord(Topic.REPLICAS, f"bad {offset}")
        view = core.exchange.views[Topic.REPLICAS]
        end = LogPosition(0, offset + 1)
        changes = view.apply([record(offset, fact)], end, is_whole=False)
        found_entries += list(core.facts.apply(changes, "store", 0.0, listed_ms=0.0))
    assert 0 < len(found_entries) <= 20
    assert all(isinstance(each, LogEntry) for each in found_entries)
