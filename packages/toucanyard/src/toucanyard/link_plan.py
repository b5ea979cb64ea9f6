"""Choose the links of a node in a fleet that is too large for a full mesh.

Each failure domain has a few hubs, and all hubs are linked to each other. Any other
node is linked to two hubs of its domain: it reports to the first and keeps the second
as a standby. There is no election: every node ranks the nodes that it knows by the same
rule and skips those that it cannot reach.
"""

from __future__ import annotations

import heapq
from collections.abc import Collection, Iterable
from typing import Final

from toucanyard.names import DomainName, NodeName
from toucanyard.node_records import NodeRecord
from toucanyard.vm_view import compute_rank

LINKS: Final = 2
"""Hubs to which a node is linked, so that the loss of one does not disconnect it."""
MIN_HUBS: Final = 2
NODES_PER_HUB: Final = 24
"""Nodes of a domain per hub: statuses to so many take a tenth of a hub's 100 Mbit/s
link, and the 15 hubs of 320 nodes in 5 domains can still form a full mesh."""
UNREACHABLE_AFTER_MS: Final = 1_500.0
"""Time without a link after which a node counts as unreachable; connecting to a live
node takes a few milliseconds, and this is twice the connect timeout."""
RETRY_MS: Final = 6_000.0
"""How long an unreachable node is skipped."""


class LinkPlan:
    """The links that one node should have.

    Invariant: `wanted` names known nodes, and never the node itself.
    """

    __slots__ = ("_missing_ms", "_own", "_ranks", "_unreachable_ms", "hubs", "wanted")

    def __init__(self, own: NodeRecord) -> None:
        self._own = own
        self._ranks: dict[tuple[str, NodeName], int] = {}
        self._missing_ms: dict[NodeName, float] = {}
        self._unreachable_ms: dict[NodeName, float] = {}
        self.hubs: frozenset[NodeName] = frozenset()
        """All hubs of the fleet, as this node sees them."""
        self.wanted: tuple[NodeName, ...] = ()
        """In order of preference."""

    def is_hub(self) -> bool:
        """Return whether this node is a hub."""
        return self._own.name in self.hubs

    def update(
        self,
        others: Collection[NodeRecord],
        linked: Collection[NodeName],
        now_ms: float,
    ) -> None:
        """Recompute the plan from all other nodes and the current links."""
        self._update_reachability(linked, now_ms)
        domains: dict[DomainName, list[NodeRecord]] = {}
        for node in (self._own, *others):
            domains.setdefault(node.domain, []).append(node)
        hubs = {name: self._find_hubs(nodes) for name, nodes in domains.items()}
        self.hubs = frozenset(each for names in hubs.values() for each in names)
        own = self._own.name
        if self.is_hub():
            wanted = sorted(self.hubs - {own})
        else:
            near = hubs[self._own.domain]
            wanted = heapq.nsmallest(LINKS, near, lambda hub: self._rank(own, hub))
            if self._unreachable_ms and not set(wanted).intersection(linked):
                # Most of the domain may be down; fall back to hubs of other domains.
                far = self.hubs.difference(near)
                wanted += heapq.nsmallest(LINKS, far, lambda hub: self._rank(own, hub))
        self.wanted = tuple(wanted)
        self._prune_ranks({node.name for node in others})

    def find_primary(self, linked: Collection[NodeName]) -> NodeName | None:
        """Return the hub that this node reports to; None if it is a hub itself."""
        if self.is_hub():
            return None
        return next((hub for hub in self.wanted if hub in linked), None)

    def _find_hubs(self, nodes: Collection[NodeRecord]) -> list[NodeName]:
        count = max(MIN_HUBS, -(-len(nodes) // NODES_PER_HUB))
        best = heapq.nsmallest(
            count,
            (each for each in nodes if each.name not in self._unreachable_ms),
            # A hub's traffic grows with its domain, so prefer VMs with faster links.
            key=lambda each: (-each.link_mbps, self._rank(each.domain, each.name)),
        )
        return [each.name for each in best]

    def _update_reachability(self, linked: Collection[NodeName], now_ms: float) -> None:
        for name, at_ms in list(self._unreachable_ms.items()):
            if name in linked or now_ms - at_ms > RETRY_MS:
                del self._unreachable_ms[name]
        missing = [name for name in self.wanted if name not in linked]
        self._missing_ms = {
            name: self._missing_ms.get(name, now_ms) for name in missing
        }
        for name, since_ms in list(self._missing_ms.items()):
            if now_ms - since_ms > UNREACHABLE_AFTER_MS:
                self._unreachable_ms[name] = now_ms
                del self._missing_ms[name]

    def _rank(self, subject: str, name: NodeName) -> int:
        key = (subject, name)
        rank = self._ranks.get(key)
        if rank is None:
            rank = self._ranks[key] = compute_rank(subject, name)
        return rank

    def _prune_ranks(self, known: Iterable[NodeName]) -> None:
        kept = {*known, self._own.name}
        if len(self._ranks) > 4 * len(kept):
            self._ranks = {
                key: rank for key, rank in self._ranks.items() if key[1] in kept
            }
