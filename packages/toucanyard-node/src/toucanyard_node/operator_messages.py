"""Request and response bodies of the operator API."""

from __future__ import annotations

import msgspec

from toucanyard.configuration import Configuration
from toucanyard.configuration_records import HistoryEntry
from toucanyard.errorcodes import ErrorKind
from toucanyard.names import (
    Address,
    DomainName,
    EndpointName,
    Incarnation,
    NodeId,
    NodeName,
    PoolName,
)
from toucanyard.patches import Put, Remove
from toucanyard.vm_view import Vm


class PatchBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a patch request; the author is derived from the API key."""

    patch_id: str
    base: int
    put: Put = Put()
    remove: Remove = Remove()


class PatchReply(msgspec.Struct, frozen=True):
    """Result of a patch; `version` is its own or that of the conflicting patch."""

    patch_id: str
    version: int
    error: ErrorKind | None
    text: str


class HistoryReply(msgspec.Struct, frozen=True):
    """The most recent versions, oldest first."""

    version: int
    entries: tuple[HistoryEntry, ...]


class DiffReply(msgspec.Struct, frozen=True):
    """Changes between two versions, as a patch from one to the other.

    Fields of `put` contain added or replaced items, those of `remove` removed ones.
    """

    base: int
    version: int
    put: Put
    remove: Remove


class EndpointStatus(msgspec.Struct, frozen=True):
    """This node's view of one endpoint."""

    name: EndpointName
    owner: str
    address: Address
    domain: DomainName
    is_usable: bool
    is_leaving: bool
    is_condemned: bool
    incarnation: Incarnation | None
    weights_version: str | None


class StatusReply(msgspec.Struct, frozen=True):
    """State of one node."""

    node: NodeName
    incarnation: Incarnation
    domain: DomainName
    version: int
    is_current: bool
    confirmed_age_ms: float | None
    is_draining: bool
    is_self_suspect: bool
    log_offset: int
    unknown_record_kinds: int
    divergent_peers: tuple[NodeName, ...]
    """Peers with a different configuration under the same version."""
    pending_requests: int
    queued_requests: int
    keys: int
    claims: int
    duties: tuple[PoolName, ...]
    """Pools whose lease this node holds."""
    peers: tuple[NodeId, ...]
    vms: tuple[Vm, ...]
    endpoints: tuple[EndpointStatus, ...]


class VersionReply(msgspec.Struct, frozen=True):
    """One version of the configuration."""

    configuration: Configuration
