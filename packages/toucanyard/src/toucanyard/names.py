"""Distinct types for the names used in all modules, so that they can't be confused."""

from __future__ import annotations

from typing import NewType

import msgspec

NodeName = NewType("NodeName", str)
Incarnation = NewType("Incarnation", str)
DomainName = NewType("DomainName", str)
CustomerName = NewType("CustomerName", str)
PoolName = NewType("PoolName", str)
ServiceName = NewType("ServiceName", str)
EndpointName = NewType("EndpointName", str)
# The name that a replica registers under; it may be unchanged after a restart.
ReplicaId = NewType("ReplicaId", str)
# An opaque word: two versions of a replica's program are equal or not, without order.
SoftwareVersion = NewType("SoftwareVersion", str)
RequestId = NewType("RequestId", str)
# Hash of a request's content; the same for each of its repeats.
Fingerprint = NewType("Fingerprint", str)
# An IP address and a port, "127.0.0.1:8080".
Address = NewType("Address", str)


class NodeId(msgspec.Struct, frozen=True):
    """One incarnation of a node; a restart creates a new one."""

    node: NodeName
    incarnation: Incarnation
