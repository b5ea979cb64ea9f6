"""Choose the replica of a plain call: the least used one, the nearest of equals."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Final

import msgspec

from toucanyard.names import DomainName
from toucanyard.replica_usage import ReplicaUsage
from toucanyard.replicas import KnownReplica

MAX_OVERCOMMIT: Final = 1.5
"""Calls sent to a plain replica at once, as a share of its slots: the next one is there
when a slot becomes free, and few wait where no one can order them."""
FAR_SHARE: Final = 0.05
"""Price of the way between failure domains, as a share of a full replica."""
JITTER_SHARE: Final = 0.02
"""Spread of equals, so that nodes that see the same don't all choose the same one."""


class PlacedPlain(msgspec.Struct, frozen=True):
    """The replica chosen for a plain call, and its use in shares of its slots."""

    replica: KnownReplica
    load: float


class PlainPlacement:
    """The choice among replicas of a plain service."""

    __slots__ = ("_domain", "_rng", "_usage")

    def __init__(
        self, domain: DomainName, usage: ReplicaUsage, rng: random.Random
    ) -> None:
        self._domain = domain
        self._usage = usage
        self._rng = rng

    def choose(
        self, usable: Sequence[KnownReplica], now_ms: float
    ) -> PlacedPlain | None:
        """Return the best replica with room, or None if the call has to wait."""
        best: PlacedPlain | None = None
        for known in usable:
            replica = known.replica
            slots = max(replica.slots, 1)
            running = self._usage.compute(replica.name, now_ms).running
            if running and running >= slots * MAX_OVERCOMMIT:
                continue
            load = running / slots + known.compute_failures(now_ms)
            load += 0.0 if replica.domain == self._domain else FAR_SHARE
            load += self._rng.random() * JITTER_SHARE
            if best is None or load < best.load:
                best = PlacedPlain(known, load)
        return best
