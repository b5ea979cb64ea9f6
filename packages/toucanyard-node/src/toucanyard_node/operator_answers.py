"""Bodies of the operators' face, one class for each answer."""

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
    """What an operator sends; the author is taken from the key."""

    patch_id: str
    base: int
    put: Put = Put()
    remove: Remove = Remove()


class PatchReply(msgspec.Struct, frozen=True):
    """What became of a patch; `version` is its own or the one that won."""

    patch_id: str
    version: int
    error: ErrorKind | None
    text: str


class HistoryReply(msgspec.Struct, frozen=True):
    """The latest versions, oldest first."""

    version: int
    entries: tuple[HistoryEntry, ...]


class DiffReply(msgspec.Struct, frozen=True):
    """What changed between two versions, as the patch that leads from one to the other.

    Fields of `put` hold what was added or replaced, of `remove` what went.
    """

    base: int
    version: int
    put: Put
    remove: Remove


class EndpointStatus(msgspec.Struct, frozen=True):
    """One endpoint as this node sees it."""

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
    """How one node stands."""

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
    """Peers that hold another value under the same version."""
    pending_requests: int
    queued_requests: int
    keys: int
    claims: int
    duties: tuple[PoolName, ...]
    """Pools whose duty this node holds."""
    peers: tuple[NodeId, ...]
    vms: tuple[Vm, ...]
    endpoints: tuple[EndpointStatus, ...]


class VersionReply(msgspec.Struct, frozen=True):
    """One version of the configuration."""

    configuration: Configuration
