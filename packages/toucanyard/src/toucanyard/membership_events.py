"""Define the events that membership handles and the actions that it returns."""

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
    """An attempt of this node to reach an endpoint failed."""

    endpoint: EndpointName


class DigestArrived(msgspec.Struct, frozen=True):
    """A peer sent a digest."""

    sender: NodeName
    digest: Digest


class PeerUp(msgspec.Struct, frozen=True):
    """A link to a peer was established."""

    peer: NodeName


class PeerDown(msgspec.Struct, frozen=True):
    """The link to a peer was lost."""

    peer: NodeName


class ConfigurationChanged(msgspec.Struct, frozen=True):
    """A version came into force; `digest` is its hash."""

    configuration: Configuration
    digest: int


class ConfigurationConfirmed(msgspec.Struct, frozen=True):
    """The version in force was known to be the newest at this time."""

    confirmed_ms: float


class NodeLeaves(msgspec.Struct, frozen=True):
    """This node's planned shutdown has begun; `address` is where it serves callers."""

    address: Address


class Ticked(msgspec.Struct, frozen=True):
    """Time has passed; expected about every 100 ms."""


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
    """Discard all state of an endpoint's earlier incarnation."""

    endpoint: EndpointName
    incarnation: Incarnation


class FetchConfiguration(msgspec.Struct, frozen=True):
    """Request the configuration changes after version `base` from a peer."""

    peer: NodeName
    base: int


class PeerConfirmed(msgspec.Struct, frozen=True):
    """Report to the configuration log which version a peer had confirmed, and when.

    `confirmed_ms` is in this node's time.
    """

    peer: NodeName
    version: int
    digest: int
    confirmed_ms: float


Action = SendDigest | EndpointRestarted | FetchConfiguration | PeerConfirmed
