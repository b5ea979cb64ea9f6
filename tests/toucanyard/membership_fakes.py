"""Simulate a few nodes that exchange digests, for tests of membership."""

from __future__ import annotations

import random
from collections.abc import Sequence

from toucanyard.configuration import Configuration, Endpoint, Pool
from toucanyard.membership import Membership
from toucanyard.membership_events import (
    Action,
    ConfigurationChanged,
    DigestArrived,
    EndpointError,
    EndpointReported,
    PeerUp,
    SendDigest,
    Ticked,
    VmListRead,
)
from toucanyard.names import (
    Address,
    DomainName,
    EndpointName,
    Incarnation,
    NodeName,
    PoolName,
)
from toucanyard.options import MembershipTimings
from toucanyard.vm_view import Vm, VmState

TIMINGS = MembershipTimings()
DOMAIN = DomainName("sala-sur")
STEP_MS = 100.0


def build_endpoints(count: int) -> tuple[Endpoint, ...]:
    """Return endpoints e0, e1 and so on."""
    return tuple(
        Endpoint(EndpointName(f"e{n}"), Address(f"10.0.0.{n}:80"), DOMAIN)
        for n in range(count)
    )


def build_vms(
    endpoints: Sequence[Endpoint], nodes: Sequence[str], leaving: Sequence[str] = ()
) -> tuple[Vm, ...]:
    """Return a VM list with these endpoints and nodes."""
    listed = [
        Vm(
            f"vm-{each.name}",
            DOMAIN,
            VmState.LEAVING if each.name in leaving else VmState.LIVE,
            "endpoint",
            endpoint=each.address,
        )
        for each in endpoints
    ]
    return (*listed, *(Vm(name, DOMAIN) for name in nodes))


class Fleet:
    """Nodes in a line, each linked to its neighbors only."""

    def __init__(self, nodes: int, endpoints: int) -> None:
        self.now_ms = 0.0
        self.endpoints = build_endpoints(endpoints)
        self.names = [NodeName(f"n{n}") for n in range(nodes)]
        self.nodes = [
            Membership(name, Incarnation("a"), TIMINGS, random.Random(n))
            for n, name in enumerate(self.names)
        ]
        self.actions: list[Action] = []
        self.muted: set[NodeName] = set()
        pool = Pool(PoolName("p"), "m", "1", self.endpoints)
        changed = ConfigurationChanged(Configuration(1, pools=(pool,)), 7)
        for n, node in enumerate(self.nodes):
            node.handle(changed, 0.0)
            self.read_list(n)
            for other in (n - 1, n + 1):
                if 0 <= other < nodes:
                    node.handle(PeerUp(self.names[other]), 0.0)

    def read_list(self, node: int, leaving: Sequence[str] = ()) -> None:
        """Pass the VM list to one node."""
        vms = build_vms(self.endpoints, self.names, leaving)
        self.nodes[node].handle(VmListRead(vms), self.now_ms)

    def report(self, node: int, endpoint: int, incarnation: str = "i") -> None:
        """Pass an endpoint's answer to one node."""
        name = self.endpoints[endpoint].name
        event = EndpointReported(name, Incarnation(incarnation), self.now_ms)
        self.actions += self.nodes[node].handle(event, self.now_ms)

    def fail(self, node: int, endpoint: int, times: int = 1) -> None:
        """Let attempts of one node to reach an endpoint fail."""
        name = self.endpoints[endpoint].name
        for _ in range(times):
            self.nodes[node].handle(EndpointError(name), self.now_ms)

    def run(self, duration_ms: float) -> None:
        """Advance time and deliver digests."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            for node in self.nodes:
                self.deliver(node, node.handle(Ticked(), self.now_ms))

    def deliver(self, node: Membership, actions: list[Action]) -> None:
        """Carry out the actions of one node."""
        for action in actions:
            if not isinstance(action, SendDigest):
                self.actions.append(action)
            elif node.node not in self.muted:
                taker = self.nodes[self.names.index(action.to)]
                event = DigestArrived(node.node, action.digest)
                self.deliver(taker, taker.handle(event, self.now_ms))

    def find_usable(self, node: int) -> list[str]:
        """Return the names of the endpoints that one node may use."""
        usable = self.nodes[node].find_usable(self.endpoints, self.now_ms)
        return [str(each.name) for each in usable]
