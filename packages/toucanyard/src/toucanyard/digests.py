"""Give the messages in which nodes tell one another what they know.

A digest names the sender's configuration and carries news: leaving VMs, suspected
and recovered endpoints, new incarnations. A piece of news is told once to each peer
and passed on, so it crosses the fleet in a few intervals; its age travels in place of
a time, since nodes' clocks aren't compared.
"""

from __future__ import annotations

import msgspec

from toucanyard.configuration_records import CheckpointRecord, ConfigurationDelta
from toucanyard.names import Address, EndpointName, Incarnation, NodeName


class Suspected(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """A source's own detector suspects an endpoint."""

    endpoint: EndpointName
    source: NodeName
    age_ms: int


class Recovered(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """A source that suspected an endpoint has an answer from it again."""

    endpoint: EndpointName
    source: NodeName
    age_ms: int


class Leaving(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """The VM list calls the VM at an endpoint's address leaving."""

    address: Address
    age_ms: int


class Restarted(msgspec.Struct, frozen=True, array_like=True, tag="i"):
    """An endpoint answered with an incarnation not seen before."""

    endpoint: EndpointName
    incarnation: Incarnation
    age_ms: int


GossipUpdate = Suspected | Recovered | Leaving | Restarted


class Digest(msgspec.Struct, frozen=True, array_like=True, tag="digest"):
    """What one node tells a peer at regular intervals.

    `sent_ms` is in the sender's time and comes back as `echo_ms`, so that a node can
    tell how old a confirmation is without comparing clocks. `confirmed_age_ms` is
    negative when the sender has never confirmed its version.
    """

    node: NodeName
    sent_ms: float
    echo_ms: float
    version: int
    configuration_digest: int
    confirmed_age_ms: float
    updates: tuple[GossipUpdate, ...] = ()


class ConfigurationRequest(msgspec.Struct, frozen=True, tag="configuration_request"):
    """Ask a peer for what it holds beyond a version."""

    base: int


class ConfigurationOffer(msgspec.Struct, frozen=True, tag="configuration_offer"):
    """Give a peer the whole state, where the patches to it are no longer kept."""

    checkpoint: CheckpointRecord


DigestMessage = Digest | ConfigurationRequest | ConfigurationDelta | ConfigurationOffer
