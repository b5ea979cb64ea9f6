"""Handle events about which replicas this node reaches."""

from __future__ import annotations

from collections.abc import Iterator

from toucanyard.brittle_replicas import BrittleReplicas
from toucanyard.fault_location import FaultLocator, LocationChange
from toucanyard.relay_events import RelayAction
from toucanyard.replica_reach import ReplicaReach
from toucanyard.replicas import ReplicaDirectory
from toucanyard.request_guard import RequestGuard


class ReachEvents:
    """Handler of one node's events that concern its connections to replicas."""

    __slots__ = ("_brittle", "_changes", "_directory", "_faults", "_guard", "_reach")

    def __init__(
        self,
        reach: ReplicaReach,
        faults: FaultLocator,
        guard: RequestGuard,
        directory: ReplicaDirectory,
        brittle: BrittleReplicas,
    ) -> None:
        self._reach = reach
        self._faults = faults
        self._guard = guard
        self._directory = directory
        self._brittle = brittle
        self._changes = 0
        """Changes of reachability that peers know of."""

    def settle(self, now_ms: float) -> Iterator[RelayAction]:
        """Emit the probes that are due, and apply where faults are located."""
        yield from self._reach.probe(now_ms)
        yield from self._reach.take_log_entries()
        yield from self._brittle.take_log_entries()
        for change in self._faults.update(now_ms):
            yield self._faults.build_entry(change, now_ms)
            self._apply_location(change, now_ms)
        if self._guard.has_undecided():
            self._guard.settle_undecided(
                lambda replica, since_ms: self._faults.locate_replica(
                    replica, since_ms, now_ms
                ),
                now_ms,
            )

    def has_changed(self) -> bool:
        """Return whether peers should learn of a change; they then know of it."""
        before, self._changes = self._changes, self._reach.change_count
        return before != self._changes

    def _apply_location(self, change: LocationChange, now_ms: float) -> None:
        listed = self._directory.find_listed(change.service, now_ms)
        if change.is_end_of_cut:
            for known in listed:
                # Its failures were those of this node's connections.
                known.forget_failures()
