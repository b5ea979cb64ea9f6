"""Track whether this node can open connections to the replicas of each service.

One failed connect may be due to its replica. If connects to several replicas fail and
none succeeds, this node may be the one that is cut off: its peers show which.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from toucanyard.log_entries import LogEntry
from toucanyard.names import EndpointName, ServiceName
from toucanyard.relay_requests import RelayOutcome
from toucanyard.replicas import Replica, ReplicaDirectory
from toucanyard.requests import DispatchEnding

MIN_FAILED_REPLICAS: Final = 3
"""Replicas of a service to which connects must have failed since one last succeeded;
all of them if it has fewer."""


class ServiceReach:
    """What this node's connects show of one service."""

    __slots__ = ("connected_ms", "failed_ms", "unreached_ms")

    def __init__(self) -> None:
        self.connected_ms = float("-inf")
        """Begin of the latest connect that succeeded."""
        self.failed_ms: dict[EndpointName, float] = {}
        """Begin of the latest failed connect to each replica since then."""
        self.unreached_ms: float | None = None
        """Since when no replica could be reached; None if one can."""


class ReplicaReach:
    """Reachability of all services from this node.

    Invariant: a connect that began before another one succeeded is no evidence of a
    failure.
    """

    __slots__ = ("_directory", "_log_entries", "_services")

    def __init__(self, directory: ReplicaDirectory) -> None:
        self._directory = directory
        self._services: dict[ServiceName, ServiceReach] = {}
        self._log_entries: list[LogEntry] = []

    def is_unreached(self, service: ServiceName) -> bool:
        """Return whether this node can reach no replica of a service."""
        found = self._services.get(service)
        return found is not None and found.unreached_ms is not None

    def record_outcome(
        self, replica: Replica, outcome: RelayOutcome, begun_ms: float, now_ms: float
    ) -> None:
        """Record what a dispatch that began at `begun_ms` shows."""
        if outcome.ending is DispatchEnding.CANCELLED:
            # It may have been cancelled while it was connecting.
            return
        if outcome.ending is DispatchEnding.NOT_SENT and outcome.is_dead:
            self.record_failed(replica, begun_ms, now_ms)
        else:
            self.record_connected(replica, begun_ms, now_ms)

    def record_connected(
        self, replica: Replica, begun_ms: float, now_ms: float
    ) -> None:
        """Record a connect that succeeded."""
        service = self._find(replica.service)
        if begun_ms <= service.connected_ms:
            return
        service.connected_ms = begun_ms
        service.failed_ms = {
            name: failed_ms
            for name, failed_ms in service.failed_ms.items()
            if failed_ms > begun_ms
        }
        if service.unreached_ms is not None and begun_ms > service.unreached_ms:
            self._log_reached(replica, now_ms - service.unreached_ms)
            service.unreached_ms = None

    def record_failed(self, replica: Replica, begun_ms: float, now_ms: float) -> None:
        """Record a connect that failed or timed out."""
        service = self._find(replica.service)
        if begun_ms <= service.connected_ms:
            return
        service.failed_ms[replica.name] = begun_ms
        listed = self._directory.find_listed(replica.service, now_ms)
        names = {each.replica.name for each in listed}
        failed = names & service.failed_ms.keys()
        is_enough = len(failed) >= min(len(names), MIN_FAILED_REPLICAS)
        if service.unreached_ms is None and failed and is_enough:
            service.unreached_ms = now_ms
            self._log_unreached(replica.service, failed, len(names), now_ms)

    def take_log_entries(self) -> list[LogEntry]:
        """Return and clear the log entries."""
        entries, self._log_entries = self._log_entries, []
        return entries

    def _find(self, service: ServiceName) -> ServiceReach:
        return self._services.setdefault(service, ServiceReach())

    def _log_unreached(
        self,
        name: ServiceName,
        failed: Iterable[EndpointName],
        listed: int,
        now_ms: float,
    ) -> None:
        service = self._services[name]
        first_ms = min(service.failed_ms[each] for each in failed)
        connected_age_ms = now_ms - service.connected_ms
        is_known = connected_age_ms != float("inf")
        fields: dict[str, object] = {
            "service": name,
            "failed": len(service.failed_ms),
            "listed": listed,
            "first_failed_ms_ago": round(now_ms - first_ms),
            "connected_ms_ago": round(connected_age_ms) if is_known else None,
        }
        self._log_entries.append(LogEntry("service_unreached", fields))

    def _log_reached(self, replica: Replica, unreached_ms: float) -> None:
        fields: dict[str, object] = {
            "service": replica.service,
            "replica": replica.name,
            "unreached_ms": round(unreached_ms),
        }
        self._log_entries.append(LogEntry("service_reached", fields))
