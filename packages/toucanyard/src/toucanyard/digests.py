"""Define the membership messages that nodes exchange.

A digest names the sender's configuration version and carries gossip updates: leaving
VMs, suspected and recovered endpoints, new incarnations. An update is sent once to each
peer and forwarded, so it reaches the whole fleet within a few intervals. It carries an
age rather than a timestamp, since the clocks of nodes are not synchronized.
"""

from __future__ import annotations

import msgspec

from toucanyard.configuration_records import CheckpointRecord, ConfigurationDelta
from toucanyard.names import Address, EndpointName, Incarnation, NodeName


class Suspected(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """The failure detector of the source node suspects an endpoint."""

    endpoint: EndpointName
    source: NodeName
    age_ms: int


class Recovered(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """A source node that suspected an endpoint has received an answer from it."""

    endpoint: EndpointName
    source: NodeName
    age_ms: int


class Leaving(msgspec.Struct, frozen=True, array_like=True, tag="l"):
    """The VM list marks the VM at an endpoint's address as leaving."""

    address: Address
    age_ms: int


class Restarted(msgspec.Struct, frozen=True, array_like=True, tag="i"):
    """An endpoint answered with an incarnation not seen before."""

    endpoint: EndpointName
    incarnation: Incarnation
    age_ms: int


GossipUpdate = Suspected | Recovered | Leaving | Restarted


class Digest(msgspec.Struct, frozen=True, array_like=True, tag="digest"):
    """What one node sends to a peer at regular intervals.

    `sent_ms` is in the sender's time and is returned as `echo_ms`, so that a node can
    bound the age of a confirmation without comparing clocks. `confirmed_age_ms` is
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
    """Request the configuration changes after version `base`."""

    base: int


class ConfigurationOffer(msgspec.Struct, frozen=True, tag="configuration_offer"):
    """Send the whole state, where the patches since `base` are no longer kept."""

    checkpoint: CheckpointRecord


DigestMessage = Digest | ConfigurationRequest | ConfigurationDelta | ConfigurationOffer
