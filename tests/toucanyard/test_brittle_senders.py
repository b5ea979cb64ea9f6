from __future__ import annotations

import random

from toucanyard.brittle_replicas import NODES_TTL_MS, BrittleReplicas
from toucanyard.names import (
    Address,
    DomainName,
    Incarnation,
    NodeName,
    ServiceName,
)
from toucanyard.node_directory import NodeDirectory, PeerAddress
from toucanyard.node_records import NodeRecord
from toucanyard.replica_limits import ReplicaLimits
from toucanyard.replica_reach import ReplicaReach
from toucanyard.replica_usage import ReplicaUsage
from toucanyard.replicas import KnownReplica, ReplicaDirectory

from .relay_examples import DESK, build_replica

OWN = NodeRecord(
    NodeName("n1"), Incarnation("i"), DomainName("d"), Address("1"), Address("2")
)
PEER = PeerAddress(NodeName("n2"), Address("10.0.0.2:1"))


class OnePeer(NodeDirectory):
    """A directory with one peer that reaches every service."""

    def find_reaching(self, service: ServiceName, now_ms: float) -> list[PeerAddress]:
        return [PEER]


class SwitchedReach(ReplicaReach):
    """Reaches all services or none."""

    is_cut = False

    def is_unreached(self, service: ServiceName) -> bool:
        return self.is_cut


def build_brittle(reach: SwitchedReach) -> BrittleReplicas:
    limits = ReplicaLimits(random.Random(1))
    nodes = OnePeer(OWN, ())
    return BrittleReplicas(limits, ReplicaDirectory(), nodes, reach, ReplicaUsage())


def test_node_that_reaches_a_service_again_is_a_sender_again() -> None:
    """Guards against nodes that each take another one for a replica's sender."""
    reach = SwitchedReach(ReplicaDirectory())
    known = [KnownReplica(build_replica(f"r{n}", service=DESK)) for n in range(8)]
    usual = build_brittle(reach)
    own = [each for each in known if usual.find_sender(each, 0.0) is None]
    assert own
    brittle = build_brittle(reach)
    reach.is_cut = True
    assert all(brittle.find_sender(each, 0.0) == PEER for each in known)
    reach.is_cut = False
    later_ms = 10 * NODES_TTL_MS
    assert [
        each for each in known if brittle.find_sender(each, later_ms) is None
    ] == own
