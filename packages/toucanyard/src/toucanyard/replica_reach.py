"""Track whether this node can open connections to the replicas of each service.

One failed connect may be due to its replica. If connects to several replicas fail and
none succeeds, this node may be the one that is cut off: its peers show which. Responses
on open connections prove nothing, since new ones may fail while these live on.

An entry whose replica has never been reached, though another one could be at the same
moment, is most likely wrong. Its failures are no evidence, or entries of other writers,
which nobody removes, would cut this node off again and again.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Sequence
from typing import Final

from toucanyard.crash_detector import Reachability
from toucanyard.log_entries import LogEntry
from toucanyard.names import EndpointName, ServiceName
from toucanyard.relay_events import ConnectionProbed, ProbeConnection, ReplicaStateRead
from toucanyard.relay_requests import RelayOutcome
from toucanyard.replicas import KnownReplica, Replica, ReplicaDirectory
from toucanyard.requests import DispatchEnding

MIN_FAILED_REPLICAS: Final = 6
"""Replicas of a service to which connects must have failed since one last succeeded;
all of them if it has fewer."""
SAME_MOMENT_MS: Final = 100.0
"""Longest time between a failed connect and one to another replica that succeeded, for
the first to be due to its replica: a link that returns is down for longer."""
DOUBT_PROBES: Final = 5
"""Connects to other replicas that are tried at once after one has failed."""
MAX_DOUBT_MS: Final = 600.0
"""How long conclusions wait for connects to other replicas."""
DOUBT_PROBE_MS: Final = 200.0
"""Interval between these while some are open; longer than the timeout of a connect."""
MIN_PROBE_MS: Final = 20.0
"""The same once all have ended: a crash is concluded only after one has succeeded."""
PEER_LOSS_MS: Final = 1_000.0
"""How long a peer's statement that it reaches no replica is kept; it is repeated."""
EVIDENCE_MS: Final = 500.0
"""Age of the last connect up to which it shows what that peer needs to know."""
MIN_LOST_AGAIN: Final = 2
"""Replicas to which connects must fail in a row to end a return: one of them may have
ended and still be listed."""
RETURN_PROBE_MS: Final = 250.0
"""Interval between connects while no replica can be reached, each to another one."""
MIN_HOLD_MS: Final = 300.0
"""Time for which probes must succeed before calls are placed here again: at least two
probes."""
MAX_HOLD_MS: Final = 4_000.0
FLAP_MS: Final = 10_000.0
"""Time after a return in which another loss doubles that time."""


class ServiceReach:
    """What this node's connects show of one service."""

    __slots__ = (
        "connected_ms",
        "failed_ms",
        "hold_ms",
        "open_probes",
        "peer_lost_ms",
        "probe_count",
        "probed_ms",
        "reached",
        "returned_ms",
        "returning_ms",
        "unreached_ms",
        "wrong",
    )

    def __init__(self) -> None:
        self.connected_ms = float("-inf")
        """Begin of the latest connect that succeeded."""
        self.failed_ms: dict[EndpointName, float] = {}
        """Begin of the latest failed connect to each replica since then."""
        self.reached: set[EndpointName] = set()
        """Listed replicas to which a connect has succeeded."""
        self.wrong: set[EndpointName] = set()
        """Entries that were never reached, though others were at the same moment."""
        self.unreached_ms: float | None = None
        """Since when no replica could be reached; None if one can."""
        self.returning_ms: float | None = None
        """Since when all connects succeed while calls are not yet placed here again."""
        self.returned_ms = float("-inf")
        self.hold_ms = MIN_HOLD_MS
        self.peer_lost_ms = float("-inf")
        """When a peer last stated that it reaches no replica."""
        self.probed_ms = float("-inf")
        self.probe_count = 0
        self.open_probes = 0


class ReplicaReach:
    """Reachability of all services from this node.

    Invariant: a connect that began before another one succeeded is no evidence of a
    failure.
    """

    __slots__ = ("_directory", "_log_entries", "_services", "change_count")

    def __init__(self, directory: ReplicaDirectory) -> None:
        self._directory = directory
        self._services: dict[ServiceName, ServiceReach] = {}
        self._log_entries: list[LogEntry] = []
        self.change_count = 0
        """Number of times that a service became unreached or reached."""

    def is_unreached(self, service: ServiceName) -> bool:
        """Return whether this node can reach no replica of a service."""
        found = self._services.get(service)
        return found is not None and found.unreached_ms is not None

    def find_service(self, name: EndpointName) -> ServiceName | None:
        """Return the service of a replica."""
        known = self._directory.find(name)
        return None if known is None else known.replica.service

    def is_in_doubt(self, service: ServiceName, since_ms: float, now_ms: float) -> bool:
        """Return whether no connect has succeeded since one failed at `since_ms`."""
        found = self._services.get(service)
        if found is None or not found.failed_ms or found.unreached_ms is not None:
            return False
        is_confirmed = found.connected_ms >= since_ms
        return not is_confirmed and now_ms - since_ms < MAX_DOUBT_MS

    def compute_unreached_time(self, service: ServiceName, now_ms: float) -> float:
        """Return for how long no replica of a service could be reached, in ms."""
        found = self._services.get(service)
        if found is None or found.unreached_ms is None:
            return 0.0
        return now_ms - found.unreached_ms

    def list_unreached(self) -> tuple[ServiceName, ...]:
        """Return the services of which this node can reach no replica."""
        return tuple(
            name
            for name, service in self._services.items()
            if service.unreached_ms is not None
            and name in self._directory.list_services()
        )

    def is_cut_off(self, now_ms: float) -> bool:
        """Return whether this node can reach no replica of any service."""
        if not self.list_unreached():
            return False
        return all(
            self.is_unreached(name)
            for name in self._directory.list_services()
            if self._directory.find_listed(name, now_ms)
        )

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

    def record_probe(self, probed: ConnectionProbed, now_ms: float) -> None:
        """Record the result of a probe."""
        known = self._directory.find(probed.replica)
        if known is None:
            return
        service = self._find(known.replica.service)
        service.open_probes = max(service.open_probes - 1, 0)
        if probed.is_connected:
            self.record_connected(known.replica, probed.begun_ms, now_ms)
        else:
            self.record_failed(known.replica, probed.begun_ms, now_ms)

    def record_state_read(self, read: ReplicaStateRead, now_ms: float) -> None:
        """Record what a state request shows; one without an answer shows nothing."""
        known = self._directory.find(read.replica)
        if known is None:
            return
        if read.reach is Reachability.NO_LISTENER and read.state is None:
            self.record_failed(known.replica, read.asked_ms, now_ms)
        elif read.reach is not Reachability.NO_ANSWER or read.state is not None:
            self.record_connected(known.replica, read.asked_ms, now_ms)

    def record_connected(
        self, replica: Replica, begun_ms: float, now_ms: float
    ) -> None:
        """Record a connect that succeeded."""
        service = self._find(replica.service)
        service.reached.add(replica.name)
        service.wrong.discard(replica.name)
        if begun_ms <= service.connected_ms:
            return
        service.connected_ms = begun_ms
        service.wrong |= {
            name
            for name, failed_ms in service.failed_ms.items()
            if name not in service.reached
            and abs(begun_ms - failed_ms) <= SAME_MOMENT_MS
        }
        service.failed_ms = {
            name: failed_ms
            for name, failed_ms in service.failed_ms.items()
            if failed_ms > begun_ms
        }
        if service.unreached_ms is None or begun_ms <= service.unreached_ms:
            return
        if service.returning_ms is None:
            service.returning_ms = begun_ms
        if now_ms - service.returning_ms >= service.hold_ms:
            self._end(replica, service, now_ms)

    def record_failed(self, replica: Replica, begun_ms: float, now_ms: float) -> None:
        """Record a connect that failed or timed out."""
        service = self._find(replica.service)
        if begun_ms <= service.connected_ms:
            is_same = service.connected_ms - begun_ms <= SAME_MOMENT_MS
            if is_same and replica.name not in service.reached:
                service.wrong.add(replica.name)
            return
        service.failed_ms[replica.name] = begun_ms
        names = self._list_names(replica.service, now_ms)
        service.wrong.intersection_update(names)
        service.reached.intersection_update(names)
        failed = [name for name in names if name in service.failed_ms]
        if service.unreached_ms is not None:
            if _are_most(failed, names, service.wrong, MIN_LOST_AGAIN):
                service.returning_ms = None
            return
        if _are_most(failed, names, service.wrong, MIN_FAILED_REPLICAS):
            self._begin(replica.service, service, failed, len(names), now_ms)

    def record_peer_loss(self, services: Iterable[ServiceName], now_ms: float) -> None:
        """Record that a peer states that it reaches no replica of some services."""
        for name in services:
            self._find(name).peer_lost_ms = now_ms

    def probe(self, now_ms: float) -> Iterator[ProbeConnection]:
        """Return the connects to try now; none while there is no doubt."""
        if not any(_has_trace(each, now_ms) for each in self._services.values()):
            return
        lost_ms = max(each.unreached_ms or 0.0 for each in self._services.values())
        for name in self._directory.list_services():
            service = self._find(name)
            if service.unreached_ms is not None:
                yield from self._probe_return(name, service, now_ms)
            elif _is_doubtful(service, lost_ms, now_ms):
                is_local = service.failed_ms or service.connected_ms < lost_ms
                count = DOUBT_PROBES if is_local else 1
                yield from self._probe_doubt(name, service, count, now_ms)

    def take_log_entries(self) -> list[LogEntry]:
        """Return and clear the log entries."""
        entries, self._log_entries = self._log_entries, []
        return entries

    def _find(self, service: ServiceName) -> ServiceReach:
        return self._services.setdefault(service, ServiceReach())

    def _list_names(self, service: ServiceName, now_ms: float) -> list[EndpointName]:
        listed = self._directory.find_listed(service, now_ms)
        return [each.replica.name for each in listed]

    def _probe_return(
        self, name: ServiceName, service: ServiceReach, now_ms: float
    ) -> Iterator[ProbeConnection]:
        listed = self._directory.find_listed(name, now_ms)
        if not listed or now_ms - service.probed_ms < RETURN_PROBE_MS:
            return
        service.probed_ms = now_ms
        service.probe_count += 1
        yield _build_probe(listed[service.probe_count % len(listed)])

    def _probe_doubt(
        self, name: ServiceName, service: ServiceReach, count: int, now_ms: float
    ) -> Iterator[ProbeConnection]:
        interval_ms = DOUBT_PROBE_MS if service.open_probes else MIN_PROBE_MS
        if now_ms - service.probed_ms < interval_ms:
            return
        listed = self._directory.find_listed(name, now_ms)
        others: Sequence[KnownReplica] = [
            each for each in listed if each.replica.name not in service.failed_ms
        ]
        service.probed_ms = now_ms
        service.open_probes = len(others[:count])
        for each in others[:count]:
            yield _build_probe(each)

    def _begin(
        self,
        name: ServiceName,
        service: ServiceReach,
        failed: Sequence[EndpointName],
        listed: int,
        now_ms: float,
    ) -> None:
        is_flapping = now_ms - service.returned_ms < FLAP_MS
        longer_ms = min(2 * service.hold_ms, MAX_HOLD_MS)
        service.hold_ms = longer_ms if is_flapping else MIN_HOLD_MS
        service.unreached_ms = now_ms
        self.change_count += 1
        first_ms = min(service.failed_ms[each] for each in failed)
        connected_age_ms = now_ms - service.connected_ms
        is_known = connected_age_ms != float("inf")
        fields: dict[str, object] = {
            "service": name,
            "failed": len(failed),
            "listed": listed,
            "first_failed_ms_ago": round(now_ms - first_ms),
            "connected_ms_ago": round(connected_age_ms) if is_known else None,
            "hold_ms": round(service.hold_ms),
        }
        self._log_entries.append(LogEntry("service_unreached", fields))

    def _end(self, replica: Replica, service: ServiceReach, now_ms: float) -> None:
        unreached_ms = service.unreached_ms or now_ms
        service.unreached_ms = service.returning_ms = None
        service.returned_ms = now_ms
        self.change_count += 1
        fields: dict[str, object] = {
            "service": replica.service,
            "replica": replica.name,
            "unreached_ms": round(now_ms - unreached_ms),
        }
        self._log_entries.append(LogEntry("service_reached", fields))


def _are_most(
    failed: Sequence[EndpointName],
    names: Sequence[EndpointName],
    wrong: Collection[EndpointName],
    count: int,
) -> bool:
    """Return whether so many have failed, or all, also without the wrong entries."""
    sound = sum(name not in wrong for name in names)
    failed_sound = sum(name not in wrong for name in failed)
    if not sound:
        sound, failed_sound = len(names), len(failed)
    is_any = failed_sound > 0 and failed_sound >= min(sound, count)
    return is_any and len(failed) >= min(len(names), count)


def _has_trace(service: ServiceReach, now_ms: float) -> bool:
    """Return whether a connect has failed lately, here or at a peer."""
    is_lost_here = service.unreached_ms is not None or bool(service.failed_ms)
    return is_lost_here or now_ms - service.peer_lost_ms < PEER_LOSS_MS


def _is_doubtful(service: ServiceReach, lost_ms: float, now_ms: float) -> bool:
    """Return whether connects should show if a service can be reached.

    `lost_ms` is when this node last found that it reaches no replica of some service.
    """
    is_stale = now_ms - service.connected_ms > EVIDENCE_MS
    is_lost_at_peer = now_ms - service.peer_lost_ms < PEER_LOSS_MS
    is_older = service.connected_ms < lost_ms
    return bool(service.failed_ms) or is_older or (is_lost_at_peer and is_stale)


def _build_probe(known: KnownReplica) -> ProbeConnection:
    return ProbeConnection(known.replica.name, known.replica.address)
