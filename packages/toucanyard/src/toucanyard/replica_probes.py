"""Probe replicas whose calls were cut off or that could not be reached."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from toucanyard.crash_detector import Reachability
from toucanyard.names import ServiceName
from toucanyard.relay_events import LogEntry, ReadReplicaState, ReplicaStateRead
from toucanyard.replicas import KnownReplica, ReplicaDirectory
from toucanyard.request_guard import RequestGuard


class ReplicaProbes:
    """The probes of one node."""

    __slots__ = ("_directory", "_guard", "_is_probing_unreachable", "_is_unreached")

    def __init__(
        self,
        directory: ReplicaDirectory,
        guard: RequestGuard,
        is_unreached: Callable[[ServiceName], bool],
        is_probing_unreachable: Callable[[], bool],
    ) -> None:
        self._directory = directory
        self._guard = guard
        self._is_unreached = is_unreached
        self._is_probing_unreachable = is_probing_unreachable

    def probe_lost(self, now_ms: float) -> Iterator[ReadReplicaState]:
        """Probe replicas whose calls were cut off, to learn whether they still run."""
        for known in self._guard.detector.take_probes(now_ms):
            yield _build_probe(known)

    def probe_unreachable(self, now_ms: float) -> Iterator[ReadReplicaState]:
        """Request a report from replicas that could not be reached.

        Not in a large fleet: reports to all its nodes would cost the replicas and the
        nodes more than the failed calls that they avoid.
        """
        if not self._is_probing_unreachable():
            return
        for known in self._directory.list_served(now_ms):
            if self._is_unreached(known.replica.service):
                # One connect at a time shows when replicas can be reached again.
                continue
            if known.replica.weights and known.is_probe_due(now_ms):
                known.record_probe(now_ms)
                yield _build_probe(known)

    def on_read(self, read: ReplicaStateRead, now_ms: float) -> Iterator[LogEntry]:
        """Handle the result of a probe; end the backoff if the replica reported."""
        reach = read.reach if read.state is None else Reachability.ANSWERED
        self._guard.on_probe(read.replica, reach, read.asked_ms, now_ms)
        if read.state is None:
            return
        known = self._directory.find(read.replica)
        if known is not None and read.state.born_ms == known.replica.born_ms:
            known.record_still_running(read.asked_ms)
        if known is not None and known.is_backing_off(now_ms):
            known.record_success()
            fields = {"replica": read.replica, "asked_ms_ago": now_ms - read.asked_ms}
            yield LogEntry("replica_reached", fields)


def _build_probe(known: KnownReplica) -> ReadReplicaState:
    replica = known.replica
    return ReadReplicaState(replica.name, replica.listed_as, replica.address)
