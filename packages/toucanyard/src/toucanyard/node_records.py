"""Define the record with which a node registers itself in the platform's log."""

from __future__ import annotations

import msgspec

from toucanyard.names import Address, DomainName, Incarnation, NodeName


class NodeRecord(msgspec.Struct, frozen=True):
    """The addresses of one incarnation of a node."""

    name: NodeName
    incarnation: Incarnation
    domain: DomainName
    callers: Address
    peers: Address
    link_mbps: float = 0.0
    """Send bandwidth of its VM; 0 if the node does not report it."""
