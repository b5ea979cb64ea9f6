"""Response body of `GET /v1/locate`, and the identity of a node."""

from __future__ import annotations

import msgspec

from toucanyard.names import Address, DomainName, Incarnation, NodeName


class NodeIdentity(msgspec.Struct, frozen=True):
    """Name and incarnation of a node; request ids start with both."""

    name: NodeName
    incarnation: Incarnation


class NodeAddress(msgspec.Struct, frozen=True):
    """Address at which a node serves callers."""

    node: NodeName
    address: Address
    domain: DomainName


class IssuedKey(msgspec.Struct, frozen=True):
    """Prefix of the idempotency keys that this node's incarnation may dispatch."""

    prefix: str
    valid_ms: int


class LocateResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """Response body: the node to use, for how long, and all nodes."""

    node: NodeName
    address: Address
    keep_ms: int
    addresses: tuple[NodeAddress, ...]
    issued_key: IssuedKey | None = None
