"""Removed replicas get no calls past the bound; lapsed ones still do."""

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


def test_node_that_alone_was_cut_off_learns_that_the_store_was_well() -> None:
    """One node is cut off for four seconds; a replica goes just before it returns.

    By itself the node takes the store to have been away and the replica to have lapsed.
    Its peers have read all the time, which shows in their next statuses.
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
    """Two nodes ask each 300 ms; the others wait until a read is given up."""
    fleet = build_fleet(3)
    fleet.store_away = set(fleet.cores)
    fleet.run(2_000.0)
    before = fleet.asked
    fleet.run(6_000.0)
    others = len(fleet.cores) - 2
    most_a_second = 2 / 0.3 + others / (STORE_TIMEOUT_MS / 1_000.0)
    assert fleet.asked - before <= 6 * most_a_second + len(fleet.cores)


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


class RandomFaults:
    """Cuts, refusals, outages and removals that are drawn from a seed."""

    def __init__(self, seed: int, way_ms: float) -> None:
        self.rng = random.Random(seed)
        self.fleet = build_fleet(3, way_ms=way_ms)
        self.names = list(self.fleet.cores)
        self.listed = list(REPLICAS)
        self.removed_ms: dict[str, float] = {}
        self.cut_ms: dict[NodeName, float] = {}
        """When each node was cut off last."""
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
                self.let_lapse()
        self.run(self.rng.uniform(0.0, 600.0))
        self.replace()
        # What goes as the store does is known to nobody before the store is back.
        self.run(1_600.0)

    def replace(self) -> None:
        """Take a replica away and start another one."""
        gone = self.rng.choice(self.listed)
        self.listed.remove(gone)
        self.removed_ms[gone] = self.fleet.now_ms
        self.fleet.remove([gone])
        self.start()

    def start(self) -> None:
        self.started += 1
        self.listed.append(f"new-{self.started}")
        self.fleet.register(self.listed[-1:])

    def let_lapse(self) -> None:
        """Let the store be away while all entries lapse; one replica never returns."""
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
        """Return the calls that nodes in touch sent past the bound."""
        late = []
        for each in self.fleet.sent:
            age_ms = each.at_ms - self.removed_ms.get(each.replica, each.at_ms)
            if age_ms > SMALL_MS - SEND_MS and each.node not in self.cut_ms:
                late.append((each.node, str(each.replica), age_ms))
        return late


@pytest.mark.parametrize("way_ms", [0.0, 50.0])
@pytest.mark.parametrize("seed", range(6))
def test_no_mix_of_troubles_uses_a_removed_replica_or_empties_a_service(
    seed: int, way_ms: float
) -> None:
    """Nodes are cut off, the store refuses some or all, entries lapse, replicas change.

    Whatever the order, a node that was never cut off sends no call to a replica past
    its end, and finds one for each call.
    """
    faults = RandomFaults(seed, way_ms)
    for _ in range(6):
        faults.inject_fault()
    assert faults.find_late() == []
    unsent = [each for each in faults.fleet.unsent if each[0] not in faults.cut_ms]
    assert unsent == []
