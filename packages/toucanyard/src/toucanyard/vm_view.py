"""Hold the platform's VM list and derive the state of nodes and endpoints from it.

The list lags, and may be empty or truncated when the platform has a fault; a missing
entry counts as removed only while most of the others are still listed.
"""

from __future__ import annotations

import bisect
import enum
from collections.abc import Iterable, KeysView, Sequence
from typing import Final

import msgspec
import xxhash

from toucanyard.names import Address, DomainName, NodeName

_MIN_KEPT_SHARE: Final = 0.5
_MAX_GONE: Final = 10_000
"""Enough for days of replaced VMs; configurations have dropped the oldest by then."""
_RING_POINTS: Final = 16
UNNAMED: Final = "unnamed"
"""Value of `runs` for a VM whose name is unknown until it is linked to."""


class VmState(enum.StrEnum):
    """State of a VM as reported by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """One entry of the VM list; addresses that the VM does not serve are empty."""

    name: str
    domain: DomainName
    state: VmState = VmState.LIVE
    runs: str = "node"
    callers: Address = Address("")
    operators: Address = Address("")
    peers: Address = Address("")
    endpoint: Address = Address("")


class VmView:
    """The last plausible VM list.

    Invariant: `_gone` has only addresses that were once listed.
    """

    __slots__ = ("_gone", "_nodes", "_vms", "leaving", "read_ms")

    def __init__(self) -> None:
        self._vms: tuple[Vm, ...] = ()
        self._nodes: tuple[Vm, ...] = ()
        self._gone: set[Address] = set()
        self.leaving: frozenset[Address] = frozenset()
        self.read_ms: float | None = None

    @property
    def vms(self) -> tuple[Vm, ...]:
        """Return the entries of the list."""
        return self._vms

    def read(self, vms: Sequence[Vm], now_ms: float) -> None:
        """Apply a VM list; one that lost most entries only updates and adds entries."""
        before = {vm.endpoint for vm in self._vms if vm.endpoint}
        listed = {vm.endpoint for vm in vms if vm.endpoint}
        is_cut_short = len(before & listed) < _MIN_KEPT_SHARE * len(before)
        if self._vms and (not vms or is_cut_short):
            # If most entries are missing at once, the platform has failed rather than
            # the fleet; applying it would idle endpoints that work. The entries that it
            # does have are applied.
            known = {vm.name: vm for vm in self._vms}
            known.update({vm.name: vm for vm in vms})
            self._store(known.values())
            return
        if len(self._gone) > _MAX_GONE:
            self._gone.clear()
        self._gone = (self._gone | (before - listed)) - listed
        self._store(vms)
        self.read_ms = now_ms

    def is_gone(self, address: Address) -> bool:
        """Return whether an endpoint's VM was listed before and no longer is."""
        return address in self._gone

    def find_leaving(self, addresses: KeysView[Address]) -> set[Address]:
        """Return the addresses whose VM is leaving or was removed."""
        return (addresses & self.leaving) | (addresses & self._gone)

    def is_leaving(self, address: Address) -> bool:
        """Return whether the list marks an endpoint's VM as leaving."""
        return address in self.leaving

    def find_nodes(self) -> tuple[Vm, ...]:
        """Return the live VMs that run a node, sorted by name.

        Returns the same object until a new list is read.
        """
        return self._nodes

    def _store(self, vms: Iterable[Vm]) -> None:
        self._vms = tuple(vms)
        nodes = [
            vm for vm in self._vms if vm.runs == "node" and vm.state is VmState.LIVE
        ]
        self._nodes = tuple(sorted(nodes, key=lambda vm: vm.name))
        self.leaving = frozenset(
            vm.endpoint
            for vm in self._vms
            if vm.endpoint and vm.state is VmState.LEAVING
        )


def compute_rank(first: str, second: str) -> int:
    """Return the weight of a pair in rendezvous hashing."""
    return xxhash.xxh3_64_intdigest(f"{first}\n{second}".encode())


def choose_peers(node: NodeName, nodes: Sequence[Vm], max_peers: int) -> list[Vm]:
    """Return the nodes to connect to, so that each has about `max_peers` links.

    All nodes if there are few. Otherwise each node chooses half as many, and is chosen
    by as many on average: its successor on a hash ring, which keeps the fleet
    connected, and others by rendezvous hashing, which keep its diameter small.
    """
    others = [vm for vm in nodes if vm.name != node]
    if len(others) <= max_peers:
        return others
    ring = sorted(others, key=lambda vm: compute_rank("ring", vm.name))
    own = compute_rank("ring", node)
    following = [vm for vm in ring if compute_rank("ring", vm.name) > own]
    chosen = [following[0] if following else ring[0]]
    by_rank = sorted(others, key=lambda vm: compute_rank(node, vm.name))
    for vm in by_rank:
        if len(chosen) >= max(2, max_peers // 2):
            break
        if vm not in chosen:
            chosen.append(vm)
    return chosen


class WatchRing:
    """Assign each endpoint a few watching nodes, the same on every node.

    Each node has several points on a hash ring; an endpoint is watched by the nodes
    that follow its own point. Finding them takes a binary search, where rendezvous
    hashing would take a hash per node: 1.4 million for 320 nodes and 4,400 endpoints,
    at every change of the list.
    """

    __slots__ = ("_names", "_points", "nodes")

    def __init__(self, nodes: Sequence[str]) -> None:
        ring = sorted(
            (compute_rank(node, str(number)), node)
            for node in nodes
            for number in range(_RING_POINTS)
        )
        self.nodes = set(nodes)
        self._points = [point for point, _ in ring]
        self._names = [node for _, node in ring]

    def find_watchers(self, endpoint: str, count: int) -> list[str]:
        """Return the names of an endpoint's watchers."""
        found: list[str] = []
        size = len(self._names)
        start = bisect.bisect(self._points, compute_rank("endpoint", endpoint))
        for step in range(size):
            name = self._names[(start + step) % size]
            if name not in found:
                found.append(name)
            if len(found) == count:
                break
        return found
