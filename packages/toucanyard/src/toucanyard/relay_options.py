"""Settings of a node that relays calls by routes.

Durations end in `_ms`. Where nothing else is said, a default was chosen for replicas
that answer within a second and a fleet of about ten nodes.
"""

from __future__ import annotations

import msgspec

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
    """The budget for retries, over all nodes."""

    ratio: float = 0.2
    slack: float = 50.0
    window_ms: int = 10_000


class WeightsTimings(msgspec.Struct, frozen=True):
    """How fast new weights have to be in force, and who may order."""

    deadline_ms: int = 8_000
    """Time from naming weights after which no call may begin on older ones."""
    lease_ms: int = 3_000
    """Least time between the orders of two holders."""


class StopTimings(msgspec.Struct, frozen=True):
    """Timings of a planned stop."""

    grace_ms: int = 8_000
    """Time after which the process is killed."""
    locate_ttl_ms: int = 1_000
    """How long callers may keep the addresses that they were told."""
    keep_factor: float = 3.0
    """By how much some callers overrun that time."""


class RelayOptions(msgspec.Struct, frozen=True):
    """All settings of one node that relays calls."""

    name: NodeName
    domain: DomainName
    listen: RelayListen
    store: Address
    seeds: tuple[Address, ...] = ()
    """Peers' addresses to try while no other node is known."""
    peer_secret: str = ""
    retries: RetryLimits = RetryLimits()
    weights: WeightsTimings = WeightsTimings()
    drain_ms: float = DRAIN_MS
    """How long replicas run after they have left the list."""
    stop: StopTimings = StopTimings()
    max_descriptors: int = 4_000
    limits: LimitBounds = LimitBounds()
    policy: RelayPolicy = RelayPolicy()
    link_mbps: float = 1_000.0
    """What the VM can send; in a large fleet those with the fastest links are hubs."""
