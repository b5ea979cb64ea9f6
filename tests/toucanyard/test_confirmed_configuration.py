"""Tests that a node which may not know who is isolated shares no cached block."""

from __future__ import annotations

import pytest

from toucanyard.keyed_view import KeyedRecord, Topic
from toucanyard.names import CustomerName, NodeName
from toucanyard.relay_events import (
    CallArrived,
    LinkMessageRead,
    RelayAction,
    RelayEvent,
    ReplicaStatementSeen,
    TickPassed,
)
from toucanyard.relay_requests import RelayDispatch, RelayReply
from toucanyard.replica_statements import ReplicaStatement
from toucanyard.routes import RoutedCustomer, RouteTable

from .relay_examples import (
    ENGINES,
    build_prompt,
    build_replica,
    build_request,
    build_table,
)
from .relay_fleet import Fleet, put

ONE, TWO = CustomerName("one"), CustomerName("two")
OPEN_SCOPE = "m/1/"
AWAY_MS = 4_000.0


def build_configuration(version: int, *isolated: CustomerName) -> RouteTable:
    customers = tuple(
        RoutedCustomer(name, (name,), is_isolated=name in isolated)
        for name in (ONE, TWO)
    )
    return build_table(version, customers=customers)


class PausingFleet(Fleet):
    """Nodes of which some stand still; messages wait until these go on."""

    def __init__(self, *names: str) -> None:
        self.paused: set[NodeName] = set()
        self.waiting: list[tuple[NodeName, RelayEvent]] = []
        self.cut: set[str] = set()
        """Nodes that the store does not serve."""
        super().__init__(*names)
        records = [
            KeyedRecord(name, number, put(core.own_record))
            for number, (name, core) in enumerate(self.cores.items())
        ]
        for name in self.cores:
            self.read(name, Topic.NODES, *records)
        self.write(build_configuration(1))
        replica = KeyedRecord("r", 0, put(build_replica("r")))
        self.read(names[0], Topic.REPLICAS, replica)
        self.run(1_000.0)

    def write(self, table: RouteTable) -> None:
        """Let operators write a configuration, which all nodes in touch read."""
        record = KeyedRecord("config", table.version, put(table))
        for name in self.cores:
            if name not in self.paused and name not in self.cut:
                self.read(name, Topic.OPERATOR, record)

    def handle(self, name: NodeName, event: RelayEvent) -> None:
        if name not in self.paused:
            super().handle(name, event)
        elif isinstance(event, LinkMessageRead):
            self.waiting.append((name, event))

    def run(self, for_ms: float) -> None:
        """Let time pass; the store confirms the topics each 300 ms."""
        for _ in range(int(for_ms / 300)):
            super().run(300.0)
            for name in self.cores:
                if name not in self.cut:
                    self.confirm(name, Topic.OPERATOR)
                    self.confirm(name, Topic.REPLICAS)

    def send(self, name: str, customer: CustomerName, number: int = 0) -> str:
        """Send a call; return the scope of its dispatch."""
        request = build_request(
            f"{customer}-{number}",
            customer=customer,
            service=ENGINES,
            prompt=build_prompt(),
            arrived_ms=self.now_ms,
            deadline_ms=self.now_ms + 9_000.0,
        )
        core = self.core(name)
        return find_scope(core.handle(CallArrived(request), self.now_ms))


def find_scope(actions: list[RelayAction]) -> str:
    found = [
        action.verdict.cache_scope
        for action in actions
        if isinstance(action, RelayReply) and isinstance(action.verdict, RelayDispatch)
    ]
    return found[0] if found else ""


def pause(fleet: PausingFleet, name: str) -> None:
    """Let a node stand still while a customer becomes isolated."""
    fleet.run(3_000.0)
    assert fleet.send(name, ONE) == OPEN_SCOPE
    fleet.paused = {NodeName(name)}
    fleet.run(600.0)
    fleet.write(build_configuration(2, ONE))
    fleet.run(AWAY_MS)
    fleet.paused = set()


def test_call_that_waits_as_a_node_wakes_uses_nothing_of_an_isolated_customer() -> None:
    """Guards against a node that decides by what it knew before it stood still."""
    fleet = PausingFleet("a", "b", "c")
    pause(fleet, "b")
    scope = fleet.send("b", TWO)
    assert scope != OPEN_SCOPE
    assert scope == f"{OPEN_SCOPE}{find_own_group(fleet, TWO)}"
    fleet.waiting.clear()
    fleet.run(1_200.0)
    shared = fleet.core("a").index.find_cache_group(TWO)
    fleet.write(build_configuration(2, ONE))
    assert fleet.send("b", TWO, 2) == f"{OPEN_SCOPE}{shared}"


def find_own_group(fleet: PausingFleet, customer: CustomerName) -> str:
    return fleet.core("a").index.find_cache_group(customer, is_confirmed=False)


@pytest.mark.parametrize("read", [1, 5, 20])
def test_messages_from_before_a_pause_confirm_nothing(read: int) -> None:
    """Guards against ages in statuses that were read long after they were sent."""
    fleet = PausingFleet("a", "b", "c")
    pause(fleet, "b")
    for name, event in fleet.waiting[:read]:
        fleet.handle(name, event)
        if fleet.core("b").index.table.version < 2:
            assert fleet.send("b", TWO) != OPEN_SCOPE


def test_node_that_is_cut_off_shares_nothing() -> None:
    """Guards against a node without the store and peers that misses an isolation."""
    fleet = PausingFleet("a", "b", "c")
    fleet.run(900.0)
    fleet.cut = {"b"}
    fleet.isolated_nodes = {"b"}
    fleet.link()
    fleet.run(AWAY_MS)
    scope = fleet.send("b", ONE)
    assert scope != OPEN_SCOPE
    assert scope == f"{OPEN_SCOPE}{find_own_group(fleet, ONE)}"
    assert fleet.send("a", ONE) == OPEN_SCOPE


def test_node_that_only_the_store_turns_away_shares_as_its_peers_do() -> None:
    fleet = PausingFleet("a", "b", "c")
    fleet.cut = {"b"}
    fleet.run(AWAY_MS)
    assert fleet.send("b", ONE) == OPEN_SCOPE


def test_outage_of_the_store_for_all_nodes_costs_no_cached_block() -> None:
    """Guards against prompts that are read again for each customer in an outage."""
    fleet = PausingFleet("a", "b", "c")
    fleet.cut = {"a", "b", "c"}
    fleet.run(2 * AWAY_MS)
    assert fleet.send("b", ONE) == OPEN_SCOPE


def test_call_that_waited_over_an_isolation_is_placed_by_the_newest_routes() -> None:
    """Guards against a scope that was chosen as the call arrived."""
    fleet = PausingFleet("a")
    fleet.run(900.0)
    core = fleet.core("a")
    rest = ReplicaStatement(retry_after_ms=900.0)
    replica = next(iter(core.directory.list_all())).replica.name
    core.handle(ReplicaStatementSeen(replica, rest), fleet.now_ms)
    assert not fleet.send("a", TWO)
    fleet.write(build_configuration(2, ONE))
    scope = ""
    while not scope:
        fleet.now_ms += 25.0
        fleet.confirm("a", Topic.OPERATOR)
        scope = find_scope(core.handle(TickPassed(), fleet.now_ms))
    assert scope != OPEN_SCOPE
    assert scope == f"{OPEN_SCOPE}{core.index.find_cache_group(TWO)}"
