"""Know the nodes: where each can be reached, which are alive and which take callers.

Where a node can be reached is in the platform's log. Whether it is alive shows on the
link to it: a status comes several times a second.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Final

import msgspec

from toucanyard.names import Address, DomainName, Incarnation, NodeName
from toucanyard.vm_view import UNNAMED, Vm, choose_peers, compute_rank

STATUS_KEPT_MS: Final = 1_500.0
"""After this silence a node is not named to callers; six statuses were missed."""
MAX_MESH: Final = 16
"""Other nodes up to which every node is linked to every other one."""
MAX_PEERS: Final = 8
"""Links of a node in a larger fleet, on average."""


class NodeRecord(msgspec.Struct, frozen=True):
    """Where one incarnation of a node can be reached."""

    name: NodeName
    incarnation: Incarnation
    domain: DomainName
    callers: Address
    peers: Address


class _Heard(msgspec.Struct):
    heard_ms: float
    is_ready: bool


class Roster:
    """The nodes as one of them sees them. Invariant: it names itself first."""

    __slots__ = ("_heard", "_known", "_own", "_seeds", "is_ready")

    def __init__(self, own: NodeRecord, seeds: Sequence[Address]) -> None:
        self._own = own
        self._seeds: tuple[Address, ...] = ()
        self.apply_seeds(seeds)
        self._known: dict[NodeName, NodeRecord] = {}
        self._heard: dict[NodeName, _Heard] = {}
        self.is_ready = False

    def apply_seeds(self, seeds: Sequence[Address]) -> None:
        """Take over which addresses to try while their nodes are not known."""
        self._seeds = tuple(each for each in seeds if each != self._own.peers)

    def apply(self, record: NodeRecord) -> None:
        """Take in where a node can be reached."""
        if record.name != self._own.name:
            self._known[record.name] = record

    def remove(self, name: NodeName) -> None:
        """Take in that a node left for good."""
        self._known.pop(name, None)
        self._heard.pop(name, None)

    def note_status(self, name: NodeName, is_ready: bool, now_ms: float) -> None:
        """Take in that a node is alive."""
        self._heard[name] = _Heard(now_ms, is_ready)

    def retain_linked(self, names: Iterable[NodeName]) -> list[NodeName]:
        """Drop what was heard from nodes without a link; return their names."""
        kept = set(names)
        lost = [name for name in self._heard if name not in kept]
        for name in lost:
            del self._heard[name]
        return lost

    def find_peers(self) -> list[Vm]:
        """Return the nodes that this one should have a link to."""
        vms = [
            Vm(name=each.name, domain=each.domain, peers=each.peers)
            for each in self._known.values()
        ]
        most = MAX_MESH if len(vms) <= MAX_MESH else MAX_PEERS
        chosen = choose_peers(self._own.name, vms, most)
        known = {each.peers for each in self._known.values()}
        strangers = [
            Vm(address, self._own.domain, runs=UNNAMED, peers=address)
            for address in self._seeds
            if address not in known
        ]
        return chosen + strangers

    def find_alive(self, now_ms: float) -> list[NodeName]:
        """Return the other nodes that were heard from lately."""
        return [
            name
            for name, heard in self._heard.items()
            if now_ms - heard.heard_ms <= STATUS_KEPT_MS
        ]

    def count_nodes(self, now_ms: float) -> int:
        """Return how many nodes there are, heard from or not, this one included."""
        return max(self.count_alive(now_ms), 1 + len(self._known))

    def find_fleet_rank(self, matter: str) -> int:
        """Return how many of all nodes go before this one in a matter."""
        own = compute_rank(matter, self._own.name)
        return sum(compute_rank(matter, name) > own for name in self._known)

    def count_alive(self, now_ms: float) -> int:
        """Return how many nodes are alive, this one included."""
        return 1 + len(self.find_alive(now_ms))

    def is_meshed(self) -> bool:
        """Tell whether every node has a link to every other one."""
        return len(self._known) <= MAX_MESH

    def find_rank(self, matter: str, now_ms: float) -> int:
        """Return how many live nodes go before this one in a matter.

        Nodes that see the same others agree on the order without asking. In a fleet
        that is not meshed each hears only of a few, so all that are known count, and
        who goes first may be dead; those behind must not wait for it for long.
        """
        if not self.is_meshed():
            return self.find_fleet_rank(matter)
        own = compute_rank(matter, self._own.name)
        alive = self.find_alive(now_ms)
        return sum(compute_rank(matter, name) > own for name in alive)

    def find_addresses(self, now_ms: float) -> list[Address]:
        """Return where callers may connect."""
        addresses = [self._own.callers] if self.is_ready else []
        for name in self.find_alive(now_ms):
            record = self._known.get(name)
            if record is not None and self._heard[name].is_ready:
                addresses.append(record.callers)
        return addresses
