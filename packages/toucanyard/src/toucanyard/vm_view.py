"""Hold the platform's VM list and what it says of nodes and endpoints.

The list lags, and may be empty or cut short when the platform is in trouble; an entry
that vanishes counts only while most of the others are still there.
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
"""Days of replaced VMs; configurations still naming the oldest are mended by then."""
_RING_POINTS: Final = 16
UNNAMED: Final = "unnamed"
"""What a VM runs whose name shows only once it is linked to."""


class VmState(enum.StrEnum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """One entry of the VM list; addresses are empty where it doesn't serve them."""

    name: str
    domain: DomainName
    state: VmState = VmState.LIVE
    runs: str = "node"
    callers: Address = Address("")
    operators: Address = Address("")
    peers: Address = Address("")
    endpoint: Address = Address("")


class VmView:
    """Hold the last list that could be believed.

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
        """Take in a list."""
        before = {vm.endpoint for vm in self._vms if vm.endpoint}
        listed = {vm.endpoint for vm in vms if vm.endpoint}
        is_cut_short = len(before & listed) < _MIN_KEPT_SHARE * len(before)
        if self._vms and (not vms or is_cut_short):
            # A list that lost most entries at once is the platform's failure, not
            # the fleet's; following it would idle endpoints that answer well. States
            # that it does give are followed.
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
        """Tell whether an endpoint's VM was listed once and no longer is."""
        return address in self._gone

    def find_leaving(self, addresses: KeysView[Address]) -> set[Address]:
        """Return those of some addresses whose VM leaves or is gone."""
        return (addresses & self.leaving) | (addresses & self._gone)

    def is_leaving(self, address: Address) -> bool:
        """Tell whether the list calls an endpoint's VM leaving."""
        return address in self.leaving

    def find_nodes(self) -> tuple[Vm, ...]:
        """Return the live VMs that run a node, by name; the same object for a list."""
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

    All, where there are few. Otherwise each node chooses half as many, and is chosen
    by as many on average: the next one on a ring of hashes, which keeps the fleet in
    one piece, and others by rendezvous, which keep it a few steps wide.
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
    """Give each endpoint a few nodes that watch it, the same on every node.

    Nodes stand at several points of a ring of hashes; an endpoint is watched by the
    next ones from its own point. Finding them takes a binary search, where rendezvous
    hashing would take a hash for each node: 1.4 million at 320 nodes and 4,400
    endpoints, for every change of the list.
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
