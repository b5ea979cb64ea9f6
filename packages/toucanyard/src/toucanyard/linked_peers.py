"""Track the linked peers, and notify membership and the key decisions of changes."""

from __future__ import annotations

from collections.abc import Sequence

from toucanyard.claim_events import PeersChanged, PeerView
from toucanyard.membership import Membership
from toucanyard.membership_events import PeerDown, PeerUp
from toucanyard.names import DomainName, NodeId, NodeName


class LinkedPeers:
    """The peers to which this node is linked."""

    __slots__ = ("_domain", "_linked", "_membership")

    def __init__(self, domain: DomainName, membership: Membership) -> None:
        self._domain = domain
        self._membership = membership
        self._linked: frozenset[NodeId] = frozenset()

    def list_all(self) -> tuple[NodeId, ...]:
        """Return all linked peers in a fixed order."""
        return tuple(sorted(self._linked, key=lambda peer: peer.node))

    def find_names(self) -> frozenset[NodeName]:
        """Return the names of all linked peers."""
        return frozenset(peer.node for peer in self._linked)

    def change(self, peers: Sequence[NodeId], now_ms: float) -> PeersChanged:
        """Apply the current links; return the event for the key decisions."""
        linked = frozenset(peers)
        for gone in self._linked - linked:
            self._membership.handle(PeerDown(gone.node), now_ms)
        for new in linked - self._linked:
            self._membership.handle(PeerUp(new.node), now_ms)
        self._linked = linked
        return PeersChanged(self._build_views(peers))

    def _build_views(self, peers: Sequence[NodeId]) -> tuple[PeerView, ...]:
        domains = {vm.name: vm.domain for vm in self._membership.vms}
        return tuple(
            PeerView(
                peer.node,
                peer.incarnation,
                domains.get(peer.node) not in (None, self._domain),
            )
            for peer in peers
        )
