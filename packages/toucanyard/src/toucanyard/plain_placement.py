"""Choose the least loaded replica of a plain call, preferably in the same domain."""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence
from typing import Final

import msgspec

from toucanyard.names import DomainName, EndpointName
from toucanyard.replica_usage import ReplicaUsage
from toucanyard.replicas import KnownReplica

MAX_OVERCOMMIT: Final = 1.5
"""Maximum concurrent calls of a plain replica relative to its slots: the next call is
already there when a slot becomes free, and few calls wait at the replica, where they
can't be reordered."""
FAR_SHARE: Final = 0.05
"""Price of a call to another failure domain, as a share of a full replica."""
JITTER_SHARE: Final = 0.02
"""Random spread among equal replicas, so that nodes with the same view don't all choose
the same one."""


CONNECT_SHARE: Final = 0.05
"""Price of opening a connection, as a share of a full replica: about as long as a
call to another failure domain takes longer."""


class PlacedPlain(msgspec.Struct, frozen=True):
    """The replica chosen for a plain call, and its load relative to its slots."""

    replica: KnownReplica
    load: float


class PlainPlacement:
    """Chooses among the replicas of a plain service."""

    __slots__ = ("_domain", "_rng", "_usage")

    def __init__(
        self, domain: DomainName, usage: ReplicaUsage, rng: random.Random
    ) -> None:
        self._domain = domain
        self._usage = usage
        self._rng = rng

    def choose(
        self,
        usable: Sequence[KnownReplica],
        now_ms: float,
        connected: Collection[EndpointName] = (),
    ) -> PlacedPlain | None:
        """Return the best replica with capacity, or None if the call has to wait.

        `connected` are the replicas to which there are kept connections.
        """
        best: PlacedPlain | None = None
        for known in usable:
            replica = known.replica
            slots = max(replica.slots, 1)
            running = self._usage.compute(replica.name, now_ms).running
            if running and running >= slots * MAX_OVERCOMMIT:
                continue
            load = running / slots + known.compute_failures(now_ms)
            load += 0.0 if replica.domain == self._domain else FAR_SHARE
            if connected and replica.name not in connected:
                load += CONNECT_SHARE
            load += self._rng.random() * JITTER_SHARE
            if best is None or load < best.load:
                best = PlacedPlain(known, load)
        return best
