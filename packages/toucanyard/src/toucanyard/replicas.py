"""Track the replicas of each service: which may get work, and with which weights.

The platform's log lists the replicas. Observations from this node's own calls take
precedence for a short time: a crashed replica stays listed for seconds, and a store
that was unavailable drops replicas that are alive.
"""

from __future__ import annotations

import enum
from collections.abc import Collection, Iterable
from typing import Final

import msgspec

from toucanyard.link_messages import ReplicaRestart
from toucanyard.names import (
    Address,
    DomainName,
    EndpointName,
    ReplicaId,
    ServiceName,
    SoftwareVersion,
)
from toucanyard.replica_incarnations import ReplicaIncarnations
from toucanyard.stated_weights import (
    UNKNOWN_MS,
    StatedSpan,
    StatedWeights,
    WeightsChange,
)
from toucanyard.store_availability import StoreOutage
from toucanyard.stream_origins import StreamOrigin

MIN_BACKOFF_MS: Final = 250.0
"""First backoff after a failure; a crashed process refuses connections for longer."""
REFUSAL_PAUSE_MS: Final = 600.0
"""Pause after a refusal; then one call tests whether it accepts calls again."""
MAX_BACKOFF_MS: Final = 1_000.0
"""Longest backoff: a replica that recovers should get calls at once."""
CRASH_BACKOFF_MS: Final = 5_000.0
"""How long a crashed replica may stay listed."""
EXPIRY_GRACE_MS: Final = 2_500.0
"""How long after the store's return a replica that left the list is still used: a live
one is listed again within two seconds, and known here half a second later."""
MASS_REMOVAL_SHARE: Final = 0.5
"""Share of a service's replicas whose removal at once may be an expiry of their leases
that this node did not see."""
DRAIN_MS: Final = 2_000.0
"""How long a replica runs after it has left the list, by default."""
SEND_MARGIN_MS: Final = 250.0
"""How long before that it gets its last call: 150 for the connect timeout, and the
rest for the delay on a busy node."""
RETURN_DETECTION_MS: Final = 400.0
"""Longest time from the store's return to the first read: the nodes that read first do
so every 300 ms, answered or not, and check every 50 ms whether a read is due."""
PROBE_MS: Final = 500.0
"""Time between two probes of a replica that could not be reached."""
MAX_PROBED_MS: Final = 5_000.0
"""How long a replica gets no calls because it does not answer probes; then one call
tests whether it serves calls all the same."""
FORGET_MS: Final = 30_000.0
"""How long a removed replica is kept."""
LEAVE_REPORT_MS: Final = 20_000.0
"""Validity of a peer's report that a replica leaves: longer than peers repeat it, so
that it expires unless this node receives such a response itself."""
MAX_REPORTED_SHARE: Final = 0.5
"""Maximum share of a service's usable replicas that peers' reports may exclude."""
RESTART_DOUBT_MS: Final = 3_000.0
"""How long a replica that closed a connection may have restarted without this node's
knowledge; its entry is read by then."""
FAILURE_HALF_LIFE_MS: Final = 3_000.0
MAX_BOUND_WEIGHT: Final = 8
"""Maximum number of failures that one answer without end counts as."""
"""Half-life of the weight of a failure."""


class LeaveSource(enum.StrEnum):
    """Where the information that a replica leaves comes from."""

    STORE = "store"
    ANSWER = "answer"
    """One of its own responses to this node."""
    PEER = "peer"


class Replica(msgspec.Struct, frozen=True):
    """One incarnation of a replica, as it registered itself."""

    name: EndpointName
    """Of this incarnation; made by `name_incarnation`."""
    listed_as: ReplicaId
    """The id under which it registers and answers, unchanged by a restart."""
    service: ServiceName
    address: Address
    domain: DomainName
    slots: int
    is_draining: bool
    weights: tuple[tuple[str, int], ...] = ()
    """Model and weights version of each loaded model."""
    born_ms: int | None = None
    """Start of this incarnation by the replica's clock; None if not reported."""
    software_version: SoftwareVersion = SoftwareVersion("")
    """Version of its program. Events of two versions do not form one stream."""


class Removal(msgspec.Struct, frozen=True):
    """How a replica left the list."""

    listed_ms: float
    """When the store listed it last; it may have been removed right after."""
    is_mass: bool
    """Whether at least half of its service was removed with it."""


class KnownReplica:
    """The state of one replica, as this node knows it."""

    __slots__ = (
        "_backoff_ms",
        "_broken_bounds",
        "_failures",
        "_failures_ms",
        "_doubted_until_ms",
        "_probed_ms",
        "_unreached_ms",
        "backoff_until_ms",
        "gone_ms",
        "grace_until_ms",
        "is_leaving",
        "leave_reported_until_ms",
        "leave_stated_ms",
        "loading_until_ms",
        "removal",
        "replica",
        "deferred_until_ms",
        "stated_weights",
    )

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.stated_weights = StatedWeights(dict(replica.weights))
        self.is_leaving = replica.is_draining
        """Whether its entry in the store says that it leaves."""
        self.leave_stated_ms: float | None = None
        """When one of its responses first said so to this node."""
        self.leave_reported_until_ms = float("-inf")
        """When a peer's report that it leaves expires."""
        self.gone_ms: float | None = None
        self.removal: Removal | None = None
        """None while it is listed, and once it certainly no longer serves."""
        self.grace_until_ms = float("-inf")
        self.backoff_until_ms = float("-inf")
        self.loading_until_ms = float("-inf")
        self.deferred_until_ms = float("-inf")
        """When the time that it asked this node to wait for ends."""
        self._backoff_ms = 0.0
        self._unreached_ms = float("inf")
        """Since when it has been unreachable."""
        self._probed_ms = float("-inf")
        self._failures = 0.0
        self._failures_ms = float("-inf")
        self._broken_bounds = 0
        """Answers that exceeded a bound since the last sound one."""
        self._doubted_until_ms = float("-inf")
        """Until when it may have restarted with another software version."""

    def update(self, replica: Replica, now_ms: float) -> None:
        """Apply the replica's entry, which may be older than its other statements."""
        self.replica = replica
        self.gone_ms = None
        self.removal = None
        # A replica never revokes its leave: a stale entry must not give it work.
        self.is_leaving = self.is_leaving or replica.is_draining
        for model, version in replica.weights:
            self.record_weights(model, version, StatedSpan(UNKNOWN_MS, now_ms))

    @property
    def weights(self) -> dict[str, int]:
        """Return the version of each loaded model."""
        return self.stated_weights.versions

    def record_weights(
        self, model: str, version: int, span: StatedSpan
    ) -> WeightsChange:
        """Record a statement about weights; return what it changes.

        If they are newer, the load is complete, whichever source showed it first.
        """
        change = self.stated_weights.record(model, version, span)
        if change is WeightsChange.NEWER:
            self.loading_until_ms = float("-inf")
        return change

    @property
    def software_origin(self) -> StreamOrigin:
        """Return where streams begin that it runs."""
        return StreamOrigin(self.replica.service, self.replica.software_version)

    def is_listed(self, now_ms: float) -> bool:
        """Return whether it may get work according to the log and its responses."""
        if self.has_left():
            return False
        return self.gone_ms is None or now_ms < self.grace_until_ms

    def has_left(self) -> bool:
        """Return whether its entry or one of its responses says that it leaves.

        Either source is enough, as the other may lag, and neither is ever revoked.
        """
        return self.is_leaving or self.leave_stated_ms is not None

    def list_leave_sources(self, now_ms: float) -> list[LeaveSource]:
        """Return the sources that say that it leaves."""
        sources = []
        if self.is_leaving:
            sources.append(LeaveSource.STORE)
        if self.leave_stated_ms is not None:
            sources.append(LeaveSource.ANSWER)
        if self.is_reported_leaving(now_ms):
            sources.append(LeaveSource.PEER)
        return sources

    def is_reported_leaving(self, now_ms: float) -> bool:
        """Return whether only a peer has reported that it leaves."""
        return now_ms < self.leave_reported_until_ms and not self.has_left()

    def compute_gone(self, now_ms: float) -> float | None:
        """Return the time since it was removed from the list; None if it is listed."""
        return None if self.gone_ms is None else now_ms - self.gone_ms

    def is_backing_off(self, now_ms: float) -> bool:
        """Return whether it gets no calls since it recently failed one."""
        return now_ms < self.backoff_until_ms

    def is_loading(self, now_ms: float) -> bool:
        """Return whether it accepts no new calls since it loads weights."""
        return now_ms < self.loading_until_ms

    def is_deferred(self, now_ms: float) -> bool:
        """Return whether it has asked this node to send no calls yet."""
        return now_ms < self.deferred_until_ms

    def compute_deferral(self, now_ms: float) -> float:
        """Return the remaining time for which it accepts no calls, in ms."""
        return max(self.deferred_until_ms - now_ms, 0.0)

    def record_deferral(self, until_ms: float) -> None:
        """Record until when it asked for no calls; an earlier time has no effect."""
        self.deferred_until_ms = max(self.deferred_until_ms, until_ms)

    def find_usable_time(self) -> float:
        """Return when its deferral, load and backoff will all have ended."""
        return max(self.deferred_until_ms, self.loading_until_ms, self.backoff_until_ms)

    def record_failure(self, now_ms: float, *, is_dead: bool) -> None:
        """Record a failed call; `is_dead`: whether nothing answered at its address."""
        self._failures = self.compute_failures(now_ms) + 1.0
        self._failures_ms = now_ms
        if is_dead:
            self._backoff_ms = min(
                max(2 * self._backoff_ms, MIN_BACKOFF_MS), MAX_BACKOFF_MS
            )
            self.backoff_until_ms = now_ms + self._backoff_ms
            self._unreached_ms = min(self._unreached_ms, now_ms)

    def record_broken_bound(self, now_ms: float) -> None:
        """Record an answer without end; each further one counts twice as much."""
        weight = min(2**self._broken_bounds, MAX_BOUND_WEIGHT)
        self._broken_bounds += 1
        self._failures = self.compute_failures(now_ms) + weight
        self._failures_ms = now_ms

    def record_possible_restart(self, now_ms: float) -> None:
        """Record that its process may have ended and started again under its id."""
        if self.replica.born_ms is not None:
            self._doubted_until_ms = now_ms + RESTART_DOUBT_MS

    def record_still_running(self, asked_ms: float) -> None:
        """Record that the same incarnation answered a request sent at a time."""
        if asked_ms >= self._doubted_until_ms - RESTART_DOUBT_MS:
            self._doubted_until_ms = float("-inf")

    def may_have_restarted(self, now_ms: float) -> bool:
        """Return whether another incarnation may run under its id by now."""
        return now_ms < self._doubted_until_ms

    def record_crash(self, at_ms: float) -> None:
        """Back off until the crashed replica has left the list."""
        self.backoff_until_ms = max(self.backoff_until_ms, at_ms + CRASH_BACKOFF_MS)

    def is_probe_due(self, now_ms: float) -> bool:
        """Return whether it should be probed to learn whether it has recovered."""
        return self.is_backing_off(now_ms) and now_ms - self._probed_ms >= PROBE_MS

    def record_probe(self, now_ms: float) -> None:
        """Record a probe; back off until after the next one."""
        self._probed_ms = now_ms
        if now_ms - self._unreached_ms < MAX_PROBED_MS:
            self.backoff_until_ms = max(self.backoff_until_ms, now_ms + 2 * PROBE_MS)

    def record_refused_call(self, now_ms: float) -> None:
        """Record that it refused a call: it is full, or about to load weights.

        It then refuses every call until its running ones have ended, for a second or
        more.
        """
        self.loading_until_ms = max(self.loading_until_ms, now_ms + REFUSAL_PAUSE_MS)

    def record_success(self) -> None:
        """Record an answer."""
        self._broken_bounds = 0
        self._backoff_ms = 0.0
        self._unreached_ms = float("inf")
        self.backoff_until_ms = float("-inf")

    def forget_failures(self) -> None:
        """Discard failures that were due to this node's own connections."""
        self.record_success()
        self._failures = 0.0

    def compute_failures(self, now_ms: float) -> float:
        """Return the exponentially decayed number of failures."""
        age_ms = max(now_ms - self._failures_ms, 0.0)
        return float(self._failures * 0.5 ** (age_ms / FAILURE_HALF_LIFE_MS))


class ReplicaDirectory:
    """All replicas of all services, as one node sees them.

    Invariants: `find_usable` never returns a replica that is leaving, nor two
    incarnations of one replica; each replica is filed under the service of its entry.
    """

    __slots__ = (
        "_absence",
        "_by_service",
        "_drain_ms",
        "_incarnations",
        "_known",
        "_served",
    )

    def __init__(self, drain_ms: float = DRAIN_MS) -> None:
        """`drain_ms` is how long replicas run after they have left the list."""
        self._drain_ms = drain_ms
        self._absence: StoreOutage | None = None
        """When the store was last unavailable to all nodes."""
        self._incarnations = ReplicaIncarnations()
        self._served: frozenset[ServiceName] = frozenset()
        self._known: dict[EndpointName, KnownReplica] = {}
        self._by_service: dict[ServiceName, list[KnownReplica]] = {}

    def find(self, name: EndpointName) -> KnownReplica | None:
        """Return the state of a replica."""
        return self._known.get(name)

    def find_current(self, listed_as: ReplicaId) -> KnownReplica | None:
        """Return the newest incarnation of a replica."""
        name = self._incarnations.find_newest(listed_as)
        return None if name is None else self._known.get(name)

    def find_newest_at(self, address: Address, now_ms: float) -> KnownReplica | None:
        """Return the listed replica that registered at an address last."""
        for known in reversed(self._known.values()):
            if known.replica.address == address and known.is_listed(now_ms):
                return known
        return None

    def apply_services(self, names: Iterable[ServiceName]) -> None:
        """Set the services that the configuration names."""
        self._served = frozenset(names)

    def list_services(self) -> Collection[ServiceName]:
        """Return the services that the configuration names."""
        return self._served

    def list_all(self) -> Iterable[KnownReplica]:
        """Return all replicas that are kept, listed or not."""
        return self._known.values()

    def list_served(self, now_ms: float) -> list[KnownReplica]:
        """Return the listed replicas of all services that the configuration names.

        An entry of any other service may belong to another writer: ordering weights
        there would load them into a process that is not a replica of this router.
        """
        return [
            each
            for service in self._served
            for each in self.find_listed(service, now_ms)
        ]

    def find_listed(self, service: ServiceName, now_ms: float) -> list[KnownReplica]:
        """Return the listed replicas of a service."""
        known = self._by_service.get(service, ())
        return [each for each in known if each.is_listed(now_ms)]

    def find_usable(self, service: ServiceName, now_ms: float) -> list[KnownReplica]:
        """Return the replicas that may get new calls now.

        Excludes those that recently failed a call: while the others load weights, a
        dead one would get every call, and each would fail within milliseconds.
        """
        usable = [
            each
            for each in self.find_listed(service, now_ms)
            if not each.is_loading(now_ms)
            and not each.is_backing_off(now_ms)
            and not each.is_deferred(now_ms)
        ]
        kept = [each for each in usable if not each.is_reported_leaving(now_ms)]
        # A wrong report must not leave a service without replicas.
        is_believed = len(kept) >= (1.0 - MAX_REPORTED_SHARE) * len(usable)
        return kept if is_believed else usable

    def may_get_calls(self, name: EndpointName, now_ms: float) -> bool:
        """Return whether a call that was placed on a replica may still be sent."""
        known = self._known.get(name)
        return known is None or not (known.has_left() or known.is_deferred(now_ms))

    def find_return_delay(self, service: ServiceName, now_ms: float) -> float | None:
        """Return the time until a service has a usable replica again, in ms.

        None if one is usable, or if none has deferred calls: then it is not known.
        """
        listed = self.find_listed(service, now_ms)
        if not any(each.is_deferred(now_ms) for each in listed):
            return None
        if self.find_usable(service, now_ms):
            return None
        return min(each.find_usable_time() for each in listed) - now_ms

    def apply(self, replica: Replica, now_ms: float) -> KnownReplica | None:
        """Apply a replica's entry; return None if that incarnation is superseded.

        An entry with another service replaces all that was known under its id.
        """
        current = self.find_current(replica.listed_as)
        if current is not None and current.replica.service != replica.service:
            self._forget(current)
        if not self.record_incarnation(replica.listed_as, replica.born_ms, now_ms):
            return None
        known = self._known.get(replica.name)
        if known is not None and known.replica.service == replica.service:
            known.update(replica, now_ms)
            return known
        if known is not None:
            self._drop(known)
        known = self._known[replica.name] = KnownReplica(replica)
        self._by_service.setdefault(replica.service, []).append(known)
        return known

    def record_incarnation(
        self, listed_as: ReplicaId, born_ms: int | None, now_ms: float
    ) -> bool:
        """Record an incarnation of a replica; return False if it is superseded.

        The previous incarnation ends at once: its memory, weights and calls are lost,
        and calls placed by its state would be refused, or their prompts read again.
        """
        if self._incarnations.is_superseded(listed_as, born_ms):
            return False
        before = self.find_current(listed_as)
        if self._incarnations.record(listed_as, born_ms, now_ms) and before is not None:
            self.record_replaced(before.replica.name, now_ms)
        return True

    def list_restarted(self, now_ms: float) -> Iterable[ReplicaRestart]:
        """Return the recent restarts of replicas, to be sent to peers."""
        return self._incarnations.list_restarted(now_ms)

    def is_superseded(self, name: EndpointName) -> bool:
        """Return whether a known replica was superseded by another incarnation."""
        known = self._known.get(name)
        if known is None:
            return False
        replica = known.replica
        return self._incarnations.is_superseded(replica.listed_as, replica.born_ms)

    def remove_foreign(self, name: EndpointName, now_ms: float) -> None:
        """Record that another writer has overwritten a replica's entry.

        The replica is not used until it has registered again, and gets no grace period:
        the store was available, as the other writer's entry shows.
        """
        known = self._known.get(name)
        if known is not None:
            known.gone_ms = now_ms
            known.removal = None
            known.grace_until_ms = float("-inf")

    def remove(
        self, names: Collection[EndpointName], now_ms: float, *, listed_ms: float
    ) -> None:
        """Record that the log no longer lists some replicas.

        `listed_ms` is when it listed them last. Replicas whose entries expired while
        the store was unavailable, or half of a service at once, may be alive and stay
        usable for a grace period.
        """
        for known in self._by_service.values():
            gone = [each for each in known if each.replica.name in names]
            present = [each for each in known if each.gone_ms is None]
            is_mass = len(gone) > 1 and len(gone) >= MASS_REMOVAL_SHARE * len(present)
            for each in gone:
                each.gone_ms = now_ms
                each.removal = Removal(listed_ms, is_mass)
                each.grace_until_ms = self._find_grace_end(each.removal)

    def record_absence(self, absence: StoreOutage | None) -> bool:
        """Record the store's last outage for all nodes; return whether it is new.

        Grace periods are recomputed only then: peers repeat it in each status.
        """
        if absence == self._absence:
            return False
        self._absence = absence
        for known in self._known.values():
            if known.removal is not None:
                known.grace_until_ms = self._find_grace_end(known.removal)
        return True

    def _find_grace_end(self, removal: Removal) -> float:
        """Return until when a replica that left the list may get calls.

        Counted from when the store may have removed it, not from when this node learned
        of that: a removed replica ends `drain_ms` after the former, and when this was
        counted from the latter, calls reached it up to 1.9 s past its end.
        """
        serves_ms = max(self._drain_ms - SEND_MARGIN_MS, 0.0)
        end_ms = float("-inf")
        if removal.is_mass:
            end_ms = removal.listed_ms + serves_ms
        absence = self._absence
        # A replica removed before the outage did not expire because of it.
        if absence is not None and removal.listed_ms >= absence.before_ms:
            grace_ms = min(EXPIRY_GRACE_MS, serves_ms - RETURN_DETECTION_MS)
            end_ms = max(end_ms, absence.returned_ms + grace_ms)
        return end_ms

    def record_replaced(self, name: EndpointName, now_ms: float) -> None:
        """Record that another replica answers at this one's address."""
        known = self._known.get(name)
        if known is not None:
            known.is_leaving = True
            known.gone_ms = known.gone_ms or now_ms
            known.removal = None
            known.grace_until_ms = float("-inf")

    def prune(self, now_ms: float) -> list[EndpointName]:
        """Drop replicas that were removed long ago; return their names."""
        old = [
            name
            for name, known in self._known.items()
            if known.gone_ms is not None and now_ms - known.gone_ms > FORGET_MS
        ]
        for name in old:
            self._drop(self._known[name])
        return old

    def _forget(self, known: KnownReplica) -> None:
        """Drop a replica and the knowledge of when it started."""
        self._incarnations.forget(known.replica.listed_as)
        self._drop(known)

    def _drop(self, known: KnownReplica) -> None:
        del self._known[known.replica.name]
        self._by_service[known.replica.service].remove(known)
