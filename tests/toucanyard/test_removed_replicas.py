"""Removed replicas get no calls past the bound; live ones that expired still do."""

from __future__ import annotations

import random

import pytest

from toucanyard.keyed_view import Topic
from toucanyard.names import NodeName
from toucanyard.relay_policy import RetryPolicy

from .store_fleet import STORE_TIMEOUT_MS, StoreFleet

REPLICAS = ("a", "b", "c", "d")
SMALL_MS = 2_000.0
"""How long a replica of a small deployment runs after it has left the list."""
LARGE_MS = 3_000.0
"""The same in a large deployment."""
SEND_MS = RetryPolicy().connect_ms
"""How long a placed call may take until it is sent."""


def build_fleet(
    nodes_each: int, drain_ms: float = SMALL_MS, latency_ms: float = 0.0
) -> StoreFleet:
    fleet = StoreFleet(3, nodes_each, drain_ms=drain_ms, latency_ms=latency_ms)
    fleet.register(REPLICAS)
    fleet.run(3_000.0)
    return fleet


def find_longest_use(fleet: StoreFleet, removed_ms: float, cut: NodeName) -> float:
    """Return how long after its removal connected nodes sent calls to a replica."""
    sent = fleet.list_sent_to("a", without=[cut])
    return max(each.at_ms for each in sent) - removed_ms


@pytest.mark.parametrize(
    ("nodes_each", "bound_ms"), [(3, SMALL_MS), (23, LARGE_MS)], ids=["mesh", "hubs"]
)
def test_removed_replica_gets_no_calls_since_another_node_was_away(
    nodes_each: int, bound_ms: float
) -> None:
    """The node that reads the list for all is cut off for two seconds, then returns.

    It reports a store failure to the others. Then a replica is removed, which runs for
    two more seconds in a small deployment and three in a large one; the store was up
    throughout. Each node that had received that report kept using the replica for two
    seconds after it learned of the removal, and sent a call 2,067 ms after the removal:

        event=store_doubted source=edge-3 age_ms=318
        event=replica_gone is_doubtful=true counts_ms=2000 list_age_ms=442
        event=sent gone_ms=1737
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
    """The store answers two thirds of the nodes; reads of the others keep failing.

    The first reader is among the latter. The other nodes' reads show that the store is
    up, so a replica that leaves the list meanwhile was removed.
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
    """The store answers no node for five seconds, in which all entries expire.

    When it returns, its list is empty. The replicas are alive and register again within
    two seconds; until then calls use the previous list, and none is refused.
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
    """The store is unavailable to all nodes; on its return all entries have expired.

    One replica is removed at that moment and never registers again. It cannot be
    distinguished from the others and is used like them, but no longer than it runs.
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


def test_node_that_alone_was_cut_off_learns_that_the_store_was_well() -> None:
    """One node is cut off for four seconds; a replica is removed before it returns.

    By itself the node would conclude that the store was down and the replica's entry
    expired. Its peers read the store throughout, which shows in their next statuses.
    """
    fleet = build_fleet(3)
    reader = fleet.find_reader()
    alone = next(name for name in fleet.cores if name != reader)
    fleet.cut_off = {alone}
    fleet.run(3_700.0)
    fleet.remove(["a"])
    fleet.run(300.0)
    fleet.cut_off = set()
    fleet.run(300.0)
    back_ms = fleet.now_ms
    fleet.run(2_000.0, with_calls=True)
    assert [each for each in fleet.list_sent_to("a") if each.at_ms > back_ms] == []


def test_silent_store_is_asked_at_a_bounded_rate_by_all_nodes() -> None:
    """Two nodes read every 300 ms; the others wait until a read times out."""
    fleet = build_fleet(3)
    fleet.store_away = set(fleet.cores)
    fleet.run(2_000.0)
    before = fleet.read_count
    fleet.run(6_000.0)
    others = len(fleet.cores) - 2
    most_a_second = 2 / 0.3 + others / (STORE_TIMEOUT_MS / 1_000.0)
    assert fleet.read_count - before <= 6 * most_a_second + len(fleet.cores)


def test_age_of_the_list_grows_on_slow_links() -> None:
    """The store answers no node, and messages between nodes take 300 ms.

    Each node receives its own updates back from the others. If these counted as new,
    the list would seem fresh forever, and the outage would go unnoticed.
    """
    fleet = build_fleet(3, latency_ms=300.0)
    fleet.run(3_000.0)
    fleet.store_away = set(fleet.cores)
    away_ms = fleet.now_ms
    fleet.run(4_000.0)
    for core in fleet.cores.values():
        view = core.exchange.views[Topic.REPLICAS]
        assert view.confirmed_ms <= away_ms + 400.0


class RandomFaults:
    """Partitions, refusals, outages and removals at random from a seed."""

    def __init__(self, seed: int, latency_ms: float) -> None:
        self.rng = random.Random(seed)
        self.fleet = build_fleet(3, latency_ms=latency_ms)
        self.names = list(self.fleet.cores)
        self.listed = list(REPLICAS)
        self.removed_ms: dict[str, float] = {}
        self.cut_ms: dict[NodeName, float] = {}
        """When each node was last cut off."""
        self.started = 0

    def run(self, for_ms: float) -> None:
        end_ms = self.fleet.now_ms + for_ms
        while self.fleet.now_ms < end_ms:
            self.fleet.run(200.0, with_calls=True)
            for name in self.fleet.cut_off:
                self.cut_ms[name] = self.fleet.now_ms

    def inject_fault(self) -> None:
        match self.rng.randrange(4):
            case 0:
                self.fleet.cut_off = set(self.rng.sample(self.names, 2))
                self.run(self.rng.uniform(400.0, 3_000.0))
                self.fleet.cut_off = set()
            case 1:
                self.fleet.store_away = set(self.rng.sample(self.names, 4))
                self.replace()
                self.run(self.rng.uniform(400.0, 5_000.0))
                self.fleet.store_away = set()
            case 2:
                self.expire_all()
        self.run(self.rng.uniform(0.0, 600.0))
        self.replace()
        # No node learns of a removal during an outage before the store is back.
        self.run(1_600.0)

    def replace(self) -> None:
        """Remove a replica and start another one."""
        gone = self.rng.choice(self.listed)
        self.listed.remove(gone)
        self.removed_ms[gone] = self.fleet.now_ms
        self.fleet.remove([gone])
        self.start()

    def start(self) -> None:
        self.started += 1
        self.listed.append(f"new-{self.started}")
        self.fleet.register(self.listed[-1:])

    def expire_all(self) -> None:
        """Stop the store until all entries expire; one replica never returns."""
        self.fleet.store_away = set(self.names)
        self.run(self.rng.uniform(3_600.0, 6_000.0))
        self.fleet.remove(self.listed)
        self.fleet.store_away = set()
        dead = self.listed.pop()
        self.removed_ms[dead] = self.fleet.now_ms
        for name in self.listed:
            self.run(400.0)
            self.fleet.register([name])
        self.start()

    def find_late(self) -> list[tuple[NodeName, str, float]]:
        """Return the calls that connected nodes sent past the bound."""
        late = []
        for each in self.fleet.sent:
            age_ms = each.at_ms - self.removed_ms.get(each.replica, each.at_ms)
            if age_ms > SMALL_MS - SEND_MS and each.node not in self.cut_ms:
                late.append((each.node, str(each.replica), age_ms))
        return late


@pytest.mark.parametrize("latency_ms", [0.0, 50.0])
@pytest.mark.parametrize("seed", range(6))
def test_no_mix_of_troubles_uses_a_removed_replica_or_empties_a_service(
    seed: int, latency_ms: float
) -> None:
    """Nodes are cut off, the store refuses some or all, entries and replicas change.

    In any order, a node that was never cut off sends no call to a replica past its end,
    and finds a replica for each call.
    """
    faults = RandomFaults(seed, latency_ms)
    for _ in range(6):
        faults.inject_fault()
    assert faults.find_late() == []
    unsent = [each for each in faults.fleet.unsent if each[0] not in faults.cut_ms]
    assert unsent == []
