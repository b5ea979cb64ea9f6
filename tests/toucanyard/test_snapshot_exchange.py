from __future__ import annotations

from core_world import CoreWorld
from toucanyard.core_events import SendMessage, VmsRead
from toucanyard.names import DomainName, NodeName
from toucanyard.snapshots import (
    PrefixHint,
    SnapshotBusy,
    SnapshotPart,
    SnapshotRequest,
)
from toucanyard.vm_view import Vm

HOT = PrefixHint(prefix=7, width=3, uses_per_s=2.0)
STARTED = NodeName("node-2")


def test_starting_node_knows_hot_prefixes_from_its_first_peer() -> None:
    """A node restarts while a prefix is hot and spread over three replicas.

    Not told of it, the node would send it to one replica by hash alone, where it
    queues, and compute the levels below it once more elsewhere.
    """
    running, started = CoreWorld(), CoreWorld()
    running.core.placement.seed_hot((HOT,), running.now_ms)
    peer = running.core.identity.node
    started.handle(VmsRead((Vm(peer, DomainName("north"), runs="node"),)))
    exchange = started.core.snapshots
    (asked,) = exchange.tick(frozenset({peer}), started.now_ms)
    assert isinstance(asked.message, SnapshotRequest)
    (answer,) = running.core.snapshots.handle(STARTED, asked.message, running.now_ms)
    assert isinstance(answer, SendMessage)
    assert isinstance(answer.message, SnapshotPart | SnapshotBusy)
    assert list(exchange.handle(peer, answer.message, started.now_ms)) == []
    known = started.core.placement.export_hot(10, started.now_ms)
    assert [(each.prefix, each.width) for each in known] == [(7, 3)]
