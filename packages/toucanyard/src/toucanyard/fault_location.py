"""Decide whether a service that this node can't reach is down, or this node is cut off.

Peers that reach the service show that this node is cut off. Right after the loss they
may not have noticed theirs yet, so the decision waits for a moment.
"""

from __future__ import annotations

import enum
from collections.abc import Iterator
from typing import Final

import msgspec

from toucanyard.log_entries import LogEntry
from toucanyard.names import EndpointName, ServiceName
from toucanyard.node_directory import NodeDirectory
from toucanyard.replica_reach import ReplicaReach

SETTLING_MS: Final = 300.0
"""Time in which peers with calls notice that they reach no replica, and say so."""


class FaultLocation(enum.StrEnum):
    """Why connects to the replicas of a service fail."""

    NONE = "none"
    """A replica can be reached."""
    UNDECIDED = "undecided"
    NODE = "node"
    """Peers reach the service: this node is cut off from it."""
    SERVICE = "service"
    """Nobody reaches it."""


class LocationChange(msgspec.Struct, frozen=True):
    """A change of where the fault of a service lies."""

    service: ServiceName
    location: FaultLocation
    is_end_of_cut: bool
    """Whether this node reaches the service again, which was never down for all."""


class FaultLocator:
    """Locations of the faults of all services, as last logged."""

    __slots__ = ("_down", "_logged", "_nodes", "_reach")

    def __init__(self, reach: ReplicaReach, nodes: NodeDirectory) -> None:
        self._reach = reach
        self._nodes = nodes
        self._logged: dict[ServiceName, FaultLocation] = {}
        self._down: set[ServiceName] = set()
        """Services that nobody reached at some time since this node lost them."""

    def locate(self, service: ServiceName, now_ms: float) -> FaultLocation:
        """Return why connects to a service fail, if they do."""
        if not self._reach.is_unreached(service):
            return FaultLocation.NONE
        if not self._nodes.find_reaching(service, now_ms):
            return FaultLocation.SERVICE
        if self._reach.compute_unreached_time(service, now_ms) < SETTLING_MS:
            return FaultLocation.UNDECIDED
        return FaultLocation.NODE

    def is_blind(self, replica: EndpointName, now_ms: float) -> bool:
        """Return whether this node's failed connects say nothing about a replica."""
        location = self.locate_replica(replica, now_ms, now_ms)
        return location in (FaultLocation.UNDECIDED, FaultLocation.NODE)

    def locate_replica(
        self, replica: EndpointName, since_ms: float, now_ms: float
    ) -> FaultLocation:
        """Return why a connect to a replica failed, if not by its own fault.

        `since_ms` is when it failed.
        """
        service = self._reach.find_service(replica)
        if service is None:
            return FaultLocation.NONE
        if self._reach.is_in_doubt(service, since_ms, now_ms):
            return FaultLocation.UNDECIDED
        return self.locate(service, now_ms)

    def update(self, now_ms: float) -> Iterator[LocationChange]:
        """Return the changes of locations since the last call."""
        for service in {*self._reach.list_unreached(), *self._logged}:
            location = self.locate(service, now_ms)
            before = self._logged.get(service, FaultLocation.NONE)
            if location is before:
                continue
            self._logged[service] = location
            is_end_of_cut = False
            if location is FaultLocation.SERVICE:
                self._down.add(service)
            elif location is FaultLocation.NONE:
                is_end_of_cut = service not in self._down
                self._down.discard(service)
                del self._logged[service]
            yield LocationChange(service, location, is_end_of_cut)

    def build_entry(self, change: LocationChange, now_ms: float) -> LogEntry:
        """Return the log entry for a change."""
        unreached_ms = self._reach.compute_unreached_time(change.service, now_ms)
        fields: dict[str, object] = {
            "service": change.service,
            "location": change.location.value,
            "unreached_ms": round(unreached_ms),
            "peers_reaching": len(self._nodes.find_reaching(change.service, now_ms)),
        }
        return LogEntry("fault_located", fields)
