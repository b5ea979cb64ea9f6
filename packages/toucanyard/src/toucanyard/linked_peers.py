"""Hold to which peers links stand, and tell membership and keys of each change."""

from __future__ import annotations

from collections.abc import Sequence

from toucanyard.claim_events import PeersChanged, PeerView
from toucanyard.membership import Membership
from toucanyard.membership_events import PeerDown, PeerUp
from toucanyard.names import DomainName, NodeId, NodeName


class LinkedPeers:
    """The peers to which links of this node stand."""

    __slots__ = ("_domain", "_linked", "_membership")

    def __init__(self, domain: DomainName, membership: Membership) -> None:
        self._domain = domain
        self._membership = membership
        self._linked: frozenset[NodeId] = frozenset()

    def list_all(self) -> tuple[NodeId, ...]:
        """Return all of them in a fixed order."""
        return tuple(sorted(self._linked, key=lambda peer: peer.node))

    def find_names(self) -> frozenset[NodeName]:
        """Return their names."""
        return frozenset(peer.node for peer in self._linked)

    def change(self, peers: Sequence[NodeId], now_ms: float) -> PeersChanged:
        """Take over which links stand; return what the decision on keys must know."""
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
