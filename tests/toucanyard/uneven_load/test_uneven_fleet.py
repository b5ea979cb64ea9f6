"""Fleets of many nodes whose replicas state how fast they are now."""

from __future__ import annotations

from toucanyard.names import EndpointName, NodeName, ServiceName
from toucanyard.relay_events import ReplicaStatementSeen
from toucanyard.replica_statements import ReplicaStatement, StatedLoad

from ..statement_fleet import StatementFleet

SLOTS = 12
KNOWN_MS = 4_000.0
"""Time until all nodes know: one report to the hub, one between hubs, one to groups."""


class UnevenFleet(StatementFleet):
    """30 nodes in three domains; the first replica is twice as fast as the others."""

    def __init__(self) -> None:
        super().__init__(3, 10)
        self.fast, *self.slow = (each.name for each in self.list_engines())
        self.service = self.find_service(self.fast)

    def find_service(self, replica: EndpointName) -> ServiceName:
        core = next(iter(self.cores.values()))
        known = core.directory.find(replica)
        assert known is not None
        return known.replica.service

    def state(self, node: NodeName) -> None:
        for replica in (self.fast, *self.slow):
            contention = 0.55 if replica == self.fast else 1.2
            load = StatedLoad(0, 0, SLOTS, contention)
            seen = ReplicaStatementSeen(replica, ReplicaStatement(load=load))
            self.handle(node, seen)

    def play_statements(self, node: NodeName) -> None:
        """Let a node hear each replica twice a second until all may know."""
        for _ in range(int(KNOWN_MS / 500.0)):
            self.state(node)
            self.run_for(500.0)

    def count_knowing(self, names: list[NodeName]) -> int:
        """Return how many nodes take the fast replica for the fastest."""
        count = 0
        for name in names:
            inputs = self.cores[name].uneven.find_inputs(self.service, self.now_ms)
            fast = inputs.find_factor(self.fast)
            count += all(fast > 1.5 * inputs.find_factor(each) for each in self.slow)
        return count


def test_what_one_node_hears_all_nodes_know() -> None:
    fleet = UnevenFleet()
    names = list(fleet.cores)
    fleet.play_statements(names[7])
    assert fleet.count_knowing(names) == len(names)


def test_each_side_of_a_cut_learns_from_its_own_answers() -> None:
    """Half of the nodes is cut off from the others and hears nothing of them."""
    fleet = UnevenFleet()
    names = list(fleet.cores)
    far = names[:15]
    fleet.partition_network(far)
    fleet.play_statements(far[3])
    assert fleet.count_knowing(far) == len(far)
    assert fleet.count_knowing(names[15:]) == 0


def test_nodes_that_start_again_learn_anew() -> None:
    """All nodes are killed at once and come back without state."""
    fleet = UnevenFleet()
    fleet.play_statements(next(iter(fleet.cores)))
    fleet.kill_and_restart_all()
    fleet.run_for(2_000.0)
    names = list(fleet.cores)
    assert fleet.count_knowing(names) == 0
    fleet.play_statements(names[-1])
    assert fleet.count_knowing(names) == len(names)
