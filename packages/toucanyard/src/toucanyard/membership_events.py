"""List what membership is told and what it wants done."""

from __future__ import annotations

import msgspec

from toucanyard.configuration import Configuration
from toucanyard.digests import Digest
from toucanyard.names import Address, EndpointName, Incarnation, NodeName
from toucanyard.vm_view import Vm


class VmListRead(msgspec.Struct, frozen=True):
    """The VM list was read."""

    vms: tuple[Vm, ...]


class EndpointReported(msgspec.Struct, frozen=True):
    """An endpoint answered this node a request that was sent at `asked_ms`."""

    endpoint: EndpointName
    incarnation: Incarnation
    asked_ms: float


class EndpointError(msgspec.Struct, frozen=True):
    """A try to reach an endpoint failed on this node."""

    endpoint: EndpointName


class DigestArrived(msgspec.Struct, frozen=True):
    """A peer sent a digest."""

    sender: NodeName
    digest: Digest


class PeerUp(msgspec.Struct, frozen=True):
    """A link to a peer stands."""

    peer: NodeName


class PeerDown(msgspec.Struct, frozen=True):
    """The link to a peer is gone."""

    peer: NodeName


class ConfigurationChanged(msgspec.Struct, frozen=True):
    """A version came into force; `digest` is its hash."""

    configuration: Configuration
    digest: int


class ConfigurationConfirmed(msgspec.Struct, frozen=True):
    """The version in force was known to be the newest at this time."""

    confirmed_ms: float


class NodeLeaves(msgspec.Struct, frozen=True):
    """This node's planned stop has begun; `address` is where it serves callers."""

    address: Address


class Ticked(msgspec.Struct, frozen=True):
    """Some time passed; wanted about every 100 ms."""


Event = (
    VmListRead
    | EndpointReported
    | EndpointError
    | DigestArrived
    | PeerUp
    | PeerDown
    | ConfigurationChanged
    | ConfigurationConfirmed
    | NodeLeaves
    | Ticked
)


class SendDigest(msgspec.Struct, frozen=True):
    """Send a digest to a peer."""

    to: NodeName
    digest: Digest


class EndpointRestarted(msgspec.Struct, frozen=True):
    """Forget what was known of an endpoint's earlier incarnation."""

    endpoint: EndpointName
    incarnation: Incarnation


class FetchConfiguration(msgspec.Struct, frozen=True):
    """Ask a peer for what it holds beyond `base`."""

    peer: NodeName
    base: int


class PeerConfirmed(msgspec.Struct, frozen=True):
    """Tell the configuration's log what a peer knew at a time of this node."""

    peer: NodeName
    version: int
    digest: int
    confirmed_ms: float


Action = SendDigest | EndpointRestarted | FetchConfiguration | PeerConfirmed
