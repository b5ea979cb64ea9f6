"""Track the idle connections of one node to replicas, by incarnation.

Answers the load in which each call opens a connection: a round trip and a handshake
before each prompt, and replicas that spend their time on accepting.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

from toucanyard.names import EndpointName
from toucanyard.relay_options import ConnectionOptions
from toucanyard.relay_requests import RelayRequest
from toucanyard.requests import Repeatability

MAX_SHARE: Final = 0.6
"""Share of a replica's connections that all nodes may keep together; calls that open
their own need the rest."""
MAX_PER_REPLICA: Final = 2
"""Idle connections of one node to one replica: as many calls of a node seldom run at
the same replica."""
USE_MARGIN_MS: Final = 500.0
"""Time before a connection is closed from which on no call is sent on it."""


class KeptConnections:
    """Idle connections that calls may use; owned by one task."""

    __slots__ = ("_idle_until_ms", "_options")

    def __init__(self, options: ConnectionOptions) -> None:
        self._options = options
        self._idle_until_ms: dict[EndpointName, list[float]] = {}
        """Times until which each idle connection may be used, by replica."""

    def may_use(self, request: RelayRequest) -> bool:
        """Return whether a call may be sent on a kept connection."""
        is_repeatable = request.repeatability is Repeatability.REPEATABLE
        return self._options.is_kept and is_repeatable

    def may_keep(
        self, replica: EndpointName, max_connections: int, nodes: int, now_ms: float
    ) -> bool:
        """Return whether the connection of a call to a replica may be kept."""
        if not self._options.is_kept:
            return False
        share = int(max_connections * MAX_SHARE / max(nodes, 1))
        return self._count(replica, now_ms) < min(share, MAX_PER_REPLICA)

    def record_kept(self, replica: EndpointName, now_ms: float) -> None:
        """Record that the connection of a call that has ended is kept."""
        until_ms = now_ms + self._options.max_idle_ms - USE_MARGIN_MS
        self._idle_until_ms.setdefault(replica, []).append(until_ms)

    def take(self, replica: EndpointName, now_ms: float) -> bool:
        """Take an idle connection to a replica; return whether there is one."""
        if not self._count(replica, now_ms):
            return False
        self._idle_until_ms[replica].pop()
        return True

    def find_replicas(
        self, request: RelayRequest, now_ms: float
    ) -> Collection[EndpointName]:
        """Return the replicas to which a call may be sent on a kept connection."""
        if not self._idle_until_ms or not self.may_use(request):
            return frozenset()
        return frozenset(
            name
            for name, until_ms in self._idle_until_ms.items()
            if until_ms and until_ms[-1] > now_ms
        )

    def forget(self, replica: EndpointName) -> None:
        """Forget the connections to a replica at which a call has failed."""
        self._idle_until_ms.pop(replica, None)

    def retain(self, known: Collection[EndpointName]) -> None:
        """Forget all other replicas."""
        for name in self._idle_until_ms.keys() - set(known):
            del self._idle_until_ms[name]

    def _count(self, replica: EndpointName, now_ms: float) -> int:
        found = self._idle_until_ms.get(replica)
        if not found:
            return 0
        usable = [until_ms for until_ms in found if until_ms > now_ms]
        self._idle_until_ms[replica] = usable
        return len(usable)
