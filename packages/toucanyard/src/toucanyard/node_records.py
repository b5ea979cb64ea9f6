"""Say where a node can be reached, as it registers itself in the platform's log."""

from __future__ import annotations

import msgspec

from toucanyard.names import Address, DomainName, Incarnation, NodeName


class NodeRecord(msgspec.Struct, frozen=True):
    """Where one incarnation of a node can be reached."""

    name: NodeName
    incarnation: Incarnation
    domain: DomainName
    callers: Address
    peers: Address
    link_mbps: float = 0.0
    """What its VM can send; 0 from nodes that don't say."""
