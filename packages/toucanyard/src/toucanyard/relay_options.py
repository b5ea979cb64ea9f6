"""Settings of a node that relays calls by routes.

Durations end in `_ms`. Unless noted otherwise, defaults suit replicas that respond
within a second and a fleet of about ten nodes.
"""

from __future__ import annotations

import msgspec

from toucanyard.byte_limits import ByteLimits
from toucanyard.names import Address, DomainName, NodeName
from toucanyard.rate_limits import LimitBounds
from toucanyard.relay_policy import RelayPolicy
from toucanyard.replicas import DRAIN_MS


class RelayListen(msgspec.Struct, frozen=True):
    """Addresses that a node listens on."""

    callers: Address
    readiness: Address
    locator: Address
    peers: Address
    metrics: Address


class RetryLimits(msgspec.Struct, frozen=True):
    """The retry budget of all nodes."""

    ratio: float = 0.2
    slack: float = 50.0
    window_ms: int = 10_000


class WeightsTimings(msgspec.Struct, frozen=True):
    """Deadlines for new weights, and the lease for sending orders."""

    deadline_ms: int = 8_000
    """Time after new weights are requested beyond which no call may begin on older
    ones."""
    lease_ms: int = 3_000
    """Minimum time between the orders of two lease holders."""


class StopTimings(msgspec.Struct, frozen=True):
    """Timings of a planned stop."""

    grace_ms: int = 8_000
    """Time after which the process is killed from outside."""
    locate_ttl_ms: int = 1_000
    """Time for which callers may cache the addresses they received."""
    keep_factor: float = 3.0
    """Factor by which some callers exceed that time."""


class ConnectionOptions(msgspec.Struct, frozen=True):
    """Whether connections to replicas are kept for further calls."""

    is_kept: bool = False
    max_idle_ms: float = 5_000.0
    """Time for which a connection is kept without a call. A link that is lost
    meanwhile is only noticed by the next call."""


class RelayOptions(msgspec.Struct, frozen=True):
    """All settings of one node that relays calls."""

    name: NodeName
    domain: DomainName
    listen: RelayListen
    store: Address
    seeds: tuple[Address, ...] = ()
    """Addresses of peers to try while no other node is known."""
    peer_secret: str = ""
    retries: RetryLimits = RetryLimits()
    weights: WeightsTimings = WeightsTimings()
    drain_ms: float = DRAIN_MS
    """Time for which replicas keep running after they were removed from the list."""
    stop: StopTimings = StopTimings()
    max_descriptors: int = 4_000
    limits: LimitBounds = LimitBounds()
    connections: ConnectionOptions = ConnectionOptions()
    bytes_received: ByteLimits = ByteLimits()
    policy: RelayPolicy = RelayPolicy()
    link_mbps: float = 1_000.0
    """Bandwidth of the VM; in a large fleet, nodes with the fastest links are hubs."""
