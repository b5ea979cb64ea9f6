"""Removed replicas get no calls past the bound; lapsed ones still do."""

from __future__ import annotations

import pytest

from toucanyard.keyed_view import Topic
from toucanyard.names import NodeName
from toucanyard.relay_policy import RetryPolicy

from .store_fleet import StoreFleet

REPLICAS = ("a", "b", "c", "d")
SMALL_MS = 2_000.0
"""How long a replica of a small deployment runs after it has left the list."""
LARGE_MS = 3_000.0
"""The same of a large one."""
SEND_MS = RetryPolicy().connect_ms
"""What a call that has been placed may need until it is sent."""


def build_fleet(
    nodes_each: int, drain_ms: float = SMALL_MS, way_ms: float = 0.0
) -> StoreFleet:
    fleet = StoreFleet(3, nodes_each, drain_ms=drain_ms, way_ms=way_ms)
    fleet.register(REPLICAS)
    fleet.run(3_000.0)
    return fleet


def find_longest_use(fleet: StoreFleet, removed_ms: float, cut: NodeName) -> float:
    """Return how long after its removal nodes in touch sent calls to a replica."""
    sent = fleet.list_sent_to("a", without=[cut])
    return max(each.at_ms for each in sent) - removed_ms


@pytest.mark.parametrize(
    ("nodes_each", "bound_ms"), [(3, SMALL_MS), (23, LARGE_MS)], ids=["mesh", "hubs"]
)
def test_removed_replica_gets_no_calls_since_another_node_was_away(
    nodes_each: int, bound_ms: float
) -> None:
    """One node, which reads the list for all, is cut off for two seconds and returns.

    It tells the others that the store failed it. Then a replica is removed, which runs
    for two more seconds on a small deployment and for three on a large one; the store
    was well all the time. Each node that doubted the store counted the replica for two
    seconds from when it heard of the removal, and sent it calls until then:

        event=store_doubted source=edge-3 age_ms=318
        event=replica_gone is_doubtful=true counts_ms=2000 list_age_ms=442
        event=sent gone_ms=1737   (2,067 ms after the removal)
    """
    fleet = build_fleet(nodes_each, bound_ms)
    reader = fleet.find_reader()
    fleet.cut_off = {reader}
    fleet.run(2_000.0, with_calls=True)
    fleet.cut_off = set()
    fleet.run(500.0, with_calls=True)
    removed_ms = fleet.now_ms
    fleet.remove(["a"])
    fleet.run(4_000.0, with_calls=True)
    assert find_longest_use(fleet, removed_ms, reader) <= bound_ms - SEND_MS


@pytest.mark.parametrize(
    ("nodes_each", "bound_ms"), [(3, SMALL_MS), (23, LARGE_MS)], ids=["mesh", "hubs"]
)
def test_removed_replica_gets_no_calls_while_the_store_refuses_some(
    nodes_each: int, bound_ms: float
) -> None:
    """The store answers two thirds of the nodes; the others fail again and again.

    The first reader is among those. What others read shows that the store is well, so
    a replica that goes meanwhile was taken away.
    """
    fleet = build_fleet(nodes_each, bound_ms)
    fleet.store_away = set(list(fleet.cores)[::3]) | {fleet.find_reader()}
    fleet.run(3_000.0, with_calls=True)
    removed_ms = fleet.now_ms
    fleet.remove(["a"])
    fleet.run(4_000.0, with_calls=True)
    assert find_longest_use(fleet, removed_ms, NodeName("")) <= bound_ms - SEND_MS


@pytest.mark.parametrize("nodes_each", [3, 23], ids=["mesh", "hubs"])
def test_service_is_not_emptied_while_the_store_was_away(nodes_each: int) -> None:
    """The store answers nobody for five seconds, in which all entries lapse.

    Its return shows an empty list. The replicas live, and register again within two
    seconds; until then calls go where the list before says, and none is refused.
    """
    fleet = build_fleet(nodes_each)
    fleet.store_away = set(fleet.cores)
    fleet.run(5_000.0, with_calls=True)
    fleet.remove(REPLICAS)
    fleet.store_away = set()
    for name in REPLICAS:
        fleet.run(400.0, with_calls=True)
        fleet.register([name])
    fleet.run(2_000.0, with_calls=True)
    assert fleet.unsent == []


@pytest.mark.parametrize(
    ("nodes_each", "bound_ms"), [(3, SMALL_MS), (23, LARGE_MS)], ids=["mesh", "hubs"]
)
def test_replica_that_leaves_as_the_store_returns_gets_no_calls_past_the_bound(
    nodes_each: int, bound_ms: float
) -> None:
    """The store is away for all; on its return all entries have lapsed.

    One replica has been taken away at that moment and never registers again. It counts
    like the others, since nothing tells it from them, but no longer than it runs.
    """
    fleet = build_fleet(nodes_each, bound_ms)
    fleet.store_away = set(fleet.cores)
    fleet.run(5_000.0)
    removed_ms = fleet.now_ms
    fleet.remove(REPLICAS)
    fleet.store_away = set()
    for name in REPLICAS[1:]:
        fleet.run(400.0, with_calls=True)
        fleet.register([name])
    fleet.run(4_000.0, with_calls=True)
    assert fleet.unsent == []
    assert find_longest_use(fleet, removed_ms, NodeName("")) <= bound_ms - SEND_MS


def test_age_of_the_list_grows_on_slow_links() -> None:
    """The store answers nobody, and messages between nodes take 300 ms.

    Each node hears from the others what it has told them itself. Taken for news, it
    keeps the list young for ever, and nobody sees how long the store has been away.
    """
    fleet = build_fleet(3, way_ms=300.0)
    fleet.run(3_000.0)
    fleet.store_away = set(fleet.cores)
    away_ms = fleet.now_ms
    fleet.run(4_000.0)
    for core in fleet.cores.values():
        view = core.exchange.views[Topic.REPLICAS]
        assert view.confirmed_ms <= away_ms + 400.0
