"""Say to callers which nodes to use; the face sends what another task worked out."""

from __future__ import annotations

import msgspec

from toucanyard.names import Address, DomainName, Incarnation, NodeName


class NodeIdentity(msgspec.Struct, frozen=True):
    """Name one run of one node; request ids begin with it."""

    name: NodeName
    incarnation: Incarnation


class NodeAddress(msgspec.Struct, frozen=True):
    """Where one node serves callers."""

    node: NodeName
    address: Address
    domain: DomainName


class IssuedKey(msgspec.Struct, frozen=True):
    """Beginning of idempotency keys that this node's incarnation may dispatch."""

    prefix: str
    valid_ms: int


class LocateAnswer(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer of `GET /v1/locate`: the node to use, for how long, and the others."""

    node: NodeName
    address: Address
    keep_ms: int
    addresses: tuple[NodeAddress, ...]
    issued_key: IssuedKey | None = None
