"""Name types shared by every module, so that one name is not taken for another."""

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
# The name that a replica registers under; it may keep it when it starts again.
ReplicaId = NewType("ReplicaId", str)
RequestId = NewType("RequestId", str)
# Of what a request asks for; the same for each of its repeats.
Fingerprint = NewType("Fingerprint", str)
# An IP number and a port, "127.0.0.1:8080".
Address = NewType("Address", str)


class NodeId(msgspec.Struct, frozen=True):
    """One incarnation of one node; a restarted node is another one."""

    node: NodeName
    incarnation: Incarnation
