"""Bound the calls that brittle replicas have to reject, over all nodes together.

A brittle replica ends when it rejects more calls in a second than it has stated. Only
rejections show how many calls it accepts at once. One node, its sender, places all
calls on it and knows every rejection at once; if each of several nodes learnt from
rejections of its own, these alone would be too many.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Sequence
from typing import Final

from toucanyard.log_entries import LogEntry
from toucanyard.log_rate_limit import LogRateLimit
from toucanyard.names import EndpointName, ServiceName
from toucanyard.node_directory import NodeDirectory, PeerAddress
from toucanyard.rendezvous import compute_seed, compute_weight
from toucanyard.replica_limits import ReplicaLimits
from toucanyard.replica_reach import ReplicaReach
from toucanyard.replica_usage import ReplicaUsage
from toucanyard.replicas import KnownReplica, Replica, ReplicaDirectory

WINDOW_MS: Final = 1_100.0
"""The second in which rejections count, and the delay until one is known."""
CONFIRM_MS: Final = 200.0
"""Time in which a rejection arrives and is handled, also on a busy node. A call whose
response has begun is no longer at risk."""
MIN_REJECTIONS: Final = 1.0
"""Rejections a second that are risked at least: only they show how much a replica
accepts."""
DECREASE: Final = 0.7
"""Factor by which the number of calls at once decreases after a rejection."""
STEADY_MS: Final = 1_500.0
"""Time since the last rejection after which more calls are tried."""
GROW_MS: Final = 250.0
"""Interval between two increases by one call."""
RETURN_ROOM: Final = 2
"""Calls at once at a replica that has just returned to a brittle service."""
NODES_TTL_MS: Final = 250.0
"""Interval between checks which nodes reach a service. Senders are computed again
only if these have changed: in a large fleet, ranking all nodes takes long."""


class _Room:
    """How many calls a replica accepts at once, as its sender knows."""

    __slots__ = ("calls", "grown_ms", "rejected_ms")

    def __init__(self, calls: int | None) -> None:
        self.calls = calls
        """None until a rejection shows a bound."""
        self.grown_ms = float("-inf")
        self.rejected_ms: deque[float] = deque()


class _Senders:
    """The senders of one service's replicas among the nodes that reach it."""

    __slots__ = ("by_replica", "is_reached", "nodes", "until_ms")

    def __init__(self) -> None:
        self.is_reached = True
        """Whether this node reaches the service."""
        self.nodes: list[PeerAddress] = []
        self.by_replica: dict[EndpointName, PeerAddress | None] = {}
        """None if the sender is this node."""
        self.until_ms = float("-inf")


class BrittleReplicas:
    """The brittle replicas as one node knows them.

    Invariant: the rejections of a window and the calls whose rejection may still arrive
    are never more than the replica has stated.
    """

    __slots__ = (
        "_by_service",
        "_change_count",
        "_directory",
        "_log_entries",
        "_nodes",
        "_reach",
        "_rooms",
        "_senders",
        "_statements",
        "_updates",
        "_usage",
    )

    def __init__(
        self,
        statements: ReplicaLimits,
        directory: ReplicaDirectory,
        nodes: NodeDirectory,
        reach: ReplicaReach,
        usage: ReplicaUsage,
    ) -> None:
        self._statements = statements
        self._directory = directory
        self._nodes = nodes
        self._reach = reach
        self._usage = usage
        self._rooms: dict[EndpointName, _Room] = {}
        self._senders: dict[ServiceName, _Senders] = {}
        self._by_service: dict[ServiceName, float] = {}
        """Lowest stated number of the brittle replicas of each service."""
        self._change_count = 0
        self._log_entries: list[LogEntry] = []
        self._updates = LogRateLimit("replica_room_changed")

    def find_rate(self, known: KnownReplica) -> float | None:
        """Return the rejections a second that a replica bears; None if it is sound.

        A replica that has not responded yet is as brittle as others of its service, and
        one that has just returned is met with few calls.
        """
        if not self._statements.has_limits():
            return None
        self._update_services()
        name = known.replica.name
        rate = self._statements.find_rate(name)
        if rate is None:
            rate = self._by_service.get(known.replica.service)
        if rate is not None and name not in self._rooms:
            self._rooms[name] = _Room(RETURN_ROOM)
        return rate

    def find_sender(self, known: KnownReplica, now_ms: float) -> PeerAddress | None:
        """Return the peer that places all calls on a brittle replica.

        None if it is this node.
        """
        replica = known.replica
        senders = self._find_senders(replica.service, now_ms)
        if replica.name not in senders.by_replica:
            peer = self._choose_sender(replica, senders)
            senders.by_replica[replica.name] = peer
        return senders.by_replica[replica.name]

    def select_local(
        self, usable: Sequence[KnownReplica], now_ms: float
    ) -> Sequence[KnownReplica]:
        """Return the replicas on which this node may place a call now."""
        if not self._statements.has_limits():
            return usable
        return [each for each in usable if self._may_send(each, now_ms)]

    def select_remote(
        self, usable: Sequence[KnownReplica], now_ms: float
    ) -> list[KnownReplica]:
        """Return the brittle replicas whose sender is a peer."""
        if not self._statements.has_limits():
            return []
        return [
            each
            for each in usable
            if self.find_rate(each) is not None
            and self.find_sender(each, now_ms) is not None
        ]

    def is_sender_of_any(self, usable: Sequence[KnownReplica], now_ms: float) -> bool:
        """Return whether this node places calls on one of some replicas."""
        return any(
            self.find_rate(each) is None or self.find_sender(each, now_ms) is None
            for each in usable
        )

    def record_sent(self, known: KnownReplica, now_ms: float) -> None:
        """Record that a call is placed on a replica, which may try its bound."""
        room = self._rooms.get(known.replica.name)
        if room is None or room.calls is None:
            return
        running = self._usage.compute(known.replica.name, now_ms).running
        if running > room.calls:
            room.calls = running
            room.grown_ms = now_ms

    def record_rejected(self, known: KnownReplica, now_ms: float) -> None:
        """Record that a brittle replica has rejected a call for want of room."""
        name = known.replica.name
        room = self._rooms.setdefault(name, _Room(None))
        running = self._usage.compute(name, now_ms).running
        before = room.calls
        is_steady = now_ms - room.grown_ms < WINDOW_MS and not room.rejected_ms
        room.calls = max(running if is_steady else int(running * DECREASE), 1)
        room.rejected_ms.append(now_ms)
        fields: dict[str, object] = {
            "replica": name,
            "room": room.calls,
            "before": before,
            "running": running,
            "rejections": len(room.rejected_ms),
        }
        self._log_entries += self._updates.log(fields, now_ms)

    def is_brittle(self, known: KnownReplica) -> bool:
        """Return whether a replica is brittle."""
        return self.find_rate(known) is not None

    def is_service_brittle(self, service: ServiceName) -> bool:
        """Return whether replicas of a service are brittle."""
        if not self._statements.has_limits():
            return False
        self._update_services()
        return service in self._by_service

    def retain(self, names: Sequence[EndpointName]) -> None:
        """Drop what is known of replicas that have been removed."""
        kept = set(names)
        self._rooms = {k: v for k, v in self._rooms.items() if k in kept}
        for senders in self._senders.values():
            held = senders.by_replica.items()
            senders.by_replica = {k: v for k, v in held if k in kept}

    def take_log_entries(self) -> Iterator[LogEntry]:
        """Return and clear the log entries."""
        entries, self._log_entries = self._log_entries, []
        yield from entries

    def _may_send(self, known: KnownReplica, now_ms: float) -> bool:
        rate = self.find_rate(known)
        if rate is None:
            return True
        if self.find_sender(known, now_ms) is not None:
            return False
        name = known.replica.name
        room = self._rooms.setdefault(name, _Room(None))
        while room.rejected_ms and now_ms - room.rejected_ms[0] >= WINDOW_MS:
            room.rejected_ms.popleft()
        risked = self._usage.count_unanswered(name, now_ms - CONFIRM_MS) + 1
        if len(room.rejected_ms) + risked > max(rate, MIN_REJECTIONS):
            return False
        if room.calls is None:
            return True
        running = self._usage.compute(name, now_ms).running
        return running < room.calls + self._compute_growth(room, now_ms)

    def _compute_growth(self, room: _Room, now_ms: float) -> int:
        is_rejecting = bool(room.rejected_ms) and (
            now_ms - room.rejected_ms[-1] < STEADY_MS
        )
        return int(not is_rejecting and now_ms - room.grown_ms >= GROW_MS)

    def _find_senders(self, service: ServiceName, now_ms: float) -> _Senders:
        senders = self._senders.setdefault(service, _Senders())
        if now_ms >= senders.until_ms:
            senders.until_ms = now_ms + NODES_TTL_MS
            nodes = self._nodes.find_reaching(service, now_ms)
            if nodes != senders.nodes:
                senders.nodes = nodes
                senders.by_replica = {}
        is_reached = not self._reach.is_unreached(service)
        if is_reached != senders.is_reached:
            senders.is_reached = is_reached
            senders.by_replica = {}
        return senders

    def _choose_sender(self, replica: Replica, senders: _Senders) -> PeerAddress | None:
        key = compute_seed(replica.name)
        best = max(senders.nodes, key=lambda each: _rank(each.node, key), default=None)
        if best is None:
            return None
        is_first = _rank(self._nodes.own_name, key) > _rank(best.node, key)
        return None if senders.is_reached and is_first else best

    def _update_services(self) -> None:
        """Find the brittle services again after a statement has changed."""
        if self._change_count == self._statements.change_count:
            return
        self._change_count = self._statements.change_count
        before, self._by_service = self._by_service, {}
        for name, rate in self._statements.list_limited():
            known = self._directory.find(name)
            if known is not None:
                service = known.replica.service
                lowest = self._by_service.get(service, rate)
                self._by_service[service] = min(lowest, rate)
        for known in self._directory.list_all():
            service, name = known.replica.service, known.replica.name
            if service not in self._by_service:
                self._rooms.pop(name, None)
            elif service not in before:
                # These were there before, and their room is not known to be less.
                self._rooms.setdefault(name, _Room(None))


def _rank(node: str, key: int) -> int:
    return compute_weight(compute_seed(EndpointName(node)), key)
